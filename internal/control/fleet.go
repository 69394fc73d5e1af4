package control

import (
	"context"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Reload takes changed seeds.
func (c *Control) Reload(s *settings.Settings) { c.replica.AddSeeds(s.ControlAddresses()) }

// operatorHandler returns the resource API, behind the adapter's own surface
// where there is one.
func (c *Control) operatorHandler() http.Handler {
	if c.adapter == nil {
		return c.Handler()
	}
	mux := http.NewServeMux()
	mux.Handle("/apis/", c.Handler())
	mux.Handle("/", c.adapter.ControlHandler(&surface{Control: c}))
	return mux
}

// surface is what the adapter may ask of this replica.
type surface struct {
	*Control
}

// Announce implements adapter.Control.
func (s *surface) Announce(ctx context.Context, server registry.Server) {
	s.spread.Announce(ctx, server)
}

// Withdraw implements adapter.Control.
func (s *surface) Withdraw(ctx context.Context, id string) { s.spread.Withdraw(ctx, id) }

// LogRefusal implements adapter.Control.
func (s *surface) LogRefusal(subject string, err error) {
	s.log.Warn().Err(err).Str("subject", subject).Msg("call refused")
}

// group is what the spread of servers and tables needs of this replica.
type group struct {
	control *Control
}

// RouteTable implements fleetsync.Replica.
func (g *group) RouteTable() *routetable.Document { return g.control.store.RouteTable() }

// Subscribe implements fleetsync.Replica.
func (g *group) Subscribe() (<-chan struct{}, func()) { return g.control.store.Subscribe() }

// Barrier implements fleetsync.Replica.
func (g *group) Barrier(ctx context.Context) error { return g.control.replica.Barrier(ctx) }

// HasQuorum implements fleetsync.Replica.
func (g *group) HasQuorum() bool {
	status := g.control.replica.Status()
	return status.Current && time.Since(status.At) < stuckAfter
}

// Replicas implements fleetsync.Replica.
func (g *group) Replicas() []string {
	var out []string
	for _, member := range g.control.replica.Status().Membership.Members {
		out = append(out, member.Instance)
	}
	return out
}
