package ledger

import (
	"slices"
	"time"
)

// Phase is the phase of a replica in a group.
type Phase int

// Phases of a replica.
const (
	// PhaseEmpty has no durable state, on a first start or after the loss of the
	// disk.
	PhaseEmpty Phase = iota
	// PhaseForming has promised a formation that is not yet committed.
	PhaseForming
	// PhaseActive grants keys.
	PhaseActive
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case PhaseForming:
		return "forming"
	case PhaseActive:
		return "active"
	}
	return "empty"
}

// Meta is the durable state of a replica in a group, without the records.
type Meta struct {
	Phase Phase
	// Generation identifies the formation or restart of the group. Minted keys
	// carry it.
	Generation uint64
	// Epoch is raised by each recovery of a lost disk, membership change and
	// restart.
	Epoch uint64
	// Members are the instances of the group in ascending order.
	Members []string
	// Addresses holds the RPC addresses in the order of Members.
	Addresses []string
	// ListEpoch is the epoch of the change that introduced the member list, 0 for the
	// first list.
	ListEpoch uint64
	// Pending is a member list that the replica has accepted and not yet
	// installed. While it is set, the replica grants nothing.
	Pending *MemberList
	// Shards is the number of shards of customers' own keys, 0 if all replicas
	// form one group.
	Shards int
	// Layout is the fingerprint of the initial members of all shards.
	Layout uint64
	// QuarantineUntil is the Unix time in seconds until which no customer's own
	// key is granted, because the grants of a majority are lost.
	QuarantineUntil int64
}

// List returns the member list.
func (m Meta) List() MemberList {
	return MemberList{ListEpoch: m.ListEpoch, Members: m.Members, Addresses: m.Addresses}
}

// setList installs a member list and clears the pending one.
func (m *Meta) setList(list MemberList) {
	m.ListEpoch = list.ListEpoch
	m.Members = slices.Clone(list.Members)
	m.Addresses = slices.Clone(list.Addresses)
	m.Pending = nil
}

// Entry is an entry of the write-ahead log: a new meta, a new record of Key, or, if
// both are nil, the removal of the record of Key.
type Entry struct {
	Meta   *Meta
	Key    KeyHash
	Record *Record
}

// Status is the status of a replica's reply about a key.
type Status int

// Statuses of a replica's reply.
const (
	// StatusGranted means that the attempt is the only holder of the key at the
	// replica.
	StatusGranted Status = iota + 1
	// StatusHeld means that another attempt holds the key.
	StatusHeld
	// StatusCompleted means that an attempt has finished; the reply has its stored
	// answer.
	StatusCompleted
	// StatusReleased means that the attempt has released the key.
	StatusReleased
	// StatusExpired means that the minted key is of another generation or too old.
	StatusExpired
	// StatusReused means that the key was used with another request.
	StatusReused
	// StatusInactive means that the replica is not active in the group, or has a
	// pending member list.
	StatusInactive
	// StatusStale means that the replica has a higher epoch than the claim.
	StatusStale
	// StatusFree means that no attempt holds the key.
	StatusFree
	// StatusViewDiffers means that the claimer uses another number of shards or
	// other members, so its majorities need not intersect the group's.
	StatusViewDiffers
)

// Reply is the reply of a replica to an operation.
type Reply struct {
	Status Status
	Epoch  uint64
	// Holder is set with StatusHeld.
	Holder AttemptID
	// Answer is set with StatusCompleted.
	Answer *Answer
	// Shards and List are set with StatusViewDiffers.
	Shards int
	List   *MemberList
}

// ClaimRequest is an operation of an attempt on a key: a claim, a release, a
// completion or a read.
type ClaimRequest struct {
	Key     KeyHash
	Attempt AttemptID
	Digest  Digest
	// Epoch is the highest epoch that the claimer has seen, 0 for none.
	Epoch uint64
	// View is the fingerprint of the shards and members that the claimer uses.
	View uint64
	// Generation is the generation of a minted key, 0 for a customer's own key.
	Generation uint64
	// MintedAt is the mint time of a minted key in Unix seconds.
	MintedAt int64
}

