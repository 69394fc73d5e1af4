package placement

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

const (
	// proofDelay is how much later than the loss of a connection control has to have received an
	// announcement of the incarnation for it to prove that the process did not restart: a call
	// takes up to 1 s, and the record some tenths of a second to a router.
	proofDelay = 2 * time.Second
	// domainOutage is how long a failure domain has to be unreachable for its processes to count as
	// possibly restarted. Two connections that fail one after the other make it unreachable, which
	// happens by chance while a fifth of its servers is down; the first probes then end the state.
	domainOutage = time.Second
	// maxWarmupEvents bounds the warm-ups that are kept for the log.
	maxWarmupEvents = 256
)

// Sources of the information that a server is warming up.
const (
	SourceAnnouncement = "announcement"
	SourceStart        = "start"
	SourceContact      = "contact"
	SourceAnswer       = "answer"
	SourceReturn       = "return"
)

// WarmupEvent is a warm-up that this router has just learned of, for the log.
type WarmupEvent struct {
	ID, Address, Source string
	Until               time.Time
}

// SetWarmup sets how the pool's servers warm up, and applies it to those that control lists.
func (p *Pool) SetWarmup(w ratelimit.Warmup, now time.Time) {
	before, _ := p.limits.Warmup()
	if w == before {
		return
	}
	p.limits.SetWarmup(w)
	for _, s := range p.servers {
		p.applyListedWarmup(s, now)
	}
}

// limitsWarmups reports whether servers that are warming up get a limited number of requests.
func (p *Pool) limitsWarmups() bool {
	_, limited := p.limits.Warmup()
	return limited
}

// applyListedWarmup records the warm-up that control lists: the remaining time that the server
// states, or else the warm-up time since the router learned that it has started.
func (p *Pool) applyListedWarmup(s *Server, now time.Time) {
	if s.HeardAt.After(s.lostAt.Add(proofDelay)) {
		s.lostAt = time.Time{}
	}
	switch w, limited := p.limits.Warmup(); {
	case !limited:
	case !s.WarmupUntil.IsZero():
		p.markWarming(s, s.WarmupUntil, SourceAnnouncement, now)
	case !s.AppearedAt.IsZero():
		p.markWarming(s, s.AppearedAt.Add(w.Duration), SourceStart, now)
	}
}

// MarkDomainWarming records that the servers of a failure domain are warming up for the pool's
// warm-up time from now on, as when requests return to the domain.
func (p *Pool) MarkDomainWarming(domain string, now time.Time) {
	w, limited := p.limits.Warmup()
	for _, s := range p.servers {
		if limited && s.Domain == domain {
			p.markWarming(s, now.Add(w.Duration), SourceReturn, now)
		}
	}
}

// RecordWarming records the remaining time of a warm-up that an incarnation's answer states.
func (p *Pool) RecordWarming(incarnation uint64, remaining time.Duration, now time.Time) {
	if s := p.byHash[incarnation]; s != nil && remaining > 0 {
		p.markWarming(s, now.Add(min(remaining, time.Hour)), SourceAnswer, now)
	}
}

func (p *Pool) markWarming(s *Server, until time.Time, source string, now time.Time) {
	if p.limits.MarkWarming(s.addressHash, until, now) && len(p.warmupEvents) < maxWarmupEvents {
		p.warmupEvents = append(p.warmupEvents, WarmupEvent{ID: s.ID, Address: s.Address, Source: source, Until: until})
	}
}

// TakeWarmupEvents returns the warm-ups that this router has learned of since the last call.
func (p *Pool) TakeWarmupEvents() []WarmupEvent {
	out := p.warmupEvents
	p.warmupEvents = nil
	return out
}

// warmupAvailableAt returns the earliest time at which the server's warm-up permits this router a
// request; blocked is false if it does at now.
func (p *Pool) warmupAvailableAt(s *Server, now time.Time) (at time.Time, blocked bool) {
	p.markIfLost(s, now)
	return p.limits.WarmupAvailableAt(s.addressHash, now)
}

