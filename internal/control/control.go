// Package control implements the control role: it stores the declared resources in a
// replicated log, serves the resource API and streams changes to the routers. A write that
// was acknowledged is durable on a majority of the control replicas and is never reverted.
// A change is in force once every router with a live lease has applied it.
package control

import (
	"context"
	"encoding/json"
	"net"
	"path/filepath"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/control/replica"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/lifecycle"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// requestTimeout limits an operator's request. A request that takes longer fails with
// CodeNoQuorum.
const requestTimeout = 5 * time.Second

const (
	// operatorDrainTimeout is how long a stopping replica waits for operators' requests.
	operatorDrainTimeout = time.Second
	// diskStuckTimeout is the age of a replica's status at which its disk counts as
	// stuck. A working replica updates its status with every tick of 50 ms.
	diskStuckTimeout = 600 * time.Millisecond
)

// Control is the control role of a daemon.
type Control struct {
	log         zerolog.Logger
	settings    *settings.Settings
	store       *Store
	replica     *replica.Replica
	leases      *leases
	sharer      *reportSharer
	peerRouters *peerRouterSets
	archive     *archive
	archiver    *archiver
	operators   net.Listener
	// adapter and the fields up to lossArchive are nil unless the deployment has an adapter, whose daemons
	// join by seeds.
	adapter     adapter.Adapter
	fleetSync   *fleetsync.Service
	losses      *quarantine.Store
	lossArchive *lossArchive
	// closing is done when the role shuts down; it ends watches.
	closing context.Context
	close   context.CancelFunc
}

// New loads the durable state, opens the listener of the resource API and returns the role.
// selectedAdapter is nil if callers and operators use the product's own interface.
func New(s *settings.Settings, selectedAdapter adapter.Adapter, log zerolog.Logger, lc *lifecycle.Lifecycle) (*Control, error) {
	store := NewStore()
	r, err := replica.New(s, store, log)
	if err != nil {
		return nil, err
	}
	operators, err := httpx.Listen("listen.operators", s.Listen.Operators)
	if err != nil {
		return nil, err
	}
	if !s.HasRole(settings.RoleRouter) {
		// A daemon that is also a router is ready without a quorum of control replicas,
		// because the router serves callers without one.
		lc.AddCheck(r.CheckReady)
	}
	c := &Control{
		log: log, settings: s, store: store, replica: r, operators: operators,
		leases:      newLeases(s.PeersWithRole(settings.RoleRouter), time.Now()),
		peerRouters: newPeerRouterSets(),
	}
	c.sharer = newReportSharer(s, c.leases)
	c.archive = &archive{dir: filepath.Join(s.DataDir, "control", "audit")}
	c.archiver = newArchiver(s, store, c.archive, log)
	c.closing, c.close = context.WithCancel(context.Background())
	if selectedAdapter != nil {
		c.adapter = selectedAdapter
		limits := relay.Limits{Unconditional: s.Relay.Direct(), PerDomain: s.Relay.DomainRelays(), Max: settings.MaxStreams}
		c.losses = quarantine.NewStore(s.Instance, log)
		c.lossArchive = newLossArchive(filepath.Join(s.DataDir, "control", "losses"), c.losses, log)
		departures := fleetsync.OpenDepartureLog(filepath.Join(s.DataDir, "control", "departures"), log)
		c.fleetSync = fleetsync.NewService(s.ReplicaName(), &fleetSource{c}, c.losses, departures, limits, s.Link.MBitPerSecond, log)
	}
	c.addMetrics()
	return c, nil
}

// AddForeground adds no actor, because operators retry an aborted request.
func (c *Control) AddForeground(*run.Group) {}

// AddBackground adds the actors of the replica, the resource API, the archive, the report
// sharing and the fleet synchronization.
func (c *Control) AddBackground(actors *run.Group) {
	actor.Add(actors, func(ctx context.Context) error {
		context.AfterFunc(ctx, c.close)
		return httpx.Serve(ctx, c.operators, c.operatorHandler(), operatorDrainTimeout)
	})
	if c.fleetSync != nil {
		actor.Add(actors, c.fleetSync.Run)
		actor.Add(actors, c.lossArchive.run)
	}
	actor.Add(actors, c.sharer.run)
	actor.Add(actors, c.archiver.run)
	actor.Add(actors, c.watchQuorum)
	actor.Add(actors, c.replica.Run)
}

// Register adds the role's RPCs to a server.
func (c *Control) Register(mux drpc.Mux) error {
	if err := c.replica.Register(mux); err != nil {
		return err
	}
	if c.fleetSync != nil {
		if err := c.fleetSync.Register(mux); err != nil {
			return err
		}
	}
	return configpb.DRPCRegisterConfig(mux, c)
}

// watchQuorum records a gap in the routers' reports while the replica has no active leader,
// because it may miss reports that other replicas receive in that time.
func (c *Control) watchQuorum(ctx context.Context) error {
	ticker := time.NewTicker(c.settings.Timeouts.Heartbeat() / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if !c.replica.Status().HasActiveLeader {
				c.leases.recordGap(now)
			}
		}
	}
}

// write commits a command and returns the resource that the command resulted in. The error
// has CodeNoQuorum if the outcome is unknown at requestTimeout.
func (c *Control) write(ctx context.Context, command *Command) (*api.Resource, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := json.Marshal(command)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "encode a command: %v", err)
	}
	if err := c.checkInGroup(); err != nil {
		return nil, err
	}
	rawOutcome, err := c.replica.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	outcome, err := decodeOutcome(rawOutcome)
	if err != nil {
		return nil, err
	}
	if outcome.Error != nil {
		return nil, outcome.Error
	}
	return outcome.Resource, nil
}

// readBarrier waits until the store has applied all commands that were committed before the
// call, so that a following read is linearizable.
func (c *Control) readBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.checkInGroup(); err != nil {
		return err
	}
	return c.replica.Barrier(ctx)
}

// checkInGroup returns CodeNoQuorum if the replica belongs to no group, so that its requests
// fail without waiting for a timeout.
func (c *Control) checkInGroup() error {
	if c.replica.Status().Group == "" {
		return api.Errorf(api.CodeNoQuorum, "this control replica has not joined a group yet")
	}
	return nil
}

// status returns the rollout status of a revision.
func (c *Control) status(now time.Time, revision uint64) *api.Status {
	return c.leases.status(now, revision, c.store.ChangedAt(revision))
}
