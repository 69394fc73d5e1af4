package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/placement"
)

// grant is a slot that was taken for a request.
type grant struct {
	// server is nil if the request is refused.
	server *placement.Server
	// reserved is the result of placement.Pool.RecordSend.
	reserved bool
}

// take takes a slot on a server for a request; mu is held.
func (p *pool) take(s *placement.Server, now time.Time) grant {
	return grant{server: s, reserved: p.servers.RecordSend(s, now)}
}

func (p *pool) awaitGrant(ctx context.Context, w *waiter) (*lease, error) {
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	var err error
	select {
	case granted := <-w.granted:
		return p.leaseGranted(granted, w.request)
	case <-timer.C:
		err = api.Errorf(api.CodeOverloaded, "no slot became free within the queue timeout")
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	p.mu.Lock()
	p.queue.remove(w)
	p.mu.Unlock()
	select {
	case granted := <-w.granted:
		// The slot was granted between the timeout and the removal from the queue.
		return p.leaseGranted(granted, w.request)
	default:
		return nil, err
	}
}

// leaseGranted returns the lease of a slot that grantQueued took, or the error with which
// refuseQueued ended the wait.
func (p *pool) leaseGranted(granted grant, request placement.Request) (*lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if granted.server == nil {
		if err := p.checkNotEmpty(now); err != nil {
			return nil, err
		}
		at, allBlocked := p.servers.AvailableAt(now)
		if !allBlocked {
			at = now
		}
		return nil, &unavailableError{availableAt: at}
	}
	return p.newLease(granted, request, now), nil
}

// unavailableError means that all servers of a pool want no request, or none of this router for
// their rate limits or warm-ups, until availableAt.
type unavailableError struct{ availableAt time.Time }

// Error implements error.
func (e *unavailableError) Error() string {
	return fmt.Sprintf("all servers want no request, limit their rate or are warming up, for %v", time.Until(e.availableAt).Round(time.Millisecond))
}

// checkAvailable returns an unavailableError if all servers want no request of this router until
// after the deadline; mu is held.
func (p *pool) checkAvailable(deadline, now time.Time) error {
	if at, allBlocked := p.servers.AvailableAt(now); allBlocked && at.After(deadline) {
		return &unavailableError{availableAt: at}
	}
	return nil
}

// serveQueued grants free slots to queued requests and refuses those that cannot be served in time,
// after a change of what is known of the servers; mu is held.
func (p *pool) serveQueued(now time.Time) {
	p.grantQueued(now)
	p.refuseQueued(now)
}

// refuseQueued ends the wait of the queued requests for which no server accepts requests in
// time; mu is held.
func (p *pool) refuseQueued(now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	at, allBlocked := p.servers.AvailableAt(now)
	if !allBlocked {
		return
	}
	for _, w := range slices.Clone(p.queue) {
		if at.After(w.deadline) {
			p.queue.remove(w)
			w.granted <- grant{}
		}
	}
}
