package consensus

// entryLog holds the entries above a base, which has no data.
type entryLog struct {
	base    Snapshot
	entries []Entry
	// membershipIndex is the index of the newest membership entry, or the
	// base's index where no entry above the base changes the group.
	membershipIndex uint64
	membership      Membership
}

func newEntryLog(base Snapshot, entries []Entry) *entryLog {
	l := &entryLog{base: base, entries: entries}
	l.findMembership()
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, if the log still has it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// slice returns the entries from an index on, up to about maxBytes.
func (l *entryLog) slice(from uint64, maxBytes int) []Entry {
	if from > l.lastIndex() {
		return nil
	}
	tail := l.entries[from-l.base.Index-1:]
	size := 0
	for i, entry := range tail {
		size += len(entry.Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// append adds entries; the first one's index tells what they replace.
func (l *entryLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.base.Index - 1
	if keep < uint64(len(l.entries)) {
		l.entries = append(l.entries[:keep:keep], entries...)
		l.findMembership()
		return
	}
	l.entries = append(l.entries, entries...)
	for i := range entries {
		l.noteMembership(&entries[i])
	}
}

func (l *entryLog) findMembership() {
	l.membership, l.membershipIndex = l.base.Membership, l.base.Index
	for i := range l.entries {
		l.noteMembership(&l.entries[i])
	}
}

func (l *entryLog) noteMembership(entry *Entry) {
	if entry.Type == EntryMembership {
		l.membership, l.membershipIndex = *entry.Membership, entry.Index
	}
}

// membershipAt returns the group as of an index that the log still has.
func (l *entryLog) membershipAt(index uint64) Membership {
	membership := l.base.Membership
	for _, entry := range l.entries {
		if entry.Index > index {
			break
		}
		if entry.Type == EntryMembership {
			membership = *entry.Membership
		}
	}
	return membership
}

// floor returns the index above which entries up to index stay, given their highest
// number and bytes.
func (l *entryLog) floor(index, keep uint64, keepBytes int) uint64 {
	least := max(index-min(keep, index), l.base.Index)
	size := 0
	for at := index; at > least; at-- {
		size += len(l.entries[at-l.base.Index-1].Data) + entryOverheadBytes
		if size > keepBytes {
			return at
		}
	}
	return least
}

// compact drops the entries up to an index.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	base := Snapshot{Index: index, Term: term, Membership: l.membershipAt(index)}
	l.entries = append([]Entry(nil), l.entries[index-l.base.Index:]...)
	l.base = base
	l.findMembership()
}

// isUpToDate reports whether a log that ends at (index, term) has at least
// what this one has.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// lastAtMost returns the last index up to from whose term is at most term.
func (l *entryLog) lastAtMost(from, term uint64) uint64 {
	index := min(from, l.lastIndex())
	for index > l.base.Index {
		if t, _ := l.term(index); t <= term {
			break
		}
		index--
	}
	return index
}
