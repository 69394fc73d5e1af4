package placement

import (
	"slices"
	"time"
)

// addressGroup is the newest incarnations that are listed at an address. Several are listed if a
// process announces itself under more than one ID.
type addressGroup struct {
	startedMS int64
	hashes    []uint64
	// leaving is set if one of them is draining or has stated that it is leaving.
	leaving bool
}

// groupByAddress returns the groups by address. A statement of one incarnation applies to its whole
// group: only one process can listen at an address. Older incarnations at the address are in no group.
func (p *Pool) groupByAddress(infos []ServerInfo, now time.Time) map[string]*addressGroup {
	groups := make(map[string]*addressGroup, len(infos))
	for _, info := range infos {
		p.limits.RecordListed(info.Hash, now)
		leaving := p.withdrawals.RecordListed(info.Hash, now) || info.Draining
		group := groups[info.Address]
		if group == nil || group.startedMS < info.StartedMS {
			group = &addressGroup{startedMS: info.StartedMS}
			groups[info.Address] = group
		}
		if group.startedMS == info.StartedMS {
			group.hashes = append(group.hashes, info.Hash)
			group.leaving = group.leaving || leaving
		}
	}
	return groups
}

// withheld reports whether no request may be sent to the server at now for what it has stated or
// for its warm-up, and counts it in the figures of the choice.
func (p *Pool) withheld(s *Server, now time.Time) bool {
	if p.isPaused(s, now) {
		return true
	}
	if _, limited := p.rateAvailableAt(s, now); limited {
		p.usedUp++
		return true
	}
	if _, limited := p.warmupAvailableAt(s, now); limited {
		p.warmingUp++
		return true
	}
	return false
}

// rateAvailableAt returns the earliest time at which this router may send a request to the server by
// the limits of all incarnations at its address; blocked is false if it may at now.
func (p *Pool) rateAvailableAt(s *Server, now time.Time) (at time.Time, blocked bool) {
	for _, hash := range s.sameAddress {
		until, limited := p.limits.AvailableAt(hash, now)
		if limited && until.After(at) {
			at, blocked = until, true
		}
	}
	return at, blocked
}

// isLimited reports whether an incarnation at the server's address limits its rate.
func (p *Pool) isLimited(s *Server) bool {
	return slices.ContainsFunc(s.sameAddress, p.limits.IsLimited)
}

// keyShare returns the smallest share of a limited server's own keys that the incarnations at its
// address admit; limited is false if none limits its rate.
func (p *Pool) keyShare(s *Server, now time.Time) (share float64, limited bool) {
	share = 1
	for _, hash := range s.sameAddress {
		if own, ok := p.limits.KeyShare(hash, now); ok {
			share, limited = min(share, own), true
		}
	}
	return share, limited
}

// pausedUntil returns until when the incarnations at the server's address have asked for a pause; ok
// is false if they accept requests at now.
func (p *Pool) pausedUntil(s *Server, now time.Time) (until time.Time, ok bool) {
	for _, hash := range s.sameAddress {
		pause, paused := p.withdrawals.PausedUntil(hash, now)
		if paused && pause.After(until) {
			until, ok = pause, true
		}
	}
	return until, ok
}
