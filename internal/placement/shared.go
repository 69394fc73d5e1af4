package placement

import (
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// Unusable returns the servers that this router cannot use for the request, by their hashes: it
// was sent to them before, or they are suspect, paused or beyond this router's share of
// their rate. It returns false if the router has to choose the server itself: the pool is large,
// has engines or unknown slots, no server is usable, or the request is due to test one that is
// suspect.
func (p *Pool) Unusable(request Request, now time.Time) (hashes []uint64, isShared bool) {
	if p.hasPrefixCache || len(p.servers) == 0 || len(p.servers) > slotshare.MaxServers {
		return nil, false
	}
	mean := p.meanFailureShare()
	for _, s := range p.servers {
		if s.Slots <= 0 || p.isTrialDue(s, request, mean, now) {
			return nil, false
		}
		if !p.isUsable(s, request, mean, now) {
			hashes = append(hashes, s.Hash)
		}
	}
	return hashes, len(hashes) < len(p.servers)
}

// IsShared reports whether the slots of the pool are shared by one coordinator.
func (p *Pool) IsShared() bool {
	return !p.hasPrefixCache && len(p.servers) > 0 && len(p.servers) <= slotshare.MaxServers
}

// ChooseGranted returns the server with the hash if this router can use it for the request, or
// nil. queued reports whether the request waited for the grant.
func (p *Pool) ChooseGranted(hash uint64, request Request, queued bool, now time.Time) *Server {
	s := p.byHash[hash]
	if s == nil || !p.isUsable(s, request, p.meanFailureShare(), now) {
		return nil
	}
	if queued {
		return s.recordChoice(ReasonSharedQueue, now)
	}
	return s.recordChoice(ReasonShared, now)
}

// isUsable reports whether the router can use a server that another router grants. How many slots
// are taken is for that router to know.
func (p *Pool) isUsable(s *Server, request Request, mean float64, now time.Time) bool {
	if slices.Contains(request.Exclude, s.ID) {
		return false
	}
	_, blocked := p.blockedUntil(s, now)
	return !blocked && !p.isSuspect(s, mean, now)
}

// isTrialDue reports whether the request should test whether a suspect server has recovered, as
// trialServer does.
func (p *Pool) isTrialDue(s *Server, request Request, mean float64, now time.Time) bool {
	return request.Retryable && len(request.Exclude) == 0 && p.isSuspect(s, mean, now) && s.isReachable(now) &&
		!p.reachability(s.Domain).isUnreachable(now) && s.health.isTrialDue(now)
}