// State is the state of one replica in one group. It is a deterministic state
// machine without I/O. Each method that changes the state returns the entries
// that must be durable before its reply may be sent.
type State struct {
	meta Meta
	// view is the fingerprint of the meta's shards and members.
	view      uint64
	records   map[KeyHash]*Record
	retention time.Duration
}

// NewState returns the state of an empty replica that keeps finished keys for
// the given retention.
func NewState(retention time.Duration) *State {
	return &State{records: make(map[KeyHash]*Record), retention: retention}
}

// Meta returns the state without the records.
func (s *State) Meta() Meta { return s.meta }

// Len returns the number of records.
func (s *State) Len() int { return len(s.records) }

// Apply applies an entry that is replayed from storage.
func (s *State) Apply(entry Entry) {
	switch {
	case entry.Meta != nil:
		s.setMeta(*entry.Meta)
	case entry.Record != nil:
		s.records[entry.Key] = entry.Record
	default:
		delete(s.records, entry.Key)
	}
}

// Records calls yield with each record in no particular order.
func (s *State) Records(yield func(KeyHash, *Record) bool) {
	for key, record := range s.records {
		if !yield(key, record) {
			return
		}
	}
}

// Claim requests a key for an attempt. It grants the key if it is free or the
// attempt is its only holder already. A claim of a lower epoch than the replica's
// is refused as stale, unless the epoch is 0.
func (s *State) Claim(now time.Time, r ClaimRequest) (Reply, []Entry) {
	if refusal, refused := s.membershipRefusal(r); refused {
		return refusal, nil
	}
	entries := s.adoptEpoch(r.Epoch)
	if s.isExpired(now, r) {
		return s.reply(StatusExpired), entries
	}
	if r.Epoch != 0 && r.Epoch < s.meta.Epoch {
		return s.reply(StatusStale), entries
	}
	record := s.records[r.Key]
	if refusal, refused := s.keyRefusal(record, r); refused {
		return refusal, entries
	}
	if s.isQuarantined(now, r) {
		return s.reply(StatusHeld), entries
	}
	if record != nil && record.hasSoleHolder(r.Attempt) {
		return s.reply(StatusGranted), entries
	}
	return s.reply(StatusGranted), append(entries, s.grant(now, record, r))
}

// membershipRefusal returns the reply to an operation that the replica refuses
// regardless of the key: the replica is not active, the operation is for another
// view of the group, or a member list is pending.
func (s *State) membershipRefusal(r ClaimRequest) (Reply, bool) {
	if s.meta.Phase != PhaseActive {
		return s.reply(StatusInactive), true
	}
	if r.View != s.view {
		reply := s.reply(StatusViewDiffers)
		list := s.meta.List()
		reply.Shards, reply.List = s.meta.Shards, &list
		return reply, true
	}
	return s.reply(StatusInactive), s.meta.Pending != nil
}

// keyRefusal returns the reply to a claim that the state of its key refuses.
func (s *State) keyRefusal(record *Record, r ClaimRequest) (Reply, bool) {
	if record == nil {
		return Reply{}, false
	}
	if slices.Contains(record.Released, r.Attempt) {
		return s.reply(StatusReleased), true
	}
	if record.isFree() || (record.Answer == nil && record.hasSoleHolder(r.Attempt)) {
		return Reply{}, false
	}
	if record.Digest != r.Digest {
		return s.reply(StatusReused), true
	}
	return s.recordReply(record), true
}

// grant makes the attempt the only holder of the key.
func (s *State) grant(now time.Time, record *Record, r ClaimRequest) Entry {
	next := &Record{}
	if record != nil {
		next = record.clone()
	}
	next.Digest = r.Digest
	next.Holders = []AttemptID{r.Attempt}
	next.ChangedAt = now.Unix()
	next.MintedAt = r.MintedAt
	return s.putRecord(r.Key, next)
}

// Release removes the attempt from the holders of the key and adds a tombstone,
// which refuses the claim if it arrives only later.
func (s *State) Release(now time.Time, r ClaimRequest) (Reply, []Entry) {
	if refusal, refused := s.membershipRefusal(r); refused {
		return refusal, nil
	}
	entries := s.adoptEpoch(r.Epoch)
	record := s.records[r.Key]
	if record == nil {
		record = &Record{MintedAt: r.MintedAt}
	}
	if record.Answer != nil {
		return s.recordReply(record), entries
	}
	if slices.Contains(record.Released, r.Attempt) {
		return s.reply(StatusReleased), entries
	}
	next := record.clone()
	next.release(r.Attempt)
	next.ChangedAt = now.Unix()
	return s.reply(StatusReleased), append(entries, s.putRecord(r.Key, next))
}

