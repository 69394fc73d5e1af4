// Package lifecycle tracks the state of a daemon: starting, serving, draining or stopped.
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

// Check returns an error that states why a component of the daemon is not ready,
// or nil if it is ready.
type Check func() error

// Lifecycle holds the state of a daemon and its readiness checks. It is safe for concurrent use.
type Lifecycle struct {
	chart  *statechart.Chart
	mu     sync.Mutex
	state  statechart.State
	checks []Check
	// forcedCtx is canceled by ForceStop.
	forcedCtx context.Context
	force     context.CancelFunc
	// abortErr is the error passed to ReportAborted.
	abortErr error
}

// New returns a Lifecycle in the initial state of the daemon chart.
func New() *Lifecycle {
	chart := statechart.MustLoad("daemon")
	forcedCtx, force := context.WithCancel(context.Background())
	return &Lifecycle{chart: chart, state: chart.Initial(), forcedCtx: forcedCtx, force: force}
}

// Fire applies an event. If the daemon chart has no transition for the event in the
// current state, it returns an error and keeps the state.
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

// ForceStop ends a graceful shutdown without waiting for requests in progress.
func (l *Lifecycle) ForceStop() { l.force() }

// ForcedContext returns a context that ForceStop cancels.
func (l *Lifecycle) ForcedContext() context.Context { return l.forcedCtx }

// ReportAborted records the error of a shutdown that aborted requests in progress.
func (l *Lifecycle) ReportAborted(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortErr = err
}

// AbortError returns the error recorded by ReportAborted, or nil.
func (l *Lifecycle) AbortError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abortErr
}

// AddCheck adds a check that Ready evaluates at each probe.
func (l *Lifecycle) AddCheck(check Check) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks = append(l.checks, check)
}

// Live answers the platform's liveness probe with 200 in every state.
func (l *Lifecycle) Live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// Ready answers the platform's readiness probe: 200 if the daemon is serving
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
