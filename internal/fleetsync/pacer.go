package fleetsync

import (
	"sync"
	"time"
)

const (
	// pacedLinkShare is the share of the instance's link bandwidth that large events may use,
	// so that they do not delay heartbeats of the control group by an election timeout. 1,240
	// new routes take 18 KB compressed; 25 routers receive them within 1.6 s over 3 Mbit/s.
	// With half of the bandwidth, some routers exceeded the allowed 2.5 s.
	pacedLinkShare = 0.75
	// minPacedBytes is the size from which events are rate-limited: a full route table takes
	// 5 KB, a delta 0.3 KB.
	minPacedBytes = 1500
	// pacedBurstBytes is the burst allowance of large events, 0.06 s of the smallest known
	// link.
	pacedBurstBytes = 24 << 10
)

// pacer limits the rate of large events on the instance's link, in FIFO order.
type pacer struct {
	bytesPerSecond float64

	mu sync.Mutex
	// linkFreeAt is when the link will have sent all granted transmissions.
	linkFreeAt time.Time
	queue      []*transmission
	timer      *time.Timer
}

// transmission is a queued event; granted is closed once the event may be sent.
type transmission struct {
	bytes     int
	granted   chan struct{}
	cancelled bool
}

// newPacer returns a pacer for a link of the given bandwidth in Mbit/s. 0 means that the
// bandwidth is unknown and disables pacing.
func newPacer(linkMbps float64) *pacer {
	return &pacer{bytesPerSecond: linkMbps * 1e6 / 8 * pacedLinkShare}
}

// enqueue queues an event of the given size. The transmission is granted at once if pacing is
// disabled or the event is smaller than minPacedBytes.
func (p *pacer) enqueue(bytes int) *transmission {
	t := &transmission{bytes: bytes, granted: make(chan struct{})}
	if p.bytesPerSecond <= 0 || bytes < minPacedBytes {
		close(t.granted)
		return t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = append(p.queue, t)
	p.grantDue(time.Now())
	return t
}

// cancel marks a queued transmission as cancelled because its router has disconnected.
// Cancelled transmissions use no bandwidth and do not delay those behind them.
func (p *pacer) cancel(t *transmission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.cancelled = true
}

// grantDue grants the queued transmissions that the rate limit allows at now, and schedules
// the next grant; the caller holds mu.
func (p *pacer) grantDue(now time.Time) {
	for len(p.queue) > 0 {
		next := p.queue[0]
		if p.linkFreeAt.Before(now) {
			p.linkFreeAt = now
		}
		if delay := p.linkFreeAt.Sub(now) - p.transmitTime(pacedBurstBytes); delay > 0 && !next.cancelled {
			p.scheduleGrant(delay)
			return
		}
		p.queue = p.queue[1:]
		if next.cancelled {
			continue
		}
		p.linkFreeAt = p.linkFreeAt.Add(p.transmitTime(next.bytes))
		close(next.granted)
	}
}

func (p *pacer) scheduleGrant(delay time.Duration) {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.grantDue(time.Now())
	})
}

// transmitTime returns the time that bytes take at the paced rate.
func (p *pacer) transmitTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}
