package placement

import (
	"slices"
	"time"
)

// MarkLeaving records that an incarnation stated that it is leaving, and reports whether that is
// news. It gets no request any more, but other servers may still copy prompt parts from it.
func (p *Pool) MarkLeaving(incarnation uint64, now time.Time) bool {
	if !p.withdrawals.MarkLeaving(incarnation, now) {
		return false
	}
	p.servers = slices.DeleteFunc(slices.Clone(p.servers), func(s *Server) bool {
		if !slices.Contains(s.sameAddress, incarnation) {
			return false
		}
		delete(p.byID, s.ID)
		delete(p.byHash, s.Hash)
		p.drainingAddresses[s.ID] = s.Address
		return true
	})
	return true
}

// Pause records that an incarnation wants no request until a time, and reports whether it wanted
// some before.
func (p *Pool) Pause(incarnation uint64, until, now time.Time) bool {
	return p.withdrawals.Pause(incarnation, until, now)
}

// isPaused reports whether the server wants no request at now.
func (p *Pool) isPaused(s *Server, now time.Time) bool {
	_, paused := p.pausedUntil(s, now)
	return paused
}

// blockedUntil returns the time from which the server accepts requests of this router, if it
// accepts none at now: it has asked for a pause, its rate limit is used up, or it is warming up.
func (p *Pool) blockedUntil(s *Server, now time.Time) (until time.Time, blocked bool) {
	until, paused := p.pausedUntil(s, now)
	permittedAt, limited := p.rateAvailableAt(s, now)
	warmAt, warming := p.warmupAvailableAt(s, now)
	for _, at := range []time.Time{permittedAt, warmAt} {
		if at.After(until) {
			until = at
		}
	}
	return until, paused || limited || warming
}

// AvailableAt returns the time at which the first server accepts requests of this router again, if
// all servers accept none at now.
func (p *Pool) AvailableAt(now time.Time) (first time.Time, allBlocked bool) {
	for _, s := range p.servers {
		until, blocked := p.blockedUntil(s, now)
		if !blocked {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, len(p.servers) > 0
}

// Withdrawn returns how many of the servers that control lists are leaving, or want no request
// at now.
func (p *Pool) Withdrawn(now time.Time) (leaving, paused int) {
	for _, s := range p.servers {
		if p.isPaused(s, now) {
			paused++
		}
	}
	return p.withdrawals.Leaving(p.listedAt), paused
}

// Limited returns how many servers limit their rate, and for how many of them this router's share
// is used up at now.
func (p *Pool) Limited(now time.Time) (limited, usedUp int) {
	if !p.limits.HasLimits(now) {
		return 0, 0
	}
	for _, s := range p.servers {
		if !p.isLimited(s) {
			continue
		}
		limited++
		if _, blocked := p.rateAvailableAt(s, now); blocked {
			usedUp++
		}
	}
	return limited, usedUp
}
