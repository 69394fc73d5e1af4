package placement

import (
	"math"
	"time"
)

const (
	// hotHalfLife is the time after which a request counts half in its key's share.
	hotHalfLife = 5 * time.Second
	// hotLoad is the share of the mean load of a server that one key may bring
	// before it gets another server; other keys bring their part as well.
	hotLoad = 0.6
	// hotDoubt is how many standard deviations a count is lowered by before it says
	// that a key is hot: a router sees few requests of each key.
	hotDoubt = 0.5
	// hotLeast is the least count that says anything about a key.
	hotLeast = 2.0
	maxHot   = 2048
)

// shares estimates each key's share of a router's requests. Callers reach routers
// without regard to keys, so that it is the key's share of all requests as well.
type shares struct {
	counts map[uint64]count
	total  count
}

// count is a number of requests that fades with time.
type count struct {
	value float64
	at    time.Time
}

func (c count) faded(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.at).Seconds()/hotHalfLife.Seconds())
}

func newShares() *shares { return &shares{counts: make(map[uint64]count)} }

// add counts a request with the key.
func (s *shares) add(key uint64, now time.Time) {
	if len(s.counts) >= maxHot {
		s.forget(now)
	}
	s.counts[key] = count{value: s.counts[key].faded(now) + 1, at: now}
	s.total = count{value: s.total.faded(now) + 1, at: now}
}

func (s *shares) forget(now time.Time) {
	for key, c := range s.counts {
		if c.faded(now) < 0.5 {
			delete(s.counts, key)
		}
	}
	if len(s.counts) >= maxHot {
		clear(s.counts)
	}
}

// servers returns how many of n servers the key's requests need.
func (s *shares) servers(key uint64, n int, now time.Time) int {
	seen, total := s.counts[key].faded(now), s.total.faded(now)
	sure := seen - hotDoubt*math.Sqrt(seen)
	if seen < hotLeast || total <= 0 {
		return 1
	}
	need := math.Ceil(sure / total * float64(n) / hotLoad)
	return int(math.Min(math.Max(need, 1), float64(n)))
}
