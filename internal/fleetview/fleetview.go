// Package fleetview keeps a router's picture of the route table and of the
// backend servers, as the control replicas tell it.
package fleetview

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
	"peridotwinch.example/peridotwinch/internal/spread"
)

const (
	// silenceLimit is the time without an event after which a stream counts as
	// dead. A new one has to be open before the 2 s in which a change comes into
	// force are over.
	silenceLimit = 1200 * time.Millisecond
	// openLimit bounds the first event, for which the replica asks a majority.
	openLimit = 1800 * time.Millisecond
	// retryDelay is the pause before the next replica is tried. It doubles, up to
	// maxRetryDelay, each time that all have been tried: an attempt takes a replica of the
	// largest known deployment 0.4 of the 96 ms that its processor has a second.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// preferEvery is the shortest time between two looks whether the router's preferred
	// replica can be followed, which after a disturbance many routers are not; half as
	// much is added at random, so that they do not move together.
	preferEvery = 4 * time.Second
	// preferWithin is the time in which the preferred replica has to answer to be moved to. It
	// takes 40 ms on the smallest known core; one that takes longer is busy with changes, and
	// so is the followed one, whose stream carries them.
	preferWithin = 100 * time.Millisecond
	// staleRetry is about the time between two looks for another replica while the followed
	// one hears no majority.
	staleRetry = 200 * time.Millisecond
	// unconfirmedFor is how long a server is kept that the followed replica does
	// not know: a replica that has just started learns of it within seconds.
	unconfirmedFor = 10 * time.Second
)

var errSilent = errors.New("the control replica has fallen silent")

// movesTo says that another replica can be followed and is better.
type movesTo struct{ address string }

// Error implements error.
func (m *movesTo) Error() string { return "control replica " + m.address + " can be followed" }

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
	NewLoads() map[uint64]spread.ServerLoad
	// SetLoads takes the loads that servers told any router.
	SetLoads(loads map[uint64]spread.ServerLoad)
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

// Run follows one control replica after the other until ctx ends, the preferred one
// whenever it can be followed.
func (v *View) Run(ctx context.Context) error {
	delay := retryDelay
	for next := 0; ctx.Err() == nil; next++ {
		addresses := v.sources()
		address := addresses[next%len(addresses)]
		err := v.followUntilBetter(ctx, address)
		for moves := (*movesTo)(nil); errors.As(err, &moves); {
			v.log.Info().Str("from", address).Str("control", moves.address).Msg("router moves to another control replica")
			address = moves.address
			err = v.followUntilBetter(ctx, address)
		}
		v.log.Warn().Err(err).Str("control", address).Msg("control replica is no longer followed")
		switch {
		case v.wasFollowed():
			delay = retryDelay
		case next%len(addresses) == len(addresses)-1:
			delay = min(2*delay, maxRetryDelay)
		}
		actor.Sleep(ctx, delay/2+rand.N(delay))
	}
	return nil
}

// wasFollowed reports whether a replica has been followed since it was asked last.
func (v *View) wasFollowed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.hasFollowed
	v.hasFollowed = false
	return was
}

// followUntilBetter follows a replica until that fails, or until a better one has answered:
// the preferred one, or any other while this one hears no majority.
func (v *View) followUntilBetter(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	v.stale.Store(false)
	go func() {
		if better := v.findBetter(ctx, address); better != "" {
			cancel(&movesTo{better})
		}
	}()
	return v.follow(ctx, address)
}

// findBetter returns a replica that answers and is better than the followed one, or
// nothing when ctx ends.
func (v *View) findBetter(ctx context.Context, address string) string {
	preferAt := time.Now().Add(preferEvery + rand.N(preferEvery/2))
	for tried := 0; actor.Sleep(ctx, staleRetry/2+rand.N(staleRetry)); {
		candidate, within := "", openLimit
		switch now := time.Now(); {
		case v.stale.Load():
			others := slices.DeleteFunc(v.sources(), func(a string) bool { return a == address })
			if len(others) == 0 {
				continue
			}
			candidate = others[tried%len(others)]
			tried++
		case now.After(preferAt):
			preferAt = now.Add(preferEvery + rand.N(preferEvery/2))
			candidate, within = v.sources()[0], preferWithin
		}
		// Without a table one is on its way, and would have to be sent again.
		if candidate == "" || candidate == address || v.Table() == nil {
			continue
		}
		begun := time.Now()
		if err := v.probe(ctx, candidate); err == nil && time.Since(begun) < within {
			return candidate
		}
	}
	return ""
}

