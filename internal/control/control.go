// Package control keeps the declared resources in a replicated log, answers the
// resource API and streams changes to the routers.
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
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// requestTimeout bounds an operator's request; after it the answer is
// CodeNoQuorum.
const requestTimeout = 5 * time.Second

const (
	// operatorDrain is how long a stopping replica waits for operators' requests.
	operatorDrain = time.Second
	// stuckAfter is the age of a replica's status from which its disk counts as
	// stuck: a working replica takes its status every tick of 50 ms.
	stuckAfter = 600 * time.Millisecond
)

// Control is the control role of a daemon.
type Control struct {
	log       zerolog.Logger
	settings  *settings.Settings
	store     *Store
	replica   *replica.Replica
	leases    *leases
	sharing   *sharing
	heardBy   *heardBy
	archive   *archive
	archiver  *archiver
	operators net.Listener
	// adapter and spread are set where daemons join by seeds.
	adapter adapter.Adapter
	spread  *fleetsync.Service
	// closing ends the operators' watches on a shutdown.
	closing context.Context
	close   context.CancelFunc
}

// New loads the durable state, opens the role's listener and returns the role.
// The adapter is nil where callers and operators speak the product's interface.
func New(s *settings.Settings, selected adapter.Adapter, log zerolog.Logger, life *lifecycle.Lifecycle) (*Control, error) {
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
		// A router serves callers also where control has no quorum.
		life.AddCheck(r.Ready)
	}
	c := &Control{
		log: log, settings: s, store: store, replica: r, operators: operators,
		leases:  newLeases(s.PeersWithRole(settings.RoleRouter), time.Now()),
		heardBy: newHeardBy(),
	}
	c.sharing = newSharing(s, c.leases)
	c.archive = &archive{dir: filepath.Join(s.DataDir, "control", "audit")}
	c.archiver = newArchiver(s, store, c.archive, log)
	c.closing, c.close = context.WithCancel(context.Background())
	if selected != nil {
		c.adapter = selected
		c.spread = fleetsync.NewService(s.ReplicaName(), &group{c}, s.Link.MBitPerSecond, log)
	}
	c.addMetrics()
	return c, nil
}

// AddForeground adds no actor: operators repeat a request that was cut.
func (c *Control) AddForeground(*run.Group) {}

// AddBackground adds the actors of the replica and of the resource API.
func (c *Control) AddBackground(group *run.Group) {
	actor.Add(group, func(ctx context.Context) error {
		context.AfterFunc(ctx, c.close)
		return httpx.Serve(ctx, c.operators, c.operatorHandler(), operatorDrain)
	})
	if c.spread != nil {
		actor.Add(group, c.spread.Run)
	}
	actor.Add(group, c.sharing.run)
	actor.Add(group, c.archiver.run)
	actor.Add(group, c.watchQuorum)
	actor.Add(group, c.replica.Run)
}

// Register adds the role's RPCs to a server.
func (c *Control) Register(mux drpc.Mux) error {
	if err := c.replica.Register(mux); err != nil {
		return err
	}
	if c.spread != nil {
		if err := c.spread.Register(mux); err != nil {
			return err
		}
	}
	return configpb.DRPCRegisterConfig(mux, c)
}

// watchQuorum forgets what the leases prove while the replica was cut off.
func (c *Control) watchQuorum(ctx context.Context) error {
	ticker := time.NewTicker(c.settings.Timeouts.Heartbeat() / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if !c.replica.Status().Current {
				c.leases.restart(now)
			}
		}
	}
}

// write gets a command committed and returns the resource as it is then.
func (c *Control) write(ctx context.Context, command *Command) (*api.Resource, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := json.Marshal(command)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "encode a command: %v", err)
	}
	if err := c.inGroup(); err != nil {
		return nil, err
	}
	answer, err := c.replica.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	outcome, err := decodeOutcome(answer)
	if err != nil {
		return nil, err
	}
	if outcome.Error != nil {
		return nil, outcome.Error
	}
	return outcome.Resource, nil
}

// current waits until the store has all that was committed before the call.
func (c *Control) current(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.inGroup(); err != nil {
		return err
	}
	return c.replica.Barrier(ctx)
}

// inGroup refuses at once what a replica without a group cannot answer.
func (c *Control) inGroup() error {
	if c.replica.Status().Group == "" {
		return api.Errorf(api.CodeNoQuorum, "this control replica belongs to no group yet")
	}
	return nil
}

// status tells how far a revision has spread.
func (c *Control) status(now time.Time, revision uint64) *api.Status {
	return c.leases.status(now, revision, c.store.ChangedAt(revision))
}
