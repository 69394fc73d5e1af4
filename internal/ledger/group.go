package ledger

// MaxMembers is the maximum number of members of a group. An epoch is a multiple
// of MaxMembers plus a member index, so it is unique to the replica that raised
// it.
const MaxMembers = 64

// Majority returns the size of a majority of n replicas.
func Majority(n int) int { return n/2 + 1 }

// NextEpoch returns the epoch that the member with the given index raises after
// highest, the highest epoch it has seen. It is above highest, and no other
// member raises the same one.
func NextEpoch(highest uint64, member int) uint64 {
	return (highest/MaxMembers+1)*MaxMembers + uint64(member)
}

// OperatorEpoch returns an epoch above highest for an operator's command. It uses
// the last member index, so no member raises the same one.
func OperatorEpoch(highest uint64) uint64 { return NextEpoch(highest, MaxMembers-1) }

// firstEpoch is the epoch of a new group.
const firstEpoch uint64 = MaxMembers

// Formation describes a new group. Every member promises it before any member
// becomes active.
type Formation struct {
	Generation uint64
	List       MemberList
	Shards     int
	Layout     uint64
}

// PrepareFormation is the prepare phase of a formation: the replica promises to
// become a member. Only a replica that has never been active accepts, and only
// if it has not promised a higher generation.
func (s *State) PrepareFormation(f Formation) (bool, []Entry) {
	if s.meta.Phase == PhaseActive || f.Generation < s.meta.Generation {
		return false, nil
	}
	if s.meta.Phase == PhaseForming && s.meta.Generation == f.Generation {
		return true, nil
	}
	meta := Meta{Phase: PhaseForming, Generation: f.Generation, Epoch: firstEpoch, Shards: f.Shards, Layout: f.Layout}
	meta.setList(f.List)
	return true, []Entry{s.setMeta(meta)}
}

// CommitFormation activates a replica that has promised this generation. The
// caller must have the promises of all members.
func (s *State) CommitFormation(generation uint64) (bool, []Entry) {
	if s.meta.Generation != generation || s.meta.Phase == PhaseEmpty {
		return false, nil
	}
	if s.meta.Phase == PhaseActive {
		return true, nil
	}
	meta := s.meta
	meta.Phase = PhaseActive
	return true, []Entry{s.setMeta(meta)}
}

// RaiseEpoch raises the epoch, so that the replica refuses claims of lower epochs
// and its current records contain everything it has granted in them. It returns
// false if the replica has a higher epoch, or is not active and therefore cannot
// be the source of a recovery.
func (s *State) RaiseEpoch(epoch uint64) (bool, []Entry) {
	if s.meta.Phase != PhaseActive || epoch < s.meta.Epoch {
		return false, nil
	}
	return true, s.adoptEpoch(epoch)
}

// ReplicaCopy is a copy of a replica's state, read by a recovering replica or for a
// restart.
type ReplicaCopy struct {
	Meta    Meta
	Records map[KeyHash]*Record
}

// Recover restores an empty replica from copies that other replicas made after
// they raised the epoch. It refuses if the copies are fewer than a majority of all
// members (the recovering replica itself does not count), or if a copy is of a
// member that has neither installed nor accepted the list. The list must be the
// committed one; it may be new, and the replica a new member of it.
func (s *State) Recover(epoch uint64, list MemberList, copies []ReplicaCopy) (bool, []Entry) {
	if s.meta.Phase == PhaseActive || len(copies) < Majority(len(list.Members)) {
		return false, nil
	}
	meta := Meta{Phase: PhaseActive, Epoch: max(epoch, list.ListEpoch)}
	meta.setList(list)
	for _, source := range copies {
		if source.Meta.Epoch < epoch || !source.Meta.CanBeSourceFor(list) {
			return false, nil
		}
		meta.mergeSource(source.Meta)
	}
	// The meta is written last, so a replica that crashes before it is still empty.
	entries := s.replaceRecords(UnionCopies(copies))
	return true, append(entries, s.setMeta(meta))
}

// CanBeSourceFor reports whether a replica with this meta can be the source of a
// recovery into the list: it has accepted the list and so grants nothing, or it has
// installed the list and accepted no other one. A replica that recovered into the
// old list after the new one was committed would later install the new one
// without the grants it had made there before it lost its disk.
func (m Meta) CanBeSourceFor(list MemberList) bool {
	if m.Pending != nil {
		return m.Pending.ListEpoch == list.ListEpoch
	}
	return m.ListEpoch == list.ListEpoch
}

// mergeSource merges the meta of a source into the meta of a recovering replica.
func (m *Meta) mergeSource(other Meta) {
	m.Generation = max(m.Generation, other.Generation)
	m.QuarantineUntil = max(m.QuarantineUntil, other.QuarantineUntil)
	m.Shards, m.Layout = other.Shards, other.Layout
}

// UnionCopies merges the records of several copies.
func UnionCopies(copies []ReplicaCopy) map[KeyHash]*Record {
	union := make(map[KeyHash]*Record)
	for _, source := range copies {
		for key, record := range source.Records {
			union[key] = Union(union[key], record)
		}
	}
	return union
}

// Restart installs a group's state after a majority lost its own. Only an
// operator's command calls it. An attempt other than the remaining holders may
// have run, so Restart adds unknownAttempt to the holders and a held key stays
// held permanently. Restart refuses a generation that is not above the replica's.
func (s *State) Restart(meta Meta, records map[KeyHash]*Record) (bool, []Entry) {
	if meta.Generation <= s.meta.Generation {
		return false, nil
	}
	meta.Phase = PhaseActive
	// A member that recovers from restarted members may already have raised the
	// epoch of this replica.
	meta.Epoch = max(meta.Epoch, s.meta.Epoch)
	meta.Layout = s.meta.Layout
	union := UnionCopies([]ReplicaCopy{{Records: s.records}, {Records: records}})
	for key, record := range union {
		if record.Answer == nil && len(record.Holders) > 0 {
			union[key] = Union(record, &Record{Holders: []AttemptID{unknownAttempt}})
		}
	}
	entries := s.replaceRecords(union)
	return true, append(entries, s.setMeta(meta))
}

// unknownAttempt represents the attempts whose records are lost.
var unknownAttempt = AttemptID{}

// replaceRecords replaces all records and returns the entries.
func (s *State) replaceRecords(records map[KeyHash]*Record) []Entry {
	var entries []Entry
	for key := range s.records {
		if records[key] == nil {
			delete(s.records, key)
			entries = append(entries, Entry{Key: key})
		}
	}
	for key, record := range records {
		entries = append(entries, s.putRecord(key, record))
	}
	return entries
}
