// Package fleetview keeps a router's picture of the route table and of the
// backend servers, as the control replicas tell it.
package fleetview

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// unconfirmedFor is how long a server is kept that the followed replica does not know: a
// replica that has just started learns of it within seconds.
const unconfirmedFor = 10 * time.Second

// View is the picture at a moment. It is safe for concurrent use.
type View struct {
	log      zerolog.Logger
	instance string
	domain   string
	decode   routetable.Decoder
	// fleet gets the servers, and their loads as other routers were told them.
	fleet Fleet

	table atomic.Pointer[routetable.Table]
	// stale says that the followed replica hears no majority.
	stale atomic.Bool
	// heard is when a control replica was heard last, nil before.
	heard atomic.Pointer[time.Time]
	// declared is the source of the table in force, to which deltas apply. It belongs to
	// the goroutine that follows control.
	declared []byte

	mu       sync.Mutex
	controls []string
	seeds    []string
	// wantsWhole says that a delta did not apply.
	wantsWhole bool
	servers    map[string]registry.Entry
	// confirmed has the servers that the followed replica named.
	confirmed map[string]bool
	followed  time.Time
	// hasFollowed says that a stream has begun since the last look.
	hasFollowed bool
	// address is that of the followed replica, empty while none is followed.
	address string
}

// Fleet is what a router does with the servers that control knows.
type Fleet interface {
	// SetServers takes the servers after each change.
	SetServers(servers []registry.Entry)
	// NewLoads returns the loads that servers told this router since the last call,
	// by their hashes.
	NewLoads() map[uint64]fleetsync.ServerLoad
	// SetLoads takes the loads that servers told any router.
	SetLoads(loads map[uint64]fleetsync.ServerLoad)
}

// New returns an empty view that asks the seeds first.
func New(instance, domain string, seeds []string, decode routetable.Decoder, fleet Fleet, log zerolog.Logger) *View {
	v := &View{
		log: log, instance: instance, domain: domain, decode: decode, fleet: fleet, seeds: seeds,
		servers: make(map[string]registry.Entry),
	}
	v.addMetrics()
	return v
}

// Table returns the route table in force here, or nil before the first one.
func (v *View) Table() *routetable.Table { return v.table.Load() }

// Ready reports an error until a majority of the control replicas has confirmed
// the route table.
func (v *View) Ready() error {
	if v.table.Load() == nil {
		return api.Errorf(api.CodeNotConfigured, "no route table yet")
	}
	return nil
}

// SetSeeds replaces the seeds after the settings have changed.
func (v *View) SetSeeds(seeds []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seeds = seeds
}

// take takes an event of the replica at address.
func (v *View) take(address string, event *fleetpb.FollowEvent) error {
	if err := v.takeTable(event); err != nil {
		return err
	}
	servers, err := fleetsync.DecodeServers(event)
	if err != nil {
		return err
	}
	now := time.Now()
	v.mu.Lock()
	if event.GetFirst() {
		v.address = address
		v.controls = event.GetControls()
		v.confirm(event.GetUnknown())
		v.followed, v.hasFollowed = now, true
		v.log.Info().Str("control", address).Strs("controls", v.controls).Int("servers", len(servers)).
			Msg("control replica is followed")
	}
	for _, record := range servers {
		v.takeServer(fleetsync.FromServer(record, now))
	}
	dropped := v.dropUnconfirmed(now)
	var snapshot []registry.Entry
	if dropped || len(servers) > 0 {
		for _, entry := range v.servers {
			snapshot = append(snapshot, entry)
		}
	}
	v.mu.Unlock()
	if snapshot != nil || dropped {
		v.fleet.SetServers(snapshot)
	}
	return nil
}

// confirm notes that the followed replica has the servers that this router has, except
// for the unknown ones.
func (v *View) confirm(unknown []uint64) {
	v.confirmed = make(map[string]bool, len(v.servers))
	for id := range v.servers {
		v.confirmed[id] = !slices.Contains(unknown, registry.HashID(id))
	}
}

// takeTable puts the event's table in force where its generation is higher.
func (v *View) takeTable(event *fleetpb.FollowEvent) error {
	switch {
	case event.GetDocument() != nil:
		d := fleetsync.FromDocument(event.GetDocument())
		source, err := d.DecodeSource()
		if err != nil {
			return err
		}
		v.setWantsWhole(false)
		return v.useTable(d.Generation, source)
	case event.GetDelta() != nil:
		source, err := v.applyDelta(fleetsync.FromDelta(event.GetDelta()))
		if err != nil {
			// The stream ends here; the next one brings the whole table.
			v.setWantsWhole(true)
			return err
		}
		return v.useTable(event.GetDelta().GetGeneration(), source)
	}
	return nil
}

func (v *View) applyDelta(d *routetable.Delta) ([]byte, error) {
	if table := v.Table(); table == nil || table.Generation != d.Base {
		return nil, errors.Errorf("a delta from generation %d came, which is not in force here", d.Base)
	}
	return d.Apply(v.declared)
}

func (v *View) setWantsWhole(wants bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wantsWhole = wants
}

func (v *View) useTable(generation uint64, source []byte) error {
	if table := v.Table(); table != nil && generation <= table.Generation {
		return nil
	}
	table, err := v.decode(source)
	if err != nil {
		v.log.Error().Err(err).Uint64("generation", generation).Msg("route table cannot be read")
		return err
	}
	v.declared = source
	v.table.Store(table)
	v.log.Info().Uint64("generation", table.Generation).Int("routes", len(table.Routes)).Msg("route table in force")
	return nil
}

// takeServer merges a record; an older incarnation or announcement is dropped.
func (v *View) takeServer(e registry.Entry) {
	known, ok := v.servers[e.ID]
	v.confirmed[e.ID] = true
	if ok && (e.StartedMS < known.StartedMS || e.StartedMS == known.StartedMS && e.Sequence < known.Sequence && e.State < known.State) {
		return
	}
	if !ok || known.State != e.State || known.Silent != e.Silent || known.StartedMS != e.StartedMS {
		v.log.Info().Str("server", e.ID).Str("address", e.Address).Str("pool", e.Pool).Uint8("state", uint8(e.State)).
			Bool("silent", e.Silent).Time("heard", e.LastAnnounced).Msg("backend server changed")
	}
	v.servers[e.ID] = e
}

// dropUnconfirmed forgets servers that the followed replica has not named for
// long, and those that are gone.
func (v *View) dropUnconfirmed(now time.Time) (dropped bool) {
	late := now.Sub(v.followed) > unconfirmedFor
	for id, e := range v.servers {
		if late && !v.confirmed[id] {
			v.log.Info().Str("server", id).Msg("backend server is unknown to control")
			delete(v.servers, id)
			dropped = true
			continue
		}
		if e.State == registry.StateGone && now.Sub(e.LastAnnounced) > unconfirmedFor {
			delete(v.servers, id)
		}
	}
	return dropped
}
