package spread

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

// pacer spreads large events over time.
type pacer struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when the link has sent what was let through.
	free time.Time
}

// newPacer returns a pacer for a link of the given Mbit/s; 0 stands for a link whose
// bandwidth is not known, which is not paced.
func newPacer(linkMbps float64) *pacer {
	return &pacer{bytesPerSecond: linkMbps * 1e6 / 8 * pacedShare}
}

// reserve takes the link for an event and returns how long that has to wait.
func (p *pacer) reserve(size int, now time.Time) time.Duration {
	if p.bytesPerSecond <= 0 || size < pacedFrom {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	pause := p.free.Sub(now) - p.duration(pacedBurst)
	p.free = p.free.Add(p.duration(size))
	return max(pause, 0)
}

func (p *pacer) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}
