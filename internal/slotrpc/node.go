// Package slotrpc shares the slots of small pools among routers: it carries the messages of
// package slotshare over one drpc stream from each router to the coordinator. Each router can be
// the coordinator.
package slotrpc

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/slotpb"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// Node is a router's part in the sharing of slots: it asks the coordinator, and grants slots if it
// is the coordinator. It is safe for concurrent use.
type Node struct {
	log      zerolog.Logger
	instance string
	domain   string
	// address is where this node serves asks.
	address string
	// answerLimit is that of the Config.
	answerLimit time.Duration
	service     *service
	metrics     *nodeMetrics

	// named receives a value when the coordinator has changed.
	named chan struct{}

	mu sync.Mutex
	// coordinator is the address of the coordinator, or empty.
	coordinator string
	// link is the stream to the coordinator, or nil while there is none.
	link   *link
	lastID uint64
	// held holds the slots that this router's requests hold.
	held map[uint64]held
}

// held is a slot that a request of this router holds.
type held struct {
	pool   string
	server uint64
	ask    slotshare.Ask
}

// Config configures a node.
type Config struct {
	Instance, FailureDomain string
	// Address is where other routers reach this node.
	Address string
	// AnswerLimit is the lower bound of the time for which the coordinator's answers are awaited, or
	// 0 for the limits of package slotshare.
	AnswerLimit time.Duration
}

// New returns the node of a router.
func New(c Config, log zerolog.Logger) *Node {
	n := &Node{
		log: log, instance: c.Instance, domain: c.FailureDomain, address: c.Address, answerLimit: c.AnswerLimit,
		named: make(chan struct{}, 1), held: make(map[uint64]held), metrics: newNodeMetrics(),
	}
	n.service = newService(log)
	n.registerGauges()
	return n
}

// Register adds the RPCs for other routers.
func (n *Node) Register(mux drpc.Mux) error { return slotpb.DRPCRegisterSlots(mux, n.service) }

// SetServers replaces the servers by the list from control.
func (n *Node) SetServers(entries []registry.Entry) {
	pools := make(map[string][]slotshare.Server)
	for _, e := range entries {
		if e.State == registry.StateReady && e.Slots > 0 {
			pools[e.Pool] = append(pools[e.Pool], slotshare.Server{Hash: e.Hash(), Domain: e.Domain, Slots: e.Slots})
		}
	}
	maps.DeleteFunc(pools, func(_ string, servers []slotshare.Server) bool { return len(servers) > slotshare.MaxServers })
	n.service.setServers(pools)
}

// SetCoordinator sets the address of the coordinator.
func (n *Node) SetCoordinator(address string) {
	n.mu.Lock()
	changed := address != n.coordinator
	n.coordinator = address
	n.mu.Unlock()
	if !changed {
		return
	}
	n.log.Info().Str("address", address).Bool("self", address == n.address).Msg("coordinator of slots changed")
	notify(n.named)
}

// Run keeps a stream to the coordinator open, and decides on waiting requests as the coordinator,
// until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	actor.AddContext(ctx, &group)
	actor.Add(&group, n.follow)
	actor.Add(&group, n.service.run)
	return group.Run()
}

// follow opens a stream to the coordinator, and another one when the coordinator has changed or
// the stream has ended, until ctx ends.
func (n *Node) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		address := n.coordinator
		n.mu.Unlock()
		streamCtx, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		if address != "" {
			go func() { ended <- n.runLink(streamCtx, address) }()
		}
		select {
		case <-ctx.Done():
		case <-n.named:
		case err := <-ended:
			n.log.Info().Err(err).Str("address", address).Msg("stream to the coordinator of slots ended")
			actor.Sleep(ctx, redialInterval)
			ended <- err
		}
		cancel()
		if address != "" {
			<-ended
		}
	}
	return nil
}
