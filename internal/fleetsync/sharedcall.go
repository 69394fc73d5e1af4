package fleetsync

import (
	"context"
	"sync"
)

// sharedCall coalesces concurrent calls. Callers that arrive during an execution share the
// next one, so the result is never older than the caller's request. 80 routers that subscribe
// together cause two read barriers.
type sharedCall struct {
	call func(context.Context) error

	mu      sync.Mutex
	running *execution
	next    *execution
}

// execution is one execution of the call; err is valid once done is closed.
type execution struct {
	done chan struct{}
	err  error
}

func newSharedCall(call func(context.Context) error) *sharedCall { return &sharedCall{call: call} }

// do waits for an execution that starts after do was called, and returns its error. It
// returns ctx.Err() if ctx ends first.
func (s *sharedCall) do(ctx context.Context) error {
	joined := s.join()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the next execution and starts it at once if none is running.
func (s *sharedCall) join() *execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &execution{done: make(chan struct{})}
	}
	joined := s.next
	if s.running == nil {
		s.startNext()
	}
	return joined
}

// startNext starts the next execution, if any caller has joined it; the caller holds mu.
func (s *sharedCall) startNext() {
	current := s.next
	s.running, s.next = current, nil
	if current == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
		defer cancel()
		current.err = s.call(ctx)
		close(current.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startNext()
	}()
}
