package ledger

import (
	"slices"
	"time"
)

// Phase is a replica's phase in a group.
type Phase int

// Phases of a replica.
const (
	// PhaseEmpty has no durable state: a first start or a lost disk.
	PhaseEmpty Phase = iota
	// PhaseForming has promised to take part in a formation.
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

// Meta is a replica's durable state in a group besides the records.
type Meta struct {
	Phase Phase
	// Generation names the formation of the group. Minted keys carry it.
	Generation uint64
	// Epoch is raised by each recovery of a lost disk.
	Epoch uint64
	// Members are the instances of the group in ascending order.
	Members []string
	// Addresses has the RPC address of each member.
	Addresses []string
	// Since is the epoch that the member list came with, 0 for the first one.
	Since uint64
	// Pending is a list that the replica has accepted and does not follow yet.
	// Until it does, it grants nothing.
	Pending *MemberList
	// Shards is the number of shards of customers' own keys, 0 for one group of all.
	Shards int
	// Layout is the fingerprint of the first members of all shards.
	Layout uint64
	// QuarantineUntil is the Unix time in seconds until which no customer's own
	// key is granted, because what a majority had granted is lost.
	QuarantineUntil int64
}

// List returns the member list.
func (m Meta) List() MemberList {
	return MemberList{Since: m.Since, Members: m.Members, Addresses: m.Addresses}
}

// setList takes a member list; a pending one is settled by it.
func (m *Meta) setList(list MemberList) {
	m.Since = list.Since
	m.Members = slices.Clone(list.Members)
	m.Addresses = slices.Clone(list.Addresses)
	m.Pending = nil
}

// Change is one durable change: a meta, a record, or the removal of a record
// where both are nil.
type Change struct {
	Meta   *Meta
	Key    KeyHash
	Record *Record
}

// Status is a replica's answer about a key.
type Status int

// Statuses of a replica's answer.
const (
	// StatusGranted says that the attempt holds the key alone at the replica.
	StatusGranted Status = iota + 1
	// StatusHeld says that another attempt holds the key.
	StatusHeld
	// StatusCompleted carries the stored answer.
	StatusCompleted
	// StatusReleased says that the attempt has released the key.
	StatusReleased
	// StatusExpired says that the minted key is of another generation or too old.
	StatusExpired
	// StatusReused says that the key stands for another request.
	StatusReused
	// StatusInactive says that the replica takes no part in the group yet.
	StatusInactive
	// StatusStale says that the replica has a higher epoch than the claim.
	StatusStale
	// StatusFree says that nobody holds the key.
	StatusFree
	// StatusViewDiffers says that the claimer believes in another number of
	// shards or other members, so that its majorities need not meet the group's.
	StatusViewDiffers
)

// Reply is a replica's answer to an operation.
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

// ClaimRequest asks a replica for a key.
type ClaimRequest struct {
	Key     KeyHash
	Attempt AttemptID
	Digest  Digest
	// Epoch is the highest one that the claimer knows.
	Epoch uint64
	// View is the fingerprint of the shards and members that the claimer asks.
	View uint64
	// Generation is that of a minted key, 0 for a customer's own.
	Generation uint64
	// MintedAt is the Unix time in seconds of a minted key.
	MintedAt int64
}

// State is the state of one replica in one group: a deterministic state machine
// without I/O. Each method returns the changes that have to be durable before
// its reply may be sent.
type State struct {
	meta Meta
	// view is the fingerprint of the meta's shards and members.
	view      uint64
	records   map[KeyHash]*Record
	retention time.Duration
}

// NewState returns an empty replica that remembers finished keys for retention.
func NewState(retention time.Duration) *State {
	return &State{records: make(map[KeyHash]*Record), retention: retention}
}

// Meta returns the state besides the records.
func (s *State) Meta() Meta { return s.meta }

// Len returns the number of records.
func (s *State) Len() int { return len(s.records) }

// Apply replays a durable change.
func (s *State) Apply(change Change) {
	switch {
	case change.Meta != nil:
		s.setMeta(*change.Meta)
	case change.Record != nil:
		s.records[change.Key] = change.Record
	default:
		delete(s.records, change.Key)
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

// Claim asks for a key.
func (s *State) Claim(now time.Time, r ClaimRequest) (Reply, []Change) {
	if refusal, refused := s.outside(r); refused {
		return refusal, nil
	}
	changes := s.adopt(r.Epoch)
	if s.isExpired(now, r) {
		return s.reply(StatusExpired), changes
	}
	if r.Epoch != 0 && r.Epoch < s.meta.Epoch {
		return s.reply(StatusStale), changes
	}
	record := s.records[r.Key]
	if refusal, refused := s.refusal(record, r); refused {
		return refusal, changes
	}
	if s.isQuarantined(now, r) {
		return s.reply(StatusHeld), changes
	}
	if record != nil && record.heldAlone(r.Attempt) {
		return s.reply(StatusGranted), changes
	}
	return s.reply(StatusGranted), append(changes, s.grant(now, record, r))
}

// outside returns the reply to an operation of another view of the group, or to
// any while the replica takes no part.
func (s *State) outside(r ClaimRequest) (Reply, bool) {
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

// refusal returns the reply to a claim that cannot be granted.
func (s *State) refusal(record *Record, r ClaimRequest) (Reply, bool) {
	if record == nil {
		return Reply{}, false
	}
	if slices.Contains(record.Released, r.Attempt) {
		return s.reply(StatusReleased), true
	}
	if record.free() || (record.Answer == nil && record.heldAlone(r.Attempt)) {
		return Reply{}, false
	}
	if record.Digest != r.Digest {
		return s.reply(StatusReused), true
	}
	return s.describe(record), true
}

func (s *State) grant(now time.Time, record *Record, r ClaimRequest) Change {
	next := &Record{}
	if record != nil {
		next = record.clone()
	}
	next.Digest = r.Digest
	next.Holders = []AttemptID{r.Attempt}
	next.ChangedAt = now.Unix()
	next.MintedAt = r.MintedAt
	return s.put(r.Key, next)
}

// Release gives a key back and leaves a tombstone, also where the claim has not
// arrived yet.
func (s *State) Release(now time.Time, r ClaimRequest) (Reply, []Change) {
	if refusal, refused := s.outside(r); refused {
		return refusal, nil
	}
	changes := s.adopt(r.Epoch)
	record := s.records[r.Key]
	if record == nil {
		record = &Record{MintedAt: r.MintedAt}
	}
	if record.Answer != nil {
		return s.describe(record), changes
	}
	if slices.Contains(record.Released, r.Attempt) {
		return s.reply(StatusReleased), changes
	}
	next := record.clone()
	next.release(r.Attempt)
	next.ChangedAt = now.Unix()
	return s.reply(StatusReleased), append(changes, s.put(r.Key, next))
}

// Complete stores the answer of an attempt that had a majority, also at a
// replica that did not grant it.
func (s *State) Complete(now time.Time, r ClaimRequest, answer Answer) (Reply, []Change) {
	if refusal, refused := s.outside(r); refused {
		return refusal, nil
	}
	changes := s.adopt(r.Epoch)
	record := s.records[r.Key]
	if record == nil {
		record = &Record{MintedAt: r.MintedAt}
	}
	if slices.Contains(record.Released, r.Attempt) {
		return s.reply(StatusReleased), changes
	}
	if record.Answer != nil {
		return s.describe(record), changes
	}
	next := record.clone()
	next.Holders = []AttemptID{r.Attempt}
	next.Digest = r.Digest
	next.Answer = answer.Bounded()
	next.ChangedAt = now.Unix()
	return s.describe(next), append(changes, s.put(r.Key, next))
}

// Read returns what the replica knows of a key.
func (s *State) Read(now time.Time, r ClaimRequest) Reply {
	if s.meta.Phase != PhaseActive {
		return s.reply(StatusInactive)
	}
	record := s.records[r.Key]
	if record != nil && !record.free() {
		return s.describe(record)
	}
	if s.isQuarantined(now, r) {
		return s.reply(StatusHeld)
	}
	return s.reply(StatusFree)
}

// isQuarantined reports whether what had been granted of a key may be lost.
func (s *State) isQuarantined(now time.Time, r ClaimRequest) bool {
	return r.Generation == 0 && now.Unix() < s.meta.QuarantineUntil
}

// Expire removes the records that are past their retention. A held key stays:
// its holder may have run. A minted key stays until well after its claims are
// refused by age.
func (s *State) Expire(now time.Time) []Change {
	var changes []Change
	for key, record := range s.records {
		if !s.isPastRetention(now, record) {
			continue
		}
		delete(s.records, key)
		changes = append(changes, Change{Key: key})
	}
	return changes
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

// adopt raises the epoch to one that a claimer has seen elsewhere.
func (s *State) adopt(epoch uint64) []Change {
	if epoch <= s.meta.Epoch {
		return nil
	}
	next := s.meta
	next.Epoch = epoch
	return []Change{s.setMeta(next)}
}

func (s *State) put(key KeyHash, record *Record) Change {
	s.records[key] = record
	return Change{Key: key, Record: record}
}

func (s *State) setMeta(meta Meta) Change {
	s.meta = meta
	s.view = View(meta.Shards, meta.Members)
	return Change{Meta: &meta}
}

func (s *State) reply(status Status) Reply { return Reply{Status: status, Epoch: s.meta.Epoch} }

func (s *State) describe(record *Record) Reply {
	reply := s.reply(StatusHeld)
	if len(record.Holders) > 0 {
		reply.Holder = record.Holders[0]
	}
	if record.Answer != nil {
		reply.Status, reply.Answer = StatusCompleted, record.Answer
	}
	return reply
}
