package registry

import "time"

// MaxWithdrawn is the number of withdrawals of unknown servers that a table records at the same time.
// They expire after EntryRetention, as all records do.
const MaxWithdrawn = 1024

// withdrawalSlack is by how much a withdrawal has to be later than the recorded one to be another one.
// The time of a record that is passed on is the receiver's, later by the delay of the message: without
// the slack, two replicas would return a record to each other for good.
const withdrawalSlack = time.Second

// Withdraw marks a server as gone at now. If the table does not have the server, it records that all
// incarnations are gone that started before: another replica or a router may have one. Withdraw reports
// whether the table had the server, and whether the withdrawal is recorded, which it is not beyond
// MaxWithdrawn.
func (t *Table) Withdraw(id string, now time.Time) (known, recorded bool) {
	current := t.entries[id]
	if current == nil {
		if t.withdrawn >= MaxWithdrawn {
			return false, false
		}
		return false, t.mergeWithdrawal(Entry{Server: Server{ID: id, State: StateGone}, LastAnnounced: now, Withdrawn: true})
	}
	if current.Withdrawn {
		// A later incarnation may have withdrawn that this table does not know either.
		t.mergeWithdrawal(Entry{Server: current.Server, LastAnnounced: now, Withdrawn: true})
		return false, true
	}
	if current.State != StateGone {
		current.State, current.LastAnnounced = StateGone, now
		t.markChanged(current)
	}
	return true, true
}

// isLaterWithdrawal reports whether e records a later withdrawal than known.
func (e *Entry) isLaterWithdrawal(known *Entry) bool {
	return e.LastAnnounced.Sub(known.LastAnnounced) > withdrawalSlack
}

// CoversAnnounced reports whether the withdrawal that an entry records, with Withdrawn set, covers an
// incarnation of the server because it was last announced at announcedAt, before the withdrawal, or
// because the entry has its data or those of a later one.
func (e *Entry) CoversAnnounced(s *Server, announcedAt time.Time) bool {
	return s.StartedMS <= e.StartedMS || !announcedAt.After(e.LastAnnounced)
}

// Covers is CoversAnnounced, and also reports whether an incarnation that was announced after the
// withdrawal had started before: the announcement was delayed. That compares the clocks of two hosts.
func (e *Entry) Covers(s *Server, announcedAt time.Time) bool {
	withdrawnAt := announcedAt.Add(-announcedAt.Sub(e.LastAnnounced))
	return e.CoversAnnounced(s, announcedAt) || time.UnixMilli(s.StartedMS).Before(withdrawnAt)
}

// ApplyTo applies the entry, which has Withdrawn set, to what a process knows of the server. It returns the
// entry with the data of the known incarnation, and whether it is news.
func (e Entry) ApplyTo(known Entry) (Entry, bool) {
	if known.Withdrawn && !e.isLaterWithdrawal(&known) || !known.Withdrawn && !e.Covers(&known.Server, known.LastAnnounced) {
		return known, false
	}
	known.State, known.Silent, known.Withdrawn, known.LastAnnounced = StateGone, false, true, e.LastAnnounced
	return known, true
}

// mergeWithdrawal applies an entry with Withdrawn set and reports whether it is news.
func (t *Table) mergeWithdrawal(e Entry) bool {
	current := t.entries[e.ID]
	if current == nil {
		current = &Entry{Server: e.Server}
	}
	applied, isNews := e.ApplyTo(*current)
	if !isNews {
		return false
	}
	t.setWithdrawn(current, true)
	*current = applied
	t.entries[e.ID] = current
	t.markChanged(current)
	return true
}

// setWithdrawn sets the field Withdrawn of an entry.
func (t *Table) setWithdrawn(e *Entry, withdrawn bool) {
	if e.Withdrawn == withdrawn {
		return
	}
	e.Withdrawn = withdrawn
	if withdrawn {
		t.withdrawn++
	} else {
		t.withdrawn--
	}
}
