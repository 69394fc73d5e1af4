// Package daemon runs the roles of one process.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/control"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/ingress"
	"peridotwinch.example/peridotwinch/internal/ledger/replica"
	"peridotwinch.example/peridotwinch/internal/lifecycle"
	"peridotwinch.example/peridotwinch/internal/router"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/status"
)

// role is a role of the daemon with its own actors and RPCs.
type role interface {
	status.Reporter
	Register(mux drpc.Mux) error
	AddForeground(group *run.Group)
	AddBackground(group *run.Group)
}

// Daemon is one process of the system.
type Daemon struct {
	settings    *settings.Settings
	log         zerolog.Logger
	life        *lifecycle.Lifecycle
	roles       []role
	extraActors []actor.Func
	peers       net.Listener
	platform    net.Listener
	rpc         *rpc.Server
}

// New configures the garbage collector of the process, opens the daemon's listeners and
// creates its roles. The settings may select one of the adapters. New fails with
// CodeAddressInUse if a listen address is in use and with CodeSettingsInvalid if the
// settings select an unknown adapter.
func New(s *settings.Settings, adapters adapter.Set, log zerolog.Logger) (*Daemon, error) {
	log = log.With().Str("instance", s.Instance).Str("failureDomain", s.FailureDomain).Logger()
	d := &Daemon{settings: s, log: log, life: lifecycle.New(), rpc: rpc.NewServer()}
	tuneMemory(s)
	var err error
	if d.peers, err = httpx.Listen("listen.peers", s.Listen.Peers); err != nil {
		return nil, err
	}
	if d.platform, err = httpx.Listen("listen.platform", s.Listen.Platform); err != nil {
		return nil, err
	}
	selected := adapters[s.Adapter]
	if s.Adapter != "" && selected == nil {
		return nil, api.FieldErrorf(api.CodeSettingsInvalid, "adapter", "unknown adapter %q", s.Adapter)
	}
	if err := d.addRoles(selected); err != nil {
		return nil, err
	}
	if err := d.register(); err != nil {
		return nil, errors.Wrap(err, "register RPCs")
	}
	return d, nil
}

func (d *Daemon) register() error {
	reporters := []status.Reporter{d}
	for _, r := range d.roles {
		if err := r.Register(d.rpc.Mux()); err != nil {
			return err
		}
		reporters = append(reporters, r)
	}
	return status.NewService(reporters...).Register(d.rpc.Mux())
}

// AddStatus implements status.Reporter.
func (d *Daemon) AddStatus(status *api.DaemonStatus) {
	status.Instance = d.settings.Instance
	status.FailureDomain = d.settings.FailureDomain
	status.State = string(d.life.State())
}

func (d *Daemon) addRoles(selected adapter.Adapter) error {
	if d.settings.HasRole(settings.RoleRouter) && d.settings.Join != nil {
		r, err := ingress.New(d.settings, selected, d.log, d.life)
		if err != nil {
			return err
		}
		d.roles = append(d.roles, r)
	} else if d.settings.HasRole(settings.RoleRouter) {
		r, err := router.New(d.settings, d.log, d.life)
		if err != nil {
			return err
		}
		d.roles = append(d.roles, r)
	}
	if d.settings.HasRole(settings.RoleControl) {
		c, err := control.New(d.settings, selected, d.log, d.life)
		if err != nil {
			return err
		}
		d.roles = append(d.roles, c)
	}
	if d.settings.HasRole(settings.RoleLedger) {
		l, err := replica.NewRole(d.settings, d.log)
		if err != nil {
			return err
		}
		d.roles = append(d.roles, l)
	}
	return nil
}

// Run serves until ctx ends or an actor fails, then drains. It returns the failure, or an
// error if the drain aborted requests.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	group.Add(d.waitForShutdown(ctx))
	for _, r := range d.roles {
		r.AddForeground(&group)
	}
	for _, r := range d.roles {
		r.AddBackground(&group)
	}
	actor.Add(&group, func(ctx context.Context) error { return d.rpc.Serve(ctx, d.peers) })
	actor.Add(&group, func(ctx context.Context) error {
		return httpx.Serve(ctx, d.platform, d.platformHandler(), httpx.ReadHeaderTimeout)
	})
	for _, run := range d.extraActors {
		actor.Add(&group, run)
	}
	if err := d.life.Fire(lifecycle.Started); err != nil {
		return err
	}
	d.log.Info().Msg("serving")
	defer d.forceOnSecondSignal()()
	err := group.Run()
	if err == nil {
		err = d.life.AbortError()
	}
	d.finish(err)
	return err
}

// waitForShutdown returns the actor that returns first on a shutdown. The group then
// interrupts the other actors in the order in which they were added: those that serve
// callers first.
func (d *Daemon) waitForShutdown(parent context.Context) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(parent)
	execute = func() error {
		<-ctx.Done()
		return nil
	}
	interrupt = func(error) {
		_ = d.life.Fire(lifecycle.Drain)
		d.log.Info().Msg("draining")
		cancel()
	}
	return execute, interrupt
}

// forceOnSecondSignal aborts the graceful shutdown on the second SIGINT or SIGTERM. The
// returned function stops the handling of signals.
func (d *Daemon) forceOnSecondSignal() (stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		for range 2 {
			select {
			case <-signals:
			case <-done:
				return
			}
		}
		d.log.Warn().Msg("second signal received; forcing the shutdown")
		d.life.ForceStop()
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

func (d *Daemon) finish(err error) {
	if err != nil {
		_ = d.life.Fire(lifecycle.Failed)
		d.log.Error().Err(err).Msg("stopped with an error")
		return
	}
	_ = d.life.Fire(lifecycle.Drained)
	d.log.Info().Msg("stopped")
}

func (d *Daemon) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", d.life.Live)
	mux.HandleFunc("GET /readyz", d.life.Ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return mux
}