// sources returns the control replicas to try, in an order of this router's own,
// so that routers spread over the replicas.
func (v *View) sources() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return ordered(v.instance, slices.Concat(v.controls, v.seeds))
}

// Preferred returns the control replica that a router follows where it can.
func Preferred(instance string, controls []string) string { return ordered(instance, controls)[0] }

func ordered(instance string, controls []string) []string {
	out := slices.Clone(controls)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(instance, a), rank(instance, b)) })
	return slices.Compact(out)
}

// rank orders the control replicas for one router.
func rank(instance, address string) uint64 { return xxhash.Sum64String(instance + " " + address) }

// follow takes the events of one replica until it fails or falls silent.
func (v *View) follow(ctx context.Context, address string) error {
	defer v.setFollowed("")
	return v.stream(ctx, address, func(event *fleetpb.FollowEvent) error {
		if was := v.stale.Swap(event.GetStale()); was != event.GetStale() {
			v.log.Info().Str("control", address).Bool("stale", event.GetStale()).Msg("control replica hears a majority or not")
		}
		return v.take(address, event)
	})
}

// probe reports whether a replica can be followed.
func (v *View) probe(ctx context.Context, address string) error {
	answered := errors.New("answered")
	err := v.stream(ctx, address, func(*fleetpb.FollowEvent) error { return answered })
	if errors.Is(err, answered) {
		return nil
	}
	return err
}

// stream opens a stream and hands its events over until it fails or falls silent.
func (v *View) stream(ctx context.Context, address string, take func(*fleetpb.FollowEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(openLimit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	client := rpc.NewClient(address, rpc.PurposeFleet)
	defer client.Close()
	request := v.request()
	err := client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		// The connection is closed as soon as the replica is silent: a call on it
		// would wait for an answer.
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		stream, err := fleetpb.NewDRPCFleetClient(conn).Follow(ctx, request)
		if err != nil {
			return errors.Wrap(err, "follow a control replica")
		}
		for {
			event, err := stream.Recv()
			if err != nil {
				return errors.Wrap(err, "receive an event")
			}
			watchdog.Reset(silenceLimit)
			now := time.Now()
			v.heard.Store(&now)
			if err := take(event); err != nil {
				return err
			}
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// request names what the router has, so that a replica sends the rest only.
func (v *View) request() *fleetpb.FollowRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	request := &fleetpb.FollowRequest{
		Instance: v.instance, FailureDomain: v.domain, Known: spread.ToKnown(slices.Collect(maps.Values(v.servers))),
	}
	if table := v.Table(); table != nil && !v.wantsWhole {
		request.Generation = table.Generation
	}
	return request
}

func (v *View) take(address string, event *fleetpb.FollowEvent) error {
	if err := v.takeTable(event); err != nil {
		return err
	}
	servers, err := spread.Servers(event)
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
		v.takeServer(spread.FromServer(record, now))
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
		d := spread.FromDocument(event.GetDocument())
		source, err := d.Declared()
		if err != nil {
			return err
		}
		v.setWantsWhole(false)
		return v.useTable(d.Generation, source)
	case event.GetDelta() != nil:
		source, err := v.applyDelta(spread.FromDelta(event.GetDelta()))
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
	if ok && (e.Born < known.Born || e.Born == known.Born && e.Sequence < known.Sequence && e.State < known.State) {
		return
	}
	if !ok || known.State != e.State || known.Silent != e.Silent || known.Born != e.Born {
		v.log.Info().Str("server", e.ID).Str("address", e.Address).Str("pool", e.Pool).Uint8("state", uint8(e.State)).
			Bool("silent", e.Silent).Time("heard", e.Heard).Msg("backend server changed")
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
		if e.State == registry.StateGone && now.Sub(e.Heard) > unconfirmedFor {
			delete(v.servers, id)
		}
	}
	return dropped
}
