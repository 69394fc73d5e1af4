package placement

import "time"

const (
	// withdrawalRetention is how long a server's statement is kept while control does not list
	// the server. Announcements are late by less.
	withdrawalRetention = 10 * time.Minute
	// maxWithdrawals limits the statements that are kept.
	maxWithdrawals = 4096
)

// withdrawal is what a server stated about itself in its answers to this router. It holds for
// one incarnation, whatever control lists.
type withdrawal struct {
	leaving        bool
	backedOffUntil time.Time
	// listedAt is when control last listed the server, or when the server made the statement.
	listedAt time.Time
}

// MarkLeaving records that an incarnation stated that it is leaving, and reports whether that is
// news. It gets no request any more, but other servers may still copy prompt parts from it.
func (p *Pool) MarkLeaving(incarnation uint64, now time.Time) bool {
	w := p.withdrawal(incarnation, now)
	if w.leaving {
		return false
	}
	w.leaving = true
	kept := make([]*Server, 0, len(p.servers))
	for _, s := range p.servers {
		if s.Hash != incarnation {
			kept = append(kept, s)
			continue
		}
		delete(p.byID, s.ID)
		p.drainingAddresses[s.ID] = s.Address
	}
	p.servers = kept
	return true
}

// BackOff records that an incarnation wants no request until a time, and reports whether it had
// not stated that before now.
func (p *Pool) BackOff(incarnation uint64, until, now time.Time) bool {
	w := p.withdrawal(incarnation, now)
	isNew := !now.Before(w.backedOffUntil)
	if until.After(w.backedOffUntil) {
		w.backedOffUntil = until
	}
	return isNew
}

func (p *Pool) withdrawal(incarnation uint64, now time.Time) *withdrawal {
	w := p.withdrawals[incarnation]
	if w == nil {
		w = &withdrawal{}
		p.withdrawals[incarnation] = w
	}
	w.listedAt = now
	p.forgetWithdrawals(now)
	return w
}

// forgetWithdrawals deletes what is of no use any more, and the oldest above maxWithdrawals.
func (p *Pool) forgetWithdrawals(now time.Time) {
	for incarnation, w := range p.withdrawals {
		if now.Sub(w.listedAt) > withdrawalRetention || !w.leaving && now.After(w.backedOffUntil) && now.After(w.listedAt) {
			delete(p.withdrawals, incarnation)
		}
	}
	for len(p.withdrawals) > maxWithdrawals {
		var oldest uint64
		var oldestAt time.Time
		for incarnation, w := range p.withdrawals {
			if oldestAt.IsZero() || w.listedAt.Before(oldestAt) {
				oldest, oldestAt = incarnation, w.listedAt
			}
		}
		delete(p.withdrawals, oldest)
	}
}

// isLeaving reports whether an incarnation that control lists at now has stated that it is
// leaving.
func (p *Pool) isLeaving(incarnation uint64, now time.Time) bool {
	w := p.withdrawals[incarnation]
	if w == nil {
		return false
	}
	w.listedAt = now
	return w.leaving
}

// isBackedOff reports whether the server wants no request at now.
func (p *Pool) isBackedOff(s *Server, now time.Time) bool {
	w := p.withdrawals[s.Hash]
	return w != nil && now.Before(w.backedOffUntil)
}

// AvailableAt returns the time at which the first server accepts requests again, if all servers
// want none at now.
func (p *Pool) AvailableAt(now time.Time) (first time.Time, allBackedOff bool) {
	for _, s := range p.servers {
		if !p.isBackedOff(s, now) {
			return time.Time{}, false
		}
		if until := p.withdrawals[s.Hash].backedOffUntil; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, len(p.servers) > 0
}

// Withdrawn returns how many servers that control lists are leaving, or want no request at now.
func (p *Pool) Withdrawn(now time.Time) (leaving, backedOff int) {
	for _, w := range p.withdrawals {
		if w.leaving && !w.listedAt.Before(p.listedAt) {
			leaving++
		}
	}
	for _, s := range p.servers {
		if p.isBackedOff(s, now) {
			backedOff++
		}
	}
	return leaving, backedOff
}
