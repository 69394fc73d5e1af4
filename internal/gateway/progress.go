package gateway

import (
	"io"
	"sync"
	"time"
)

// progressInterval is the time in which a part of the body has to arrive once an attempt has taken long.
const progressInterval = 500 * time.Millisecond

// bodyProgress counts the bytes of an answer's body as they arrive.
type bodyProgress struct {
	io.Reader
	// length is the declared length of the body, or negative.
	length    int64
	startedAt time.Time

	mu       sync.Mutex
	received int64
}

// Read implements io.Reader.
func (p *bodyProgress) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += int64(n)
	return n, err
}

// progress returns how much of a body of a known length has arrived, and when the body ends if the rest of
// it arrives as fast.
func (p *bodyProgress) progress(now time.Time) (received int64, end time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.length <= 0 || p.received == 0 {
		return 0, time.Time{}
	}
	rest := float64(p.length-p.received) / float64(p.received)
	return p.received, now.Add(time.Duration(rest * float64(now.Sub(p.startedAt))))
}

// attemptTimer ends an attempt that would take too long: another server may then answer in time.
type attemptTimer struct {
	deadline time.Time
	expire   func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	body    *bodyProgress
	// seen is how many bytes of the body had arrived at the latest check.
	seen int64
}

// newAttemptTimer calls expire after a time, unless the body of the answer arrives by then fast enough to
// end before the deadline.
func newAttemptTimer(timeout time.Duration, deadline time.Time, expire func()) *attemptTimer {
	t := &attemptTimer{deadline: deadline, expire: expire}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.check)
	return t
}

func (t *attemptTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.body != nil {
		if received, end := t.body.progress(time.Now()); received > t.seen && end.Before(t.deadline) {
			t.seen = received
			t.timer.Reset(progressInterval)
			return
		}
	}
	t.stopped = true
	t.expire()
}

// watch has the timer take the progress of the body into account.
func (t *attemptTimer) watch(body *bodyProgress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.body = body
}

// stop ends the timer: no other server could answer instead any more.
func (t *attemptTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
