// Package ingress is the router role of daemons that join by seeds: it follows
// control for the route table and the backend servers, and serves callers.
package ingress

import (
	"context"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/fleetview"
	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/lifecycle"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// idleTimeout closes a caller's connection that carries no request. It is above
	// the limit that route tables name, 15 s, so that callers close first.
	idleTimeout = 60 * time.Second
	// cutGrace is the time that cut requests get to end.
	cutGrace = 200 * time.Millisecond
)

// Ingress is the role. It is safe for concurrent use.
type Ingress struct {
	settings *settings.Settings
	log      zerolog.Logger
	life     *lifecycle.Lifecycle
	view     *fleetview.View
	gateway  *gateway.Gateway
	callers  net.Listener
}

// New opens the listener for callers and returns the role.
func New(s *settings.Settings, a adapter.Adapter, log zerolog.Logger, life *lifecycle.Lifecycle) (*Ingress, error) {
	callers, err := httpx.Listen("listen.callers", s.Listen.Callers)
	if err != nil {
		return nil, err
	}
	in := &Ingress{settings: s, log: log, life: life, callers: callers}
	in.gateway = gateway.New(s.FailureDomain, a.Dialect(), log)
	in.view = fleetview.New(s.Instance, s.FailureDomain, s.ControlAddresses(), a.DecodeTable, in.gateway, log)
	in.gateway.SetTableSource(in.view)
	life.AddCheck(in.view.Ready)
	return in, nil
}

// Reload takes changed seeds.
func (in *Ingress) Reload(s *settings.Settings) { in.view.SetSeeds(s.ControlAddresses()) }

// Register adds no RPC.
func (in *Ingress) Register(drpc.Mux) error { return nil }

// AddStatus implements status.Reporter.
func (in *Ingress) AddStatus(status *api.DaemonStatus) {
	if err := in.view.Ready(); err != nil {
		status.Degrade(api.CodeNotConfigured, "router", "no route table yet")
	}
}

// AddForeground adds the actor that serves callers.
func (in *Ingress) AddForeground(group *run.Group) { actor.AddDraining(group, in.serve) }

// AddBackground adds the actors that the requests rely on.
func (in *Ingress) AddBackground(group *run.Group) {
	actor.Add(group, in.view.Run)
	actor.Add(group, in.view.ReportLoads)
	actor.Add(group, in.gateway.Run)
}

// serve serves callers until ctx ends, then drains: the readiness probe fails
// already, listener and connections stay open for the announce time, and then the
// requests in progress finish, each with the end of its connection. Callers on kept
// connections would otherwise send to a router that has no time left for an answer. The drain timeout or a second signal ends that.
func (in *Ingress) serve(ctx context.Context) error {
	server := httpx.NewDrainingServer(in.gateway, idleTimeout)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(in.callers) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(in.life.Forced(), in.settings.Timeouts.Drain())
	defer cancel()
	in.gateway.AnnounceDrain()
	actor.Sleep(limit, in.settings.Timeouts.Announce())
	_ = in.callers.Close()
	if err := <-failed; err != nil {
		in.log.Warn().Err(err).Msg("the listener for callers has failed")
	}
	if err := server.Drain(limit); err != nil {
		in.cutOff(server)
	}
	return nil
}

// cutOff ends the requests in progress.
func (in *Ingress) cutOff(server *httpx.DrainingServer) {
	count := in.gateway.InProgress()
	in.gateway.AbortRequests()
	grace, cancel := context.WithTimeout(context.Background(), cutGrace)
	defer cancel()
	if err := server.Drain(grace); err != nil {
		in.log.Error().Err(err).Msg("requests did not end when they were cut off")
	}
	server.Close()
	in.log.Error().Int("count", count).Msg("the shutdown cut requests off")
}
