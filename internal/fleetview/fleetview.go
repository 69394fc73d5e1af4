// Package fleetview keeps a router's copy of the route table and of the backend
// servers, as received from a control replica or from another router, and relays it to
// other routers.
package fleetview

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// unconfirmedRetention is how long a server is kept that the followed source does not
// have: a replica that has just started receives its announcement within seconds.
const unconfirmedRetention = 10 * time.Second

// dropInterval is the minimum time between two searches of all servers for those to drop.
const dropInterval = time.Second

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
	// evacuations are those in force on this router, or nil before the first event.
	evacuations atomic.Pointer[evacuation.Set]
	// lastEvent is when an event of a control replica was last received, or nil.
	lastEvent atomic.Pointer[time.Time]
	// version is the table in force as followers of this router receive it.
	version atomic.Pointer[fleetsync.TableVersion]
	// declared is the declared form of the table in force, to which deltas apply. Only
	// the goroutine that follows uses it.
	declared []byte
	// ownAddress is the router's RPC address.
	ownAddress string
	// onSlotCoordinator and slotAddress are those of the Config. WithdrawCoordinator empties slotAddress.
	onSlotCoordinator func(address string)
	slotAddress       atomic.Pointer[string]
	relay             *fleetsync.Relay
	losses            *quarantine.Store
	lossSender        *fleetsync.LossSender

	mu       sync.Mutex
	selector *relay.Selector
	controls []string
	seeds    []string
	// path is the path from a control replica to the followed source.
	path relay.Path
	// subscriptions are notified of changes; see subscribe.
	subscriptions map[chan struct{}]bool
	// upstream is the client of the followed source.
	upstream *rpc.Client
	// needsFullTable is set after a delta did not apply, until a full table is received.
	needsFullTable bool
	servers        map[string]registry.Entry
	// knownRecords are those of servers, or nil since the last change of servers.
	knownRecords *fleetsync.KnownRecords
	// confirmed is true for the IDs of the servers that the followed replica has.
	confirmed     map[string]bool
	followedSince time.Time
	// lastDropSearch is when the servers were last searched for those to drop.
	lastDropSearch time.Time
	// firstFollowedAt is when the first stream began.
	firstFollowedAt time.Time
	// newlyFollowed is set if a stream has begun since the last call of wasFollowed.
	newlyFollowed bool
	// followed is the followed source, with an empty address while there is none.
	followed relay.Source
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
	// RecordPoolLoads records the sums of the loads of the pools of which RecordPeerLoads receives
	// only some, by pool.
	RecordPoolLoads(pools map[string]fleetsync.PoolLoad)
	// TakeRateStatements returns the statements on rate limits that this router has received
	// in answers since the last call, by the servers' hashes: those of servers that are
	// limited, or whose limit has just ended.
	TakeRateStatements() map[uint64]ratelimit.Statement
	// RecordPeerRateStatements records the statements that other routers have received.
	RecordPeerRateStatements(statements map[uint64]ratelimit.Statement)
	// SetEvacuated replaces the failure domains whose servers receive no further requests. returned
	// are those whose evacuation was withdrawn since the last call.
	SetEvacuated(domains, returned []string)
	// SetPosition records the position of this router among all routers.
	SetPosition(position ratelimit.Position)
}

// Config configures a view.
type Config struct {
	Instance      string
	FailureDomain string
	// Address is the router's RPC address, at which other routers can follow it; empty if
	// it does not relay.
	Address string
	// Seeds are the RPC addresses of control replicas to which the view connects first; at
	// least one is required.
	Seeds []string
	// LinkMbps is the bandwidth of the instance's link in Mbit/s, or 0 if unknown.
	LinkMbps float64
	// MaxFollowers is the number of routers that may follow this one directly.
	MaxFollowers int
	Decode       routetable.Decoder
	Fleet        Fleet
	// Losses is the router's evidence against prompt parts, which the view exchanges.
	Losses *quarantine.Store
	// SlotAddress is the address at which this router can coordinate the slots of small pools;
	// empty if it does not.
	SlotAddress string
	// OnSlotCoordinator is called with the address of the router that coordinates them; it may be
	// nil.
	OnSlotCoordinator func(address string)
}

