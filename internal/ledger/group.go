package ledger

// MaxMembers bounds the members of a group; it makes epochs unique to the
// replica that raised them.
const MaxMembers = 64

// Majority returns how many of n replicas are a majority.
func Majority(n int) int { return n/2 + 1 }

// NextEpoch returns the epoch that the member with this index raises after it
// has seen the highest one of others.
func NextEpoch(highest uint64, member int) uint64 {
	return (highest/MaxMembers+1)*MaxMembers + uint64(member)
}

// OperatorEpoch returns the epoch of a restart; no member raises the same one.
func OperatorEpoch(highest uint64) uint64 { return NextEpoch(highest, MaxMembers-1) }

// firstEpoch is the epoch of a new group.
const firstEpoch uint64 = MaxMembers

// Formation is what the members of a new group promise.
type Formation struct {
	Generation uint64
	List       MemberList
	Shards     int
	Layout     uint64
}

// PrepareFormation promises to take part in a formation. Only a replica that
// has never been active accepts.
func (s *State) PrepareFormation(f Formation) (bool, []Change) {
	if s.meta.Phase == PhaseActive || f.Generation < s.meta.Generation {
		return false, nil
	}
	if s.meta.Phase == PhaseForming && s.meta.Generation == f.Generation {
		return true, nil
	}
	meta := Meta{Phase: PhaseForming, Generation: f.Generation, Epoch: firstEpoch, Shards: f.Shards, Layout: f.Layout}
	meta.setList(f.List)
	return true, []Change{s.setMeta(meta)}
}

// CommitFormation makes a replica active that has promised this generation. The
// caller knows that every member has promised it.
func (s *State) CommitFormation(generation uint64) (bool, []Change) {
	if s.meta.Generation != generation || s.meta.Phase == PhaseEmpty {
		return false, nil
	}
	if s.meta.Phase == PhaseActive {
		return true, nil
	}
	meta := s.meta
	meta.Phase = PhaseActive
	return true, []Change{s.setMeta(meta)}
}

// RaiseEpoch makes the replica refuse claims of older epochs, so that what it
// holds now is all that it has granted in them. A replica that is not active
// cannot serve a recovery and refuses.
func (s *State) RaiseEpoch(epoch uint64) (bool, []Change) {
	if s.meta.Phase != PhaseActive || epoch < s.meta.Epoch {
		return false, nil
	}
	return true, s.adopt(epoch)
}

// Copy is what a recovering replica has read from another one.
type Copy struct {
	Meta    Meta
	Records map[KeyHash]*Record
}

// Recover fills an empty replica from copies that other replicas made after
// they raised the epoch. It refuses with less than a majority of all members,
// which does not count the recovering replica itself, and with copies of members
// that neither follow the list nor have accepted it. The list must be the chosen
// one; it may be new, and the replica a new member.
func (s *State) Recover(epoch uint64, list MemberList, copies []Copy) (bool, []Change) {
	if s.meta.Phase == PhaseActive || len(copies) < Majority(len(list.Members)) {
		return false, nil
	}
	meta := Meta{Phase: PhaseActive, Epoch: max(epoch, list.Since)}
	meta.setList(list)
	for _, one := range copies {
		if one.Meta.Epoch < epoch || !one.Meta.Keeps(list) {
			return false, nil
		}
		meta.take(one.Meta)
	}
	// The meta comes last: a replica that crashes before it is still empty.
	changes := s.replaceRecords(UnionCopies(copies))
	return true, append(changes, s.setMeta(meta))
}

// Keeps reports whether a replica can be copied into this list: it has accepted
// it and grants nothing, or follows it and has accepted no other. A replica that
// recovered into the old list after the new one was chosen would follow the new
// one without what it had granted there.
func (m Meta) Keeps(list MemberList) bool {
	if m.Pending != nil {
		return m.Pending.Since == list.Since
	}
	return m.Since == list.Since
}

// take merges what a recovering replica needs of another one's meta.
func (m *Meta) take(other Meta) {
	m.Generation = max(m.Generation, other.Generation)
	m.QuarantineUntil = max(m.QuarantineUntil, other.QuarantineUntil)
	m.Shards, m.Layout = other.Shards, other.Layout
}

// UnionCopies merges the records of several copies.
func UnionCopies(copies []Copy) map[KeyHash]*Record {
	union := make(map[KeyHash]*Record)
	for _, one := range copies {
		for key, record := range one.Records {
			union[key] = Union(union[key], record)
		}
	}
	return union
}

// Restart installs a group's state after a majority lost its own. Only an
// operator's command leads here. Another attempt than the holders that are left
// may have run, so a held key stays held for good.
func (s *State) Restart(meta Meta, records map[KeyHash]*Record) (bool, []Change) {
	if meta.Generation <= s.meta.Generation {
		return false, nil
	}
	meta.Phase = PhaseActive
	// A member that recovers from the restarted ones may have raised the epoch.
	meta.Epoch = max(meta.Epoch, s.meta.Epoch)
	meta.Layout = s.meta.Layout
	union := UnionCopies([]Copy{{Records: s.records}, {Records: records}})
	for key, record := range union {
		if record.Answer == nil && len(record.Holders) > 0 {
			union[key] = Union(record, &Record{Holders: []AttemptID{unknownAttempt}})
		}
	}
	changes := s.replaceRecords(union)
	return true, append(changes, s.setMeta(meta))
}

// unknownAttempt stands for attempts that nobody remembers.
var unknownAttempt = AttemptID{}

func (s *State) replaceRecords(records map[KeyHash]*Record) []Change {
	var changes []Change
	for key := range s.records {
		if records[key] == nil {
			delete(s.records, key)
			changes = append(changes, Change{Key: key})
		}
	}
	for key, record := range records {
		changes = append(changes, s.put(key, record))
	}
	return changes
}
