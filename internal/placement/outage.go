package placement

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// In a pool with more than maxUnboundedPool servers, probes of all servers of a failure domain take tens of
// seconds after an outage. Servers that failed no connection of the router therefore count as started at the
// domain's first answer, and as warm after the warm-up time. Those that start later state their warm-up with
// announcements and answers.

// isLost reports whether the server may have restarted since the router lost its connections to it.
func (p *Pool) isLost(s *Server, now time.Time) bool {
	if s.lostWithDomain && !s.lostAt.IsZero() {
		if w, _ := p.limits.Warmup(); now.Sub(s.lostAt) >= w.Duration {
			s.lostAt = time.Time{}
		}
	}
	return !s.lostAt.IsZero()
}

// possibleWarmupEnd returns the end of the warm-up of a lost server that was reached at now.
func (s *Server) possibleWarmupEnd(w ratelimit.Warmup, now time.Time) time.Time {
	if s.lostWithDomain {
		now = s.lostAt
	}
	return now.Add(w.Duration)
}

// heardAfterOutage reports whether control has received an announcement of the server after an outage of its
// failure domain, so that no probe is needed to find out whether it runs.
func (s *Server) heardAfterOutage() bool { return s.lostWithDomain && s.HeardAt.After(s.lostAt) }

// recordAnswerAfterOutage records that a server has answered that was lost with its failure domain.
func (p *Pool) recordAnswerAfterOutage(s *Server, now time.Time) {
	if s.lostWithDomain {
		p.recordContact(s, now)
	}
}
