// Package ingress is the router role of daemons that join by seeds: it receives the route
// table and the backend servers from control, and serves callers.
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
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/slotrpc"
)

const (
	// idleTimeout is the time after which an idle caller connection is closed. It exceeds
	// the idle limit of 15 s in route tables, so that callers close first.
	idleTimeout = 60 * time.Second
	// abortGracePeriod is the time for aborted requests to end before their connections are
	// closed.
	abortGracePeriod = 200 * time.Millisecond
)

// Ingress is the router role. It is safe for concurrent use.
type Ingress struct {
	settings  *settings.Settings
	log       zerolog.Logger
	lifecycle *lifecycle.Lifecycle
	view      *fleetview.View
	gateway   *gateway.Gateway
	// slots shares the slots of small pools; nil if the settings do not say so.
	slots   *slotrpc.Node
	callers net.Listener
}

// New opens the listener for callers and returns the role. It returns an error if the
// address of the setting listen.callers cannot be listened on.
func New(s *settings.Settings, a adapter.Adapter, log zerolog.Logger, lc *lifecycle.Lifecycle) (*Ingress, error) {
	callers, err := httpx.Listen("listen.callers", s.Listen.Callers)
	if err != nil {
		return nil, err
	}
	in := &Ingress{settings: s, log: log, lifecycle: lc, callers: callers}
	losses := quarantine.NewStore(s.Instance, log)
	in.gateway = gateway.New(s.FailureDomain, a.Dialect(), s.Streams.TransitLimit(), losses, log)
	in.gateway.SetRequestMemory(s.RequestMemoryBytes())
	in.gateway.SetWarmup(s.Warmup.Overage, s.Warmup.Slack)
	if s.Prefill.Balance {
		in.gateway.SeparatePrompts()
	}
	config := fleetview.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Address: relayAddress(s), Seeds: s.ControlAddresses(),
		LinkMbps: s.Link.MBitPerSecond, MaxFollowers: s.Relay.Followers(), Decode: a.DecodeTable, Fleet: in.gateway, Losses: losses,
	}
	if s.Slots.Shared && relayAddress(s) != "" {
		in.slots = slotrpc.New(slotrpc.Config{Instance: s.Instance, FailureDomain: s.FailureDomain, Address: relayAddress(s)}, log)
		in.gateway.SetSlots(in.slots, s.Slots.MinObjective())
		config.SlotAddress, config.OnSlotCoordinator = relayAddress(s), in.slots.SetCoordinator
	}
	in.view = fleetview.New(config, log)
	in.gateway.SetTableSource(in.view)
	lc.AddCheck(in.view.Ready)
	return in, nil
}

// relayAddress returns the address at which other routers follow this one. It is empty if the
// daemon also has the role control, whose service streams to routers.
func relayAddress(s *settings.Settings) string {
	if s.HasRole(settings.RoleControl) {
		return ""
	}
	return s.ReplicaName()
}

// Reload applies changed seeds.
func (in *Ingress) Reload(s *settings.Settings) { in.view.SetSeeds(s.ControlAddresses()) }

// Register adds the RPCs for routers that follow this one, if it relays.
func (in *Ingress) Register(mux drpc.Mux) error {
	if relayAddress(in.settings) == "" {
		return nil
	}
	if in.slots != nil {
		if err := in.slots.Register(mux); err != nil {
			return err
		}
	}
	return in.view.Register(mux)
}

// AddStatus implements status.Reporter.
func (in *Ingress) AddStatus(status *api.DaemonStatus) {
	if err := in.view.Ready(); err != nil {
		status.Degrade(api.CodeNotConfigured, "router", "no route table yet")
	}
}

// AddForeground adds the actor that serves callers, and drains when it is stopped.
func (in *Ingress) AddForeground(group *run.Group) { actor.AddDraining(group, in.serve) }

// AddBackground adds the actors that requests depend on.
func (in *Ingress) AddBackground(group *run.Group) {
	actor.Add(group, in.view.Run)
	actor.Add(group, in.view.ReportLoads)
	actor.Add(group, in.view.ReportLosses)
	actor.Add(group, in.gateway.Run)
	if in.slots != nil {
		actor.Add(group, in.slots.Run)
	}
}

// serve serves callers until ctx ends, and then drains. The readiness probe fails by
// then; the listener and the connections stay open for the announce time, then the
// requests in progress finish, and each answer closes its connection. Callers on kept-alive
// connections would otherwise send to a router that has no time left for an answer. The
// drain timeout or a second signal ends the drain.
func (in *Ingress) serve(ctx context.Context) error {
	server := httpx.NewDrainingServer(in.gateway, idleTimeout)
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(in.callers) }()
	select {
	case err := <-serveResult:
		return err
	case <-ctx.Done():
	}
	end := time.Now().Add(in.settings.Timeouts.Drain())
	drainCtx, cancel := context.WithDeadline(in.lifecycle.ForcedContext(), end)
	defer cancel()
	in.gateway.AnnounceDrain(end)
	in.view.WithdrawCoordinator()
	actor.Sleep(drainCtx, in.settings.Timeouts.Announce())
	_ = in.callers.Close()
	if err := <-serveResult; err != nil {
		in.log.Warn().Err(err).Msg("listener for callers failed")
	}
	if err := server.Drain(drainCtx); err != nil {
		in.abort(server)
	}
	return nil
}

// abort aborts the requests in progress.
func (in *Ingress) abort(server *httpx.DrainingServer) {
	count := in.gateway.InProgress()
	in.gateway.AbortRequests()
	graceCtx, cancel := context.WithTimeout(context.Background(), abortGracePeriod)
	defer cancel()
	if err := server.Drain(graceCtx); err != nil {
		in.log.Error().Err(err).Msg("aborted requests did not end within the grace period")
	}
	server.Close()
	in.log.Error().Int("count", count).Msg("shutdown aborted requests in progress")
}
