// Package router composes the router role of a daemon.
package router

import (
	"context"
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
	"peridotwinch.example/peridotwinch/internal/lifecycle"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/proxy"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Router is the router role of a daemon.
type Router struct {
	settings *settings.Settings
	watcher  *configwatch.Watcher
	members  *membership.Service
	proxy    *proxy.Proxy
	callers  net.Listener
	backends net.Listener
}

// New opens the role's listeners and returns the role.
func New(s *settings.Settings, log zerolog.Logger, life *lifecycle.Lifecycle) (*Router, error) {
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
	dispatcher := dispatch.New(members, newPolicy)
	life.AddCheck(watcher.Ready)
	return &Router{
		settings: s,
		watcher:  watcher,
		members:  members,
		proxy:    proxy.New(s, log, watcher, dispatcher, ledger.Unavailable{}),
		callers:  callers,
		backends: backends,
	}, nil
}

func newPolicy() balance.Balancer { return balance.NewRendezvous() }

// Register adds the role's RPCs to a server.
func (r *Router) Register(mux drpc.Mux) error {
	// Where this process has the control role, that answers for the configuration.
	if !r.settings.HasRole(settings.RoleControl) {
		if err := r.watcher.Register(mux); err != nil {
			return err
		}
	}
	return r.members.Register(mux)
}

// AddForeground adds the actors that serve callers. Their interrupts wait until
// the requests in progress have finished.
func (r *Router) AddForeground(group *run.Group) {
	actor.AddDraining(group, func(ctx context.Context) error {
		return httpx.Serve(ctx, r.callers, r.proxy.Handler(), r.settings.Timeouts.Drain())
	})
}

// AddBackground adds the actors that the requests in progress rely on.
func (r *Router) AddBackground(group *run.Group) {
	announcements := http.NewServeMux()
	announcements.Handle("POST /v1/announcements", r.members)
	actor.Add(group, r.watcher.Run)
	actor.Add(group, r.members.Run)
	actor.Add(group, func(ctx context.Context) error {
		return httpx.Serve(ctx, r.backends, announcements, httpx.ReadHeaderTimeout)
	})
}
