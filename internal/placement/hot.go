package placement

import (
	"math"
	"time"
)

const (
	// keyCountHalfLife is the half-life of a request's weight in the count of its
	// key.
	keyCountHalfLife = 5 * time.Second
	// maxKeyLoadShare is the load, as a share of the mean load of a server, that one
	// key may put on a server before it gets another one; the server has load from
	// other keys too.
	maxKeyLoadShare = 0.6
	// hotKeyDeviations is the number of standard deviations subtracted from a key's
	// count before the key is treated as hot, because a router receives few requests
	// for each key.
	hotKeyDeviations = 0.5
	// minHotKeyCount is the count below which a key is never hot.
	minHotKeyCount = 2.0
	maxTrackedKeys = 2048
)

// keyShares estimates each key's share of a router's requests. Callers choose a
// router independently of the key, so this is also the key's share of all routers'
// requests.
type keyShares struct {
	counts map[uint64]decayingCount
	total  decayingCount
}

// decayingCount is a number of requests that decays exponentially with
// keyCountHalfLife.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c decayingCount) decayed(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.at).Seconds()/keyCountHalfLife.Seconds())
}

// perSecond returns the rate of the requests per second, averaged over about keyCountHalfLife.
func (c decayingCount) perSecond(now time.Time) float64 {
	return c.decayed(now) * math.Ln2 / keyCountHalfLife.Seconds()
}

func newKeyShares() *keyShares { return &keyShares{counts: make(map[uint64]decayingCount)} }

// record counts a request with the key.
func (s *keyShares) record(key uint64, now time.Time) {
	if len(s.counts) >= maxTrackedKeys {
		s.evict(now)
	}
	s.counts[key] = decayingCount{value: s.counts[key].decayed(now) + 1, at: now}
	s.total = decayingCount{value: s.total.decayed(now) + 1, at: now}
}

func (s *keyShares) evict(now time.Time) {
	for key, c := range s.counts {
		if c.decayed(now) < 0.5 {
			delete(s.counts, key)
		}
	}
	if len(s.counts) >= maxTrackedKeys {
		clear(s.counts)
	}
}

// serversNeeded returns how many of n servers the requests of the key need.
func (s *keyShares) serversNeeded(key uint64, n int, now time.Time) int {
	requests, total := s.counts[key].decayed(now), s.total.decayed(now)
	lowerBound := requests - hotKeyDeviations*math.Sqrt(requests)
	if requests < minHotKeyCount || total <= 0 {
		return 1
	}
	needed := math.Ceil(lowerBound / total * float64(n) / maxKeyLoadShare)
	return int(math.Min(math.Max(needed, 1), float64(n)))
}
