package slotshare

import (
	"math"
	"slices"
	"time"
)

const (
	// serviceSmoothing is the weight of the newest service time of a server. At 40 requests/s a
	// server that becomes 2.5 times slower is known to be slow within 100 ms.
	serviceSmoothing = 0.25
	// deviationSmoothing is the weight of the newest deviation of a service time.
	deviationSmoothing = 0.05
	// serviceDecay is the time constant with which a server's estimate returns to that of the
	// pool, so that a server that was slow is used again. Slow intervals last about 600 ms.
	serviceDecay = 400 * time.Millisecond
)

// serviceTime is a moving average of the service times of a server.
type serviceTime struct {
	mean time.Duration
	at   time.Time
}

func (s *serviceTime) record(sample time.Duration, now time.Time) {
	if s.mean == 0 {
		s.mean = sample
	}
	weight := math.Max(serviceSmoothing, 1-s.freshness(now))
	s.mean += time.Duration(weight * float64(sample-s.mean))
	s.at = now
}

func (s *serviceTime) freshness(now time.Time) float64 {
	return math.Exp(-now.Sub(s.at).Seconds() / serviceDecay.Seconds())
}

// estimate returns the expected service time; typical is that of the pool.
func (s *serviceTime) estimate(typical time.Duration, now time.Time) time.Duration {
	if s.mean == 0 {
		return typical
	}
	return typical + time.Duration(float64(s.mean-typical)*s.freshness(now))
}

// expected returns the expected service time of a request that is sent to the server now. Requests
// that have run for longer than expected show that the server has become slow before one of them
// ends.
func (c *Coordinator) expected(s *server, now time.Time) time.Duration {
	estimate := s.service.estimate(c.typical, now)
	overdue := time.Duration(0)
	for g := range s.grants {
		if age := now.Sub(g.at); age > estimate && g.lostUntil.IsZero() {
			overdue += age - estimate
		}
	}
	if n := len(s.grants); n > 0 {
		estimate += overdue / time.Duration(n)
	}
	return estimate
}

// recordService records the service time of a request.
func (c *Coordinator) recordService(s *server, sample time.Duration, now time.Time) {
	deviation := (sample - c.typical).Abs()
	if c.typical == 0 {
		deviation = sample / 2
		c.deviation = deviation
	}
	c.deviation += time.Duration(deviationSmoothing * float64(deviation-c.deviation))
	s.service.record(sample, now)
	means := make([]time.Duration, 0, len(c.servers))
	for _, each := range c.servers {
		if each.service.mean > 0 {
			means = append(means, each.service.mean)
		}
	}
	if len(means) == 0 {
		// The server is no longer listed, and no listed one has answered yet.
		means = append(means, sample)
	}
	slices.Sort(means)
	c.typical = means[(len(means)-1)/2]
}

// margin returns the time before its objective at which a request has to be sent to be on time.
func (c *Coordinator) margin() time.Duration {
	return c.typical + time.Duration(spreadMargin*float64(c.deviation))
}
