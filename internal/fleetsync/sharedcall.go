package fleetsync

import (
	"context"
	"sync"
)

// sharedCall performs a call for all who ask for it while one is in progress: they
// share the next one, so that what it confirms is not older than their question. 80
// routers that come together cost two questions to the majority then.
type sharedCall struct {
	call func(context.Context) error

	mu      sync.Mutex
	running *round
	next    *round
}

// round is one call; err is valid once done is closed.
type round struct {
	done chan struct{}
	err  error
}

func newSharedCall(call func(context.Context) error) *sharedCall { return &sharedCall{call: call} }

// do waits for a call that begins after do was called, until ctx ends.
func (s *sharedCall) do(ctx context.Context) error {
	r := s.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the round that begins next, which is at once where none is running.
func (s *sharedCall) join() *round {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &round{done: make(chan struct{})}
	}
	joined := s.next
	if s.running == nil {
		s.startNext()
	}
	return joined
}

// startNext runs the next round; mu is held.
func (s *sharedCall) startNext() {
	r := s.next
	s.running, s.next = r, nil
	if r == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		r.err = s.call(ctx)
		close(r.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startNext()
	}()
}
