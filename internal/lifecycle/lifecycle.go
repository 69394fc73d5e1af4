// Package lifecycle tracks whether a daemon starts, serves, drains or has stopped.
package lifecycle

import (
	"context"
	"net/http"
	"sync"

	"peridotwinch.example/peridotwinch/internal/statechart"
)

// States and events of the daemon chart.
const (
	Starting statechart.State = "starting"
	Serving  statechart.State = "serving"
	Draining statechart.State = "draining"
	Stopped  statechart.State = "stopped"

	Started statechart.Event = "started"
	Drain   statechart.Event = "drain"
	Drained statechart.Event = "drained"
	Failed  statechart.Event = "failed"
)

// Check reports why a part of the daemon is not ready, or nil.
type Check func() error

// Lifecycle is the state of a daemon. It is safe for concurrent use.
type Lifecycle struct {
	chart  *statechart.Chart
	mu     sync.Mutex
	state  statechart.State
	checks []Check
	forced context.Context
	force  context.CancelFunc
	cut    error
}

// New returns the lifecycle of a starting daemon.
func New() *Lifecycle {
	chart := statechart.MustLoad("daemon")
	forced, force := context.WithCancel(context.Background())
	return &Lifecycle{chart: chart, state: chart.Initial(), forced: forced, force: force}
}

// Fire moves to the state that follows on the event.
func (l *Lifecycle) Fire(event statechart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, err := l.chart.Next(l.state, event)
	if err != nil {
		return err
	}
	l.state = next
	return nil
}

// State returns the current state.
func (l *Lifecycle) State() statechart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// ForceStop ends a graceful shutdown without waiting for the requests in progress.
func (l *Lifecycle) ForceStop() { l.force() }

// Forced returns a context that ends with ForceStop.
func (l *Lifecycle) Forced() context.Context { return l.forced }

// ReportCut records that the shutdown cut requests in progress off.
func (l *Lifecycle) ReportCut(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = err
}

// CutError returns what ReportCut recorded, or nil.
func (l *Lifecycle) CutError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// AddCheck adds a readiness check.
func (l *Lifecycle) AddCheck(check Check) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks = append(l.checks, check)
}

// Live answers the platform's liveness probe.
func (l *Lifecycle) Live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// Ready answers the platform's readiness probe: 200 while the daemon serves
// and every check passes, 503 otherwise.
func (l *Lifecycle) Ready(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	state, checks := l.state, l.checks
	l.mu.Unlock()
	if state != Serving {
		http.Error(w, string(state), http.StatusServiceUnavailable)
		return
	}
	for _, check := range checks {
		if err := check(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = w.Write([]byte("ok\n"))
}