// Complete stores the answer of an attempt that had a majority, even at a replica
// that did not grant it the key.
func (s *State) Complete(now time.Time, r ClaimRequest, answer Answer) (Reply, []Entry) {
	if refusal, refused := s.membershipRefusal(r); refused {
		return refusal, nil
	}
	entries := s.adoptEpoch(r.Epoch)
	record := s.records[r.Key]
	if record == nil {
		record = &Record{MintedAt: r.MintedAt}
	}
	if slices.Contains(record.Released, r.Attempt) {
		return s.reply(StatusReleased), entries
	}
	if record.Answer != nil {
		return s.recordReply(record), entries
	}
	next := record.clone()
	next.Holders = []AttemptID{r.Attempt}
	next.Digest = r.Digest
	next.Answer = answer.ToStored()
	next.ChangedAt = now.Unix()
	return s.recordReply(next), append(entries, s.putRecord(r.Key, next))
}

// Read returns the state of a key at the replica.
func (s *State) Read(now time.Time, r ClaimRequest) Reply {
	if s.meta.Phase != PhaseActive {
		return s.reply(StatusInactive)
	}
	record := s.records[r.Key]
	if record != nil && !record.isFree() {
		return s.recordReply(record)
	}
	if s.isQuarantined(now, r) {
		return s.reply(StatusHeld)
	}
	return s.reply(StatusFree)
}

// isQuarantined reports whether earlier grants of the key may be lost.
func (s *State) isQuarantined(now time.Time, r ClaimRequest) bool {
	return r.Generation == 0 && now.Unix() < s.meta.QuarantineUntil
}

// Expire removes the records that are past their retention. A customer's own key
// that is held stays, because its holder may have run. A minted key stays until
// well after its claims are refused by age.
func (s *State) Expire(now time.Time) []Entry {
	var entries []Entry
	for key, record := range s.records {
		if !s.isPastRetention(now, record) {
			continue
		}
		delete(s.records, key)
		entries = append(entries, Entry{Key: key})
	}
	return entries
}

func (s *State) isPastRetention(now time.Time, record *Record) bool {
	if record.MintedAt != 0 {
		return now.After(time.Unix(record.MintedAt, 0).Add(2 * s.retention))
	}
	held := record.Answer == nil && len(record.Holders) > 0
	return !held && now.After(time.Unix(record.ChangedAt, 0).Add(s.retention))
}

func (s *State) isExpired(now time.Time, r ClaimRequest) bool {
	if r.Generation == 0 {
		return false
	}
	tooOld := now.After(time.Unix(r.MintedAt, 0).Add(s.retention))
	return r.Generation != s.meta.Generation || tooOld
}

// adoptEpoch raises the epoch to a higher one that was seen at another replica.
func (s *State) adoptEpoch(epoch uint64) []Entry {
	if epoch <= s.meta.Epoch {
		return nil
	}
	next := s.meta
	next.Epoch = epoch
	return []Entry{s.setMeta(next)}
}

func (s *State) putRecord(key KeyHash, record *Record) Entry {
	s.records[key] = record
	return Entry{Key: key, Record: record}
}

func (s *State) setMeta(meta Meta) Entry {
	s.meta = meta
	s.view = ViewFingerprint(meta.Shards, meta.Members)
	return Entry{Meta: &meta}
}

func (s *State) reply(status Status) Reply { return Reply{Status: status, Epoch: s.meta.Epoch} }

// recordReply returns the reply with the record's holder or stored answer.
func (s *State) recordReply(record *Record) Reply {
	reply := s.reply(StatusHeld)
	if len(record.Holders) > 0 {
		reply.Holder = record.Holders[0]
	}
	if record.Answer != nil {
		reply.Status, reply.Answer = StatusCompleted, record.Answer
	}
	return reply
}
