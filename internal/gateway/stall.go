package gateway

import (
	"context"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/backend"
)

const (
	// A resumable stream is resumed on another server after a silence of stallPauseFactor times the
	// route's pause objective, and of at least minStallTimeout, if its server is lost. Callers give up
	// after eight such pauses, and after two seconds at the earliest.
	stallPauseFactor = 4
	minStallTimeout  = 1200 * time.Millisecond
	// stallProbeTimeout is the part of the silence in which a server that is not lost accepts a connection.
	stallProbeTimeout = 350 * time.Millisecond
)

// stallGuard gives up a silent stream if its server is lost and another one may resume it. The silence
// alone does not tell: an engine may have preempted the request, and still works on it after the
// connection has been closed.
type stallGuard struct {
	call  *call
	ex    *backend.Exchange
	lease *lease

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// reads counts the parts of the stream that have arrived.
	reads uint64
}

func (c *call) newStallGuard(ex *backend.Exchange, lease *lease) *stallGuard {
	g := &stallGuard{call: c, ex: ex, lease: lease}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(c.stallTimeout()-stallProbeTimeout, g.check)
	return g
}

// recordProgress records that a part of the stream has arrived.
func (g *stallGuard) recordProgress() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads++
	g.timer.Reset(g.call.stallTimeout() - stallProbeTimeout)
}

func (g *stallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}

// check probes the server of a silent stream, and gives the stream up if the server cannot be reached.
func (g *stallGuard) check() {
	g.mu.Lock()
	reads, done := g.reads, g.stopped
	g.mu.Unlock()
	if done {
		return
	}
	lost := false
	if g.call.mayResume() {
		ctx, cancel := context.WithTimeout(g.call.ctx, stallProbeTimeout)
		err := g.call.gateway.client.Probe(ctx, g.lease.address)
		cancel()
		lost = err != nil && g.call.ctx.Err() == nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopped || g.reads != reads:
	case lost:
		g.ex.Abort()
	default:
		g.timer.Reset(g.call.stallTimeout())
	}
}

// mayResume reports whether another server may resume the stream.
func (c *call) mayResume() bool {
	return c.route.Resumable && c.attempts < c.route.MaxServers && c.pool.availableRetries() >= 1
}

func (c *call) stallTimeout() time.Duration {
	return max(minStallTimeout, stallPauseFactor*c.route.PauseObjective)
}