// New returns an empty view.
func New(c Config, log zerolog.Logger) *View {
	v := &View{
		log: log, instance: c.Instance, domain: c.FailureDomain, decode: c.Decode, fleet: c.Fleet, seeds: c.Seeds,
		onSlotCoordinator: c.OnSlotCoordinator, ownAddress: c.Address, selector: relay.NewSelector(c.Instance, c.Seeds),
		servers: make(map[string]registry.Entry), subscriptions: make(map[chan struct{}]bool),
	}
	v.slotAddress.Store(&c.SlotAddress)
	v.losses, v.lossSender = c.Losses, fleetsync.NewLossSender(c.Losses)
	v.relay = fleetsync.NewRelay(c.Address, &viewSource{v}, v.entries, c.Losses, c.MaxFollowers, c.LinkMbps, log)
	v.relay.OnStatements(c.Fleet.RecordPeerRateStatements)
	v.addMetrics()
	return v
}

// Register adds the RPCs for routers that follow this one.
func (v *View) Register(mux drpc.Mux) error { return v.relay.Register(mux) }

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
	v.selector.SetControls(slices.Concat(v.controls, v.seeds))
}

// handleEvent applies an event of the followed source.
func (v *View) handleEvent(source relay.Source, event *fleetpb.FollowEvent) error {
	if err := v.applyPath(event.GetPath()); err != nil {
		return err
	}
	v.applyLosses(event)
	v.applyEvacuations(event.GetEvacuations())
	v.applySlotCoordinator(event)
	v.relay.RecordSourceStatements(event.GetStatements(), event.GetFirst(), time.Now())
	if err := v.applyTable(event); err != nil {
		return err
	}
	servers, err := fleetsync.DecodeServers(event)
	if err != nil {
		return err
	}
	now := time.Now()
	v.mu.Lock()
	v.setControls(event.GetControls())
	if event.GetFirst() {
		v.startFollowing(source, event, now)
		v.log.Info().Str("source", source.Address).Bool("relay", source.IsRelay).Int("depth", v.path.Depth()).
			Strs("controls", v.controls).Int("servers", len(servers)).Msg("subscribed to fleet stream")
	}
	var changed []registry.Entry
	for _, record := range servers {
		entry := fleetsync.FromServer(record, now)
		entry.AppearedAt = v.appearedAt(entry, now)
		if v.mergeServer(entry, event.GetFirst()) {
			changed = append(changed, v.servers[entry.ID])
		}
	}
	dropped := v.dropUnconfirmed(now)
	var snapshot []registry.Entry
	if len(dropped) > 0 || len(servers) > 0 {
		snapshot = slices.Collect(maps.Values(v.servers))
	}
	v.mu.Unlock()
	if len(dropped) > 0 || len(servers) > 0 {
		v.fleet.SetServers(snapshot)
		v.relay.UpdateServers(changed, dropped, now)
	}
	return nil
}

// applyLosses merges the losses that the source has. The first event of a stream has all of
// them, and precedes or accompanies the first route table.
func (v *View) applyLosses(event *fleetpb.FollowEvent) {
	now := time.Now()
	if event.GetFirst() {
		v.lossSender.Reset()
	}
	losses := fleetsync.FromLosses(event.GetLosses(), now)
	v.lossSender.MarkKnown(losses)
	v.losses.Merge(losses, now)
}

// entries returns all servers of the router.
func (v *View) entries() []registry.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.servers))
}

// startFollowing records the source of a new stream at its first event; the caller holds mu.
func (v *View) startFollowing(source relay.Source, event *fleetpb.FollowEvent, now time.Time) {
	v.followed = source
	v.selector.Followed(source)
	v.setConfirmed(event)
	v.followedSince, v.newlyFollowed = now, true
	if v.firstFollowedAt.IsZero() {
		v.firstFollowedAt = now
	}
}

// setControls records the control replicas, if there are any; the caller holds mu.
func (v *View) setControls(controls []string) {
	if len(controls) == 0 || slices.Equal(controls, v.controls) {
		return
	}
	v.controls = controls
	v.selector.SetControls(slices.Concat(v.controls, v.seeds))
	v.log.Info().Strs("controls", controls).Msg("control replicas changed")
}

