package consensus

// entryLog holds the entries above base, a snapshot without data. Invariant: the index
// of entries[i] is base.Index+1+i.
type entryLog struct {
	base    Snapshot
	entries []Entry
	// membershipIndex is the index of the newest membership entry, or base.Index if
	// no entry above it changes the membership.
	membershipIndex uint64
	membership      Membership
}

func newEntryLog(base Snapshot, entries []Entry) *entryLog {
	l := &entryLog{base: base, entries: entries}
	l.rebuildMembership()
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// slice returns the entries from an index on, up to about maxBytes but at least one if
// there is any.
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

// append adds entries and replaces all existing entries from the index of the first one
// on.
func (l *entryLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.base.Index - 1
	if keep < uint64(len(l.entries)) {
		l.entries = append(l.entries[:keep:keep], entries...)
		l.rebuildMembership()
		return
	}
	l.entries = append(l.entries, entries...)
	for i := range entries {
		l.updateMembership(&entries[i])
	}
}

// rebuildMembership finds the newest membership in the base and the entries.
func (l *entryLog) rebuildMembership() {
	l.membership, l.membershipIndex = l.base.Membership, l.base.Index
	for i := range l.entries {
		l.updateMembership(&l.entries[i])
	}
}

// updateMembership adopts the membership of a membership entry.
func (l *entryLog) updateMembership(entry *Entry) {
	if entry.Type == EntryMembership {
		l.membership, l.membershipIndex = *entry.Membership, entry.Index
	}
}

// membershipAt returns the membership as of index, which must not be below the base.
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

// compactionIndex returns the index up to which the log can be compacted so that, of the
// entries up to index, the newest ones stay: at most maxEntries and maxBytes of them.
func (l *entryLog) compactionIndex(index, maxEntries uint64, maxBytes int) uint64 {
	lowest := max(index-min(maxEntries, index), l.base.Index)
	size := 0
	for base := index; base > lowest; base-- {
		size += len(l.entries[base-l.base.Index-1].Data) + entryOverheadBytes
		if size > maxBytes {
			return base
		}
	}
	return lowest
}

// compact removes the entries up to and including index, which becomes the base.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	base := Snapshot{Index: index, Term: term, Membership: l.membershipAt(index)}
	l.entries = append([]Entry(nil), l.entries[index-l.base.Index:]...)
	l.base = base
	l.rebuildMembership()
}

// isUpToDate reports whether a log whose last entry has the given index and term is at
// least as up to date as this log.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// lastIndexUpToTerm returns the last index that is at most from and whose term is at
// most term. If no entry qualifies, it returns base.Index, or from if that is lower.
func (l *entryLog) lastIndexUpToTerm(from, term uint64) uint64 {
	index := min(from, l.lastIndex())
	for index > l.base.Index {
		if t, _ := l.term(index); t <= term {
			break
		}
		index--
	}
	return index
}
