// Package router assembles the router role of a daemon.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/configwatch"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/lifecycle"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/proxy"
	"peridotwinch.example/peridotwinch/internal/reservationrpc"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Router is the router role of a daemon.
type Router struct {
	settings     *settings.Settings
	log          zerolog.Logger
	lifecycle    *lifecycle.Lifecycle
	watcher      *configwatch.Watcher
	members      *membership.Service
	reservations *reservationrpc.Service
	dispatch     *dispatch.Dispatcher
	proxy        *proxy.Proxy
	callers      net.Listener
	backends     net.Listener
}

// New opens the role's listeners and returns the role. It returns an error if a
// listener cannot be opened.
func New(s *settings.Settings, log zerolog.Logger, lc *lifecycle.Lifecycle) (*Router, error) {
	callers, err := httpx.Listen("listen.callers", s.Listen.Callers)
	if err != nil {
		return nil, err
	}
	backends, err := httpx.Listen("listen.backends", s.Listen.Backends)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	watcher := configwatch.New(s, log)
	members := membership.NewService(s, log)
	dispatcher := dispatch.New(members, newPolicy(s.Routing.Policy), dispatch.WithQueueTimeout(s.Timeouts.Queue()))
	members.SetInFlightSource(dispatcher)
	reservations := reservationrpc.New(s, log, members, dispatcher)
	dispatcher.SetReservations(reservations, watcher.Catalog)
	lc.AddCheck(watcher.Ready)
	lc.AddCheck(members.Ready)
	return &Router{
		settings:     s,
		log:          log,
		lifecycle:    lc,
		watcher:      watcher,
		members:      members,
		reservations: reservations,
		dispatch:     dispatcher,
		proxy:        proxy.New(s, log, watcher, dispatcher, newClaimer(s)),
		callers:      callers,
		backends:     backends,
	}, nil
}

// newClaimer returns a claimer that uses the ledger replicas of the settings. It
// refuses every claim if the settings have none.
func newClaimer(s *settings.Settings) ledger.Claimer {
	if len(s.PeersWithRole(settings.RoleLedger)) == 0 {
		return ledger.UnavailableClaimer{}
	}
	return quorum.New(quorum.MembersFrom(s))
}

// newPolicy returns a function that creates balancers of the selected policy.
func newPolicy(policy settings.Policy) func() balance.Balancer {
	return func() balance.Balancer {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		balancer, err := balance.New(policy, random)
		if err != nil {
			return balance.NewBounded(random)
		}
		return balancer
	}
}

// Register adds the role's RPCs to a server.
func (r *Router) Register(mux drpc.Mux) error {
	// In a process with the control role, that role serves the configuration RPCs.
	if !r.settings.HasRole(settings.RoleControl) {
		if err := r.watcher.Register(mux); err != nil {
			return err
		}
	}
	if err := r.members.Register(mux); err != nil {
		return err
	}
	return r.reservations.Register(mux)
}

// AddForeground adds the actors that serve callers. Their interrupt functions
// return after the requests in progress have finished.
func (r *Router) AddForeground(group *run.Group) {
	actor.AddDraining(group, r.serveCallers)
}

// AddBackground adds the actors that requests in progress depend on.
func (r *Router) AddBackground(group *run.Group) {
	announcements := http.NewServeMux()
	announcements.Handle("POST /v1/announcements", r.members)
	actor.Add(group, r.watcher.Run)
	actor.Add(group, r.members.Run)
	actor.Add(group, r.reservations.Run)
	actor.Add(group, r.dispatch.Run)
	actor.Add(group, r.proxy.Run)
	actor.Add(group, func(ctx context.Context) error {
		return httpx.Serve(ctx, r.backends, announcements, httpx.ReadHeaderTimeout)
	})
}