// applyPath records the path from control to the source, if the event has one. It returns an
// error if the path contains this router, or if the router is too far from control.
func (v *View) applyPath(path []string) error {
	if len(path) == 0 {
		return nil
	}
	if !relay.Path(path).CanKeep(v.ownAddress) {
		return errors.Wrapf(errPath, "path from control %v", path)
	}
	v.mu.Lock()
	v.path = path
	v.mu.Unlock()
	v.notify()
	return nil
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
		return v.installTable(fleetsync.NewTableVersion(d), source)
	case event.GetDelta() != nil:
		source, err := v.applyDelta(fleetsync.FromDelta(event.GetDelta()))
		if err != nil {
			// The error ends the stream. The next stream sends the full table.
			v.setNeedsFullTable(true)
			return err
		}
		return v.installTable(&fleetsync.TableVersion{
			Generation: event.GetDelta().GetGeneration(), Delta: event.GetDelta(),
			Document: sync.OnceValues(func() (*routetable.Document, error) {
				return routetable.NewDocument(event.GetDelta().GetGeneration(), source)
			}),
		}, source)
	}
	return nil
}

func (v *View) applyDelta(d *routetable.Delta) ([]byte, error) {
	if table := v.Table(); table == nil || table.Generation != d.Base {
		return nil, errors.Errorf("received a route table delta based on generation %d, which is not in force", d.Base)
	}
	return d.Apply(v.declared)
}

func (v *View) setNeedsFullTable(needed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.needsFullTable = needed
}

// installTable decodes a table and puts it in force if its generation is higher than
// the current one.
func (v *View) installTable(version *fleetsync.TableVersion, source []byte) error {
	if table := v.Table(); table != nil && version.Generation <= table.Generation {
		return nil
	}
	table, err := v.decode(source)
	if err != nil {
		v.log.Error().Err(err).Uint64("generation", version.Generation).Msg("received route table cannot be decoded")
		return err
	}
	v.declared = source
	v.table.Store(table)
	v.version.Store(version)
	v.relay.SetTable(version)
	v.notify()
	v.log.Info().Uint64("generation", table.Generation).Int("routes", len(table.Routes)).Msg("route table in force")
	return nil
}

// mergeServer merges a server record and reports whether it did. It drops a record of an
// older incarnation, one that has an earlier state without a higher sequence number, and one that a
// withdrawal covers. It logs a change, at debug level if the record is part of a stream's first event.
func (v *View) mergeServer(e registry.Entry, isFirst bool) bool {
	known, ok := v.servers[e.ID]
	v.confirmed[e.ID] = true
	switch {
	case !ok:
	case e.Withdrawn:
		var isNews bool
		if e, isNews = e.ApplyTo(known); !isNews {
			return false
		}
	case known.Withdrawn && known.CoversAnnounced(&e.Server, e.LastAnnounced):
		return false
	case e.StartedMS < known.StartedMS || e.StartedMS == known.StartedMS && e.Sequence <= known.Sequence && e.State < known.State:
		return false
	}
	if !ok || known.State != e.State || known.Silent != e.Silent || known.StartedMS != e.StartedMS {
		level := zerolog.InfoLevel
		if isFirst {
			level = zerolog.DebugLevel
		}
		v.log.WithLevel(level).Str("server", e.ID).Str("address", e.Address).Str("pool", e.Pool).Uint8("state", uint8(e.State)).
			Bool("silent", e.Silent).Time("heard", e.LastAnnounced).Msg("backend server changed")
	}
	v.servers[e.ID], v.knownRecords = e, nil
	return true
}

// dropUnconfirmed removes the servers that the followed source has not confirmed
// within unconfirmedRetention, and those that have been gone for that long. It returns
// the unconfirmed ones. A call within dropInterval of the last search does nothing.
func (v *View) dropUnconfirmed(now time.Time) (dropped []registry.Entry) {
	if now.Sub(v.lastDropSearch) < dropInterval {
		return nil
	}
	v.lastDropSearch = now
	overdue := now.Sub(v.followedSince) > unconfirmedRetention
	for id, e := range v.servers {
		if overdue && !v.confirmed[id] {
			v.log.Info().Str("server", id).Msg("backend server removed because the source does not have it")
			delete(v.servers, id)
			v.knownRecords = nil
			dropped = append(dropped, e)
			continue
		}
		if e.State == registry.StateGone && now.Sub(e.LastAnnounced) > unconfirmedRetention {
			delete(v.servers, id)
			v.knownRecords = nil
		}
	}
	return dropped
}