// markIfLost records a warm-up of a server to which the router has lost a connection. The server may
// have restarted: it counts as warming up until it has been reached and the warm-up time has passed.
func (p *Pool) markIfLost(s *Server, now time.Time) {
	if p.isLost(s, now) {
		p.markPossibleRestart(s, now)
	}
}

// markPossibleRestart records the warm-up of a server that may be a new process.
func (p *Pool) markPossibleRestart(s *Server, now time.Time) {
	if w, limited := p.limits.Warmup(); limited {
		p.markWarming(s, s.possibleWarmupEnd(w, now), SourceContact, now)
	}
}

// recordLoss records that a connection to the server was lost or could not be set up. One that this
// router ended, as after an attempt timeout, is no sign of a restart.
func (p *Pool) recordLoss(s *Server, byRouter bool, now time.Time) {
	r := p.reachability(s.Domain)
	r.losses.record(s.ID, now)
	if !byRouter {
		r.serverLosses.record(s.ID, now)
		s.lostAt, s.lostWithDomain = now, false
	}
}

// recordDomainAnswer records that a server of the failure domain has answered. If the domain was
// unreachable for longer than domainOutage, its processes may have restarted, and the router has no
// connection that proves the contrary: all its servers count as lost.
func (p *Pool) recordDomainAnswer(domain string, now time.Time) {
	r := p.reachability(domain)
	if p.limitsWarmups() && r.mayHaveRestarted(now) {
		for _, s := range p.servers {
			if s.Domain == domain && (s.lostAt.IsZero() || s.lostWithDomain) {
				s.lostAt, s.lostWithDomain = now, len(p.servers) > maxUnboundedPool
			}
		}
	}
	r.recordAnswer()
}

// awaitsContact reports whether a probe has to find out whether a server with a lost connection can be
// reached. Right after a crash, the connection may still be set up.
func (p *Pool) awaitsContact(s *Server, now time.Time) bool {
	return p.isLost(s, now) && now.Sub(s.lostAt) >= lossPause && p.limitsWarmups() && !s.heardAfterOutage()
}

// recordContact records that a new connection to the server was set up. If the router has lost one
// before, it may be a new process that is warming up.
func (p *Pool) recordContact(s *Server, now time.Time) {
	if s.lostAt.IsZero() {
		return
	}
	p.markPossibleRestart(s, now)
	s.lostAt = time.Time{}
}

// Connection is what is known of the connection on which a request is about to be sent.
type Connection struct {
	// New is set if the connection was set up for the request.
	New bool
	// LostIdle is set if the server has closed an idle connection before its timeout.
	LostIdle bool
}

// ConfirmSend reports whether a request for the server may be written to a connection now, and counts
// it against the limit of a server that is warming up. reserved is the result of RecordSend; the
// reservation ends. Between the choice and this call the router may have learned of a warm-up, or of the
// evacuation of the server's failure domain.
func (p *Pool) ConfirmSend(s *Server, connection Connection, reserved bool, now time.Time) bool {
	if current := p.byID[s.ID]; current != nil && current.Address == s.Address {
		s = current
	}
	if connection.LostIdle && p.limitsWarmups() {
		s.lostAt, s.lostWithDomain = now, false
	}
	if connection.New {
		p.recordContact(s, now)
	}
	if p.IsEvacuated(s) {
		if reserved {
			p.CancelSend(s)
		}
		return false
	}
	p.markIfLost(s, now)
	return p.limits.ConfirmWarming(s.addressHash, reserved, now)
}

// CancelSend ends the reservation of a request that is not sent.
func (p *Pool) CancelSend(s *Server) { p.limits.CancelWarming(s.addressHash) }

// WarmingUp returns how many servers are warming up, and to how many of them this router may send no
// request at now.
func (p *Pool) WarmingUp(now time.Time) (warming, usedUp int) {
	if !p.limits.HasWarming(now) {
		return 0, 0
	}
	for _, s := range p.servers {
		if _, ok := p.limits.WarmingUntil(s.addressHash, now); !ok {
			continue
		}
		warming++
		if _, blocked := p.limits.WarmupAvailableAt(s.addressHash, now); blocked {
			usedUp++
		}
	}
	return warming, usedUp
}
