package fleetsync

import (
	"sync"
	"time"
)

const (
	// pacedShare is the share of the instance's link that large events may take, so that
	// heartbeats of the control group do not wait behind them for an election timeout. 1,240
	// new routes are 18 KB compressed; 25 routers get them within 1.6 s on 3 Mbit/s, and at
	// half of the link some got them after the 2.5 s that are allowed.
	pacedShare = 0.75
	// pacedFrom is the size in bytes from which events are paced: a whole route table takes
	// 5 KB, a change 0.3.
	pacedFrom = 1500
	// pacedBurst is how far in bytes large events may run ahead, 0.06 s of the smallest
	// known link.
	pacedBurst = 24 << 10
)

// pacer gives large events their turns on the link, in the order in which they came.
type pacer struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when the link has sent what was let through.
	free    time.Time
	waiting []*turn
	timer   *time.Timer
}

// turn is an event's place in the queue; granted is closed when it may be sent.
type turn struct {
	bytes     int
	granted   chan struct{}
	withdrawn bool
}

// newPacer returns a pacer for a link of the given Mbit/s; 0 stands for a link whose
// bandwidth is not known, which is not paced.
func newPacer(linkMbps float64) *pacer {
	return &pacer{bytesPerSecond: linkMbps * 1e6 / 8 * pacedShare}
}

// queue returns the turn of an event of the given size.
func (p *pacer) queue(bytes int) *turn {
	t := &turn{bytes: bytes, granted: make(chan struct{})}
	if p.bytesPerSecond <= 0 || bytes < pacedFrom {
		close(t.granted)
		return t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = append(p.waiting, t)
	p.grant(time.Now())
	return t
}

// withdraw gives a turn up that was not granted, because the router has left: those behind
// it do not wait for what is not sent.
func (p *pacer) withdraw(t *turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.withdrawn = true
}

// grant lets through what the link carries by now; mu is held.
func (p *pacer) grant(now time.Time) {
	for len(p.waiting) > 0 {
		next := p.waiting[0]
		if p.free.Before(now) {
			p.free = now
		}
		if pause := p.free.Sub(now) - p.duration(pacedBurst); pause > 0 && !next.withdrawn {
			p.wakeAfter(pause)
			return
		}
		p.waiting = p.waiting[1:]
		if next.withdrawn {
			continue
		}
		p.free = p.free.Add(p.duration(next.bytes))
		close(next.granted)
	}
}

func (p *pacer) wakeAfter(pause time.Duration) {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.grant(time.Now())
	})
}

func (p *pacer) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}
