package placement

import (
	"math"
	"time"
)

// Load is what a server told of its load, and when.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes on the server's machine now; 1 is usual.
	Slowness float64
	At       time.Time
}

// estimate returns the number of requests on the server: what it told last and
// the router's own sends since, or the router's own requests.
func (s *Server) estimate(now time.Time) float64 {
	own := float64(s.InFlight)
	if now.Sub(s.load.At) > loadKept {
		return own
	}
	return math.Max(own, float64(s.load.Running+s.load.Waiting+s.sentSince()))
}

// sentSince returns the number of the router's own sends since the server told its
// load.
func (s *Server) sentSince() (count int) {
	for _, at := range s.sentAt {
		if at.After(s.load.At) {
			count++
		}
	}
	return count
}

// meanLoad returns the mean of the loads that are known; it reports false where too
// few are.
func (p *Pool) meanLoad(now time.Time) (mean float64, known bool) {
	sum, count := 0.0, 0
	for _, s := range p.servers {
		if now.Sub(s.load.At) <= loadKept {
			sum += s.estimate(now)
			count++
		}
	}
	if count < leastKnown {
		return 0, false
	}
	return sum / float64(count), true
}

// likely returns the load to expect of the server: what it told, the less certain
// the older, and the mean as far as it is not known. A server that was overloaded is
// not taken for idle as soon as its word is old.
func (s *Server) likely(mean float64, now time.Time) float64 {
	if s.load.At.IsZero() {
		return math.Max(mean, float64(s.InFlight))
	}
	told := float64(s.load.Running + s.load.Waiting)
	faded := mean + (told-mean)*math.Exp(-now.Sub(s.load.At).Seconds()/loadFades.Seconds())
	return math.Max(float64(s.InFlight), faded+float64(s.sentSince()))
}

// RecordSend notes that a request goes to the server.
func (p *Pool) RecordSend(s *Server, now time.Time) {
	s.InFlight++
	s.sentAt = append(s.sentAt, now)
	if len(s.sentAt) > 2*maxSends {
		s.sentAt = append(s.sentAt[:0], s.sentAt[len(s.sentAt)-maxSends:]...)
	}
}

// maxSends bounds the remembered sends of a server.
const maxSends = 64

// RecordLoad notes what the server told of its load with an answer.
func (p *Pool) RecordLoad(s *Server, load Load) {
	if s.learn(load) {
		s.isNew = true
	}
}

// NewLoads returns the loads that came with answers since the last call, by the
// servers' hashes.
func (p *Pool) NewLoads() map[uint64]Load {
	out := make(map[uint64]Load)
	for _, s := range p.servers {
		if s.isNew {
			s.isNew = false
			out[s.Hash] = s.load
		}
	}
	return out
}

// RecordPeerLoad notes a load that the server told another router.
func (p *Pool) RecordPeerLoad(hash uint64, load Load) {
	for _, s := range p.servers {
		if s.Hash == hash {
			s.learn(load)
			return
		}
	}
}

// learn takes a load unless a newer one is known.
func (s *Server) learn(load Load) bool {
	if load.At.Before(s.load.At) {
		return false
	}
	s.load = load
	kept := s.sentAt[:0]
	for _, at := range s.sentAt {
		if at.After(load.At) {
			kept = append(kept, at)
		}
	}
	s.sentAt = kept
	return true
}
