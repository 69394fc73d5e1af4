package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// A resumable request goes to another server after a silence of stallPauseFactor times the route's
	// pause objective, and of at least minStallTimeout, if its server is lost. Callers give up
	// after eight such pauses, and after two seconds at the earliest.
	stallPauseFactor = 4
	minStallTimeout  = 1200 * time.Millisecond
	// stallProbeTimeout is the part of the silence in which a server that is not lost accepts a connection.
	stallProbeTimeout = 350 * time.Millisecond
)

var errServerLost = errors.New("no progress, and no connection to the server can be opened")

// stallGuard ends an attempt of a resumable request that makes no progress if its server is lost and another
// one may take over. The silence alone does not tell: an engine may have preempted the request, and
// still works on it after the connection has been closed.
type stallGuard struct {
	call  *call
	lease *lease
	abort func()

	mu sync.Mutex
	// timer is nil if the route allows no other server after this one.
	timer   *time.Timer
	stopped bool
	// reads counts the parts of the answer that have arrived.
	reads uint64
}

// newStallGuard returns the guard of an attempt at a server that is about to begin.
func (c *call) newStallGuard(lease *lease, abort func()) *stallGuard {
	g := &stallGuard{call: c, lease: lease, abort: abort}
	if c.route.Resumable && c.attempts+1 < c.route.MaxServers {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.timer = time.AfterFunc(c.stallTimeout()-stallProbeTimeout, g.check)
	}
	return g
}

// recordProgress records that a part of the answer has arrived.
func (g *stallGuard) recordProgress() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads++
	if g.timer != nil {
		g.timer.Reset(g.call.stallTimeout() - stallProbeTimeout)
	}
}

func (g *stallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.timer != nil {
		g.timer.Stop()
	}
}

// check probes the server of a silent attempt, and ends the attempt if the server cannot be reached.
func (g *stallGuard) check() {
	g.mu.Lock()
	reads, done := g.reads, g.stopped
	g.mu.Unlock()
	if done {
		return
	}
	lost := g.call.pool.availableRetries() >= 1 && g.isServerLost()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopped || g.reads != reads:
	case lost:
		g.stopped = true
		g.abort()
	default:
		g.timer.Reset(g.call.stallTimeout())
	}
}

// isServerLost reports whether nothing accepts a connection at the server's address.
func (g *stallGuard) isServerLost() bool {
	// The end of the call says nothing of the server.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.call.ctx), stallProbeTimeout)
	defer cancel()
	return g.lease.isServerDown(ctx, g.call.gateway.client) && g.call.ctx.Err() == nil
}

func (c *call) stallTimeout() time.Duration {
	return max(minStallTimeout, stallPauseFactor*c.route.PauseObjective)
}
