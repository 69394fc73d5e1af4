// Package fleetview keeps a router's copy of the route table and of the backend
// servers, as received from the control replicas.
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

// unconfirmedRetention is how long a server is kept that the followed replica does not
// have: a replica that has just started receives its announcement within seconds.
const unconfirmedRetention = 10 * time.Second

// View is a router's copy of the fleet's state. It is safe for concurrent use.
type View struct {
	log      zerolog.Logger
	instance string
	domain   string
	decode   routetable.Decoder
	// fleet receives the servers and the loads that other routers report.
	fleet Fleet

	table atomic.Pointer[routetable.Table]
	// stale is set while the followed replica has no quorum.
	stale atomic.Bool
	// lastEvent is when an event of a control replica was last received, or nil.
	lastEvent atomic.Pointer[time.Time]
	// source is the source of the table in force, to which deltas apply. Only the
	// goroutine that follows the control replicas uses it.
	source []byte

	mu       sync.Mutex
	controls []string
	seeds    []string
	// needsFullTable is set after a delta did not apply, until a full table is received.
	needsFullTable bool
	servers        map[string]registry.Entry
	// confirmed is true for the IDs of the servers that the followed replica has.
	confirmed     map[string]bool
	followedSince time.Time
	// newlyFollowed is set if a stream has begun since the last call of wasFollowed.
	newlyFollowed bool
	// address is the address of the followed replica, or "" while none is followed.
	address string
}

// Fleet receives the backend servers and their loads, and supplies the loads that this
// router has received.
type Fleet interface {
	// SetServers replaces the servers; it is called after each change.
	SetServers(servers []registry.Entry)
	// TakeLoadReports returns the loads that servers have reported to this router since the
	// last call, by the servers' hashes.
	TakeLoadReports() map[uint64]fleetsync.ServerLoad
	// RecordPeerLoads records the loads that servers have reported to any router.
	RecordPeerLoads(loads map[uint64]fleetsync.ServerLoad)
}

// New returns an empty view that connects to the seeds first.
func New(instance, domain string, seeds []string, decode routetable.Decoder, fleet Fleet, log zerolog.Logger) *View {
	v := &View{
		log: log, instance: instance, domain: domain, decode: decode, fleet: fleet, seeds: seeds,
		servers: make(map[string]registry.Entry),
	}
	v.addMetrics()
	return v
}

// Table returns the route table in force on this router, or nil before the first one.
func (v *View) Table() *routetable.Table { return v.table.Load() }

// Ready returns CodeNotConfigured until the router has received a route table, which
// a majority of the control replicas has confirmed.
func (v *View) Ready() error {
	if v.table.Load() == nil {
		return api.Errorf(api.CodeNotConfigured, "no route table yet")
	}
	return nil
}

// SetSeeds replaces the seeds after a change of the settings.
func (v *View) SetSeeds(seeds []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seeds = seeds
}

// handleEvent applies an event of the replica at address.
func (v *View) handleEvent(address string, event *fleetpb.FollowEvent) error {
	if err := v.applyTable(event); err != nil {
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
		v.setConfirmed(event.GetUnknown())
		v.followedSince, v.newlyFollowed = now, true
		v.log.Info().Str("control", address).Strs("controls", v.controls).Int("servers", len(servers)).
			Msg("subscribed to control replica")
	}
	for _, record := range servers {
		v.mergeServer(fleetsync.FromServer(record, now))
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

// setConfirmed marks all servers of this router as confirmed by the followed replica,
// except those whose ID hashes are in unknown.
func (v *View) setConfirmed(unknown []uint64) {
	v.confirmed = make(map[string]bool, len(v.servers))
	for id := range v.servers {
		v.confirmed[id] = !slices.Contains(unknown, registry.HashID(id))
	}
}

// applyTable installs the event's table, which is complete or a delta, if the event
// has one.
func (v *View) applyTable(event *fleetpb.FollowEvent) error {
	switch {
	case event.GetDocument() != nil:
		d := fleetsync.FromDocument(event.GetDocument())
		source, err := d.DecodeSource()
		if err != nil {
			return err
		}
		v.setNeedsFullTable(false)
		return v.installTable(d.Generation, source)
	case event.GetDelta() != nil:
		source, err := v.applyDelta(fleetsync.FromDelta(event.GetDelta()))
		if err != nil {
			// The error ends the stream. The next stream sends the full table.
			v.setNeedsFullTable(true)
			return err
		}
		return v.installTable(event.GetDelta().GetGeneration(), source)
	}
	return nil
}

func (v *View) applyDelta(d *routetable.Delta) ([]byte, error) {
	if table := v.Table(); table == nil || table.Generation != d.Base {
		return nil, errors.Errorf("received a route table delta based on generation %d, which is not in force", d.Base)
	}
	return d.Apply(v.source)
}

func (v *View) setNeedsFullTable(needed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.needsFullTable = needed
}

// installTable decodes a table and puts it in force if its generation is higher than
// the current one.
func (v *View) installTable(generation uint64, source []byte) error {
	if table := v.Table(); table != nil && generation <= table.Generation {
		return nil
	}
	table, err := v.decode(source)
	if err != nil {
		v.log.Error().Err(err).Uint64("generation", generation).Msg("received route table cannot be decoded")
		return err
	}
	v.source = source
	v.table.Store(table)
	v.log.Info().Uint64("generation", table.Generation).Int("routes", len(table.Routes)).Msg("route table in force")
	return nil
}

// mergeServer merges a server record. It drops a record of an older incarnation, and one
// that has both a lower sequence number and an earlier state.
func (v *View) mergeServer(e registry.Entry) {
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

// dropUnconfirmed removes the servers that the followed replica has not confirmed
// within unconfirmedRetention, and those that have been gone for that long. It reports
// whether it removed an unconfirmed one.
func (v *View) dropUnconfirmed(now time.Time) (dropped bool) {
	overdue := now.Sub(v.followedSince) > unconfirmedRetention
	for id, e := range v.servers {
		if overdue && !v.confirmed[id] {
			v.log.Info().Str("server", id).Msg("backend server removed because the control replica does not have it")
			delete(v.servers, id)
			dropped = true
			continue
		}
		if e.State == registry.StateGone && now.Sub(e.LastAnnounced) > unconfirmedRetention {
			delete(v.servers, id)
		}
	}
	return dropped
}
