package placement

import (
	"math"
	"time"
)

// Load is a server's load report and its time.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the factor by which work now takes longer than normal on the
	// server's machine; 1 is normal.
	Slowness float64
	At       time.Time
}

// estimatedLoad returns the estimated number of requests on the server: the reported
// load plus the router's own sends since the report, and at least the router's own
// requests in flight. A stale report is ignored.
func (s *Server) estimatedLoad(now time.Time) float64 {
	own := float64(s.InFlight)
	if now.Sub(s.load.At) > maxLoadAge {
		return own
	}
	return math.Max(own, float64(s.load.Running+s.load.Waiting+s.sentSinceReport()))
}

// sentSinceReport returns the number of the router's own sends since the server's
// load report.
func (s *Server) sentSinceReport() (count int) {
	for _, at := range s.sentAt {
		if at.After(s.load.At) {
			count++
		}
	}
	return count
}

// fleetMean is the mean load of a large pool's servers as control has computed it.
type fleetMean struct {
	load float64
	at   time.Time
}

// RecordMeanLoad records the mean load of the pool's servers, as of at. In a large fleet, a router
// receives the loads of the most loaded servers and of a few others. RecordMeanLoad ignores a mean that is
// older than the recorded one, as from another source that received the sums later.
func (p *Pool) RecordMeanLoad(load float64, at time.Time) {
	if !at.Before(p.mean.at) {
		p.mean = fleetMean{load: load, at: at}
	}
}

// meanLoad returns the mean load of those of the servers that have a fresh report, or the recorded
// mean if it is fresh and no server limits its rate. It returns false if there are too few reports.
func (p *Pool) meanLoad(servers []*Server, now time.Time) (mean float64, known bool) {
	if now.Sub(p.mean.at) <= maxLoadAge && !p.limits.HasLimits(now) {
		return p.mean.load, true
	}
	sum, count := 0.0, 0
	for _, s := range servers {
		if now.Sub(s.load.At) <= maxLoadAge {
			sum += s.estimatedLoad(now)
			count++
		}
	}
	if count < minKnownLoads {
		return 0, false
	}
	return sum / float64(count), true
}

// expectedLoad returns the expected load of the server: the reported load, which
// decays to the mean with the age of the report, plus the router's own sends since.
// The decay prevents an overloaded server from being treated as idle as soon as its
// report is stale.
func (s *Server) expectedLoad(mean float64, now time.Time) float64 {
	if s.load.At.IsZero() {
		return math.Max(mean, float64(s.InFlight))
	}
	reported := float64(s.load.Running + s.load.Waiting)
	decayed := mean + (reported-mean)*math.Exp(-now.Sub(s.load.At).Seconds()/loadDecayTime.Seconds())
	return math.Max(float64(s.InFlight), decayed+float64(s.sentSinceReport()))
}

// RecordSend records that a request is assigned to the server. reserved is to be passed to
// ConfirmSend before the request is written, or ended by CancelSend.
func (p *Pool) RecordSend(s *Server, now time.Time) (reserved bool) {
	s.InFlight++
	p.sends = decayingCount{value: p.sends.decayed(now) + 1, at: now}
	for _, hash := range s.sameAddress {
		p.limits.Spend(hash, now)
	}
	s.sentAt = append(s.sentAt, now)
	if len(s.sentAt) > 2*maxTrackedSends {
		s.sentAt = append(s.sentAt[:0], s.sentAt[len(s.sentAt)-maxTrackedSends:]...)
	}
	return p.limits.Reserve(s.addressHash, now)
}

// maxTrackedSends bounds the number of send times that are kept per server.
const maxTrackedSends = 64

// RecordLoad records the load that the server reported with an answer.
func (p *Pool) RecordLoad(s *Server, load Load) {
	if s.updateLoad(load) {
		s.loadUnreported = true
	}
}

// TakeLoadReports returns the loads that were received with answers since the last call,
// keyed by ServerInfo.Hash.
func (p *Pool) TakeLoadReports() map[uint64]Load {
	out := make(map[uint64]Load)
	for _, s := range p.servers {
		if s.loadUnreported {
			s.loadUnreported = false
			out[s.Hash] = s.load
		}
	}
	return out
}

// RecordPeerLoad records a load that the server reported to another router. It
// ignores a hash that no server has.
func (p *Pool) RecordPeerLoad(hash uint64, load Load) {
	if s := p.byHash[hash]; s != nil {
		s.updateLoad(load)
	}
}

// updateLoad replaces the load report unless the current one is newer, and reports
// whether it did.
func (s *Server) updateLoad(load Load) bool {
	if load.At.Before(s.load.At) {
		return false
	}
	s.load = load
	recent := s.sentAt[:0]
	for _, at := range s.sentAt {
		if at.After(load.At) {
			recent = append(recent, at)
		}
	}
	s.sentAt = recent
	return true
}
