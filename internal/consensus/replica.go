package consensus

import (
	"math/rand/v2"
	"slices"
)

// entryOverheadBytes is the approximate encoded size of an entry without its data.
const entryOverheadBytes = 32

// Config holds the settings of a replica that are not part of the log.
type Config struct {
	ID ReplicaID
	// ElectionTicks is the minimum election timeout in ticks; each timeout is chosen
	// at random between this and twice this number.
	ElectionTicks int
	// HeartbeatTicks is the leader's heartbeat interval in ticks.
	HeartbeatTicks int
	// MaxMessageBytes limits the size of the entries in one message, in bytes.
	MaxMessageBytes int
	Rand            *rand.Rand
}

// progress is the leader's view of the log of another replica.
type progress struct {
	// match is the highest index known to match the leader's log.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing stops new entries from being pipelined until the replica has
	// confirmed a matching index.
	probing bool
	// ticksSinceResponse is the number of ticks since the replica's last response.
	ticksSinceResponse int
	// commit is the highest commit index that the replica has confirmed to know.
	commit uint64
	// readAck is the highest read sequence number that the replica has acknowledged.
	readAck uint64
	// snapshotRetryTicks is the number of ticks until a snapshot may be sent again.
	snapshotRetryTicks int
}

// Replica is one member of the group. It is not safe for concurrent use.
type Replica struct {
	config Config
	log    *entryLog
	// snapshot is the newest snapshot, without its data; the log may still hold
	// entries that it covers.
	snapshot Snapshot

	term   uint64
	vote   ReplicaID
	leader ReplicaID
	role   Role
	commit uint64
	// applied is the last index that Ready has returned in Committed.
	applied uint64
	// stable is the last index that Ready has returned in Entries for persisting.
	stable uint64

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes    map[ReplicaID]bool
	progress map[ReplicaID]*progress
	reads    readQueue
	// termStart is the index of the leader's first entry in its term.
	termStart uint64
	// lostDisks has the members whose disks are known to be lost.
	lostDisks map[ReplicaID]bool

	// persisted is the hard state that Ready returned last.
	persisted HardState
	// The fields below are returned by the next Ready.
	receivedSnapshot *Snapshot
	messages         []Message
	readStates       []ReadState
}

// New returns a replica that restarts from a durable state. The replicas of a new
// group start from a snapshot at index 0 that holds the initial membership.
func New(config Config, state State) *Replica {
	r := &Replica{
		config:    config,
		log:       newEntryLog(withoutData(state.Snapshot), state.Entries),
		snapshot:  withoutData(state.Snapshot),
		term:      state.HardState.Term,
		vote:      state.HardState.Vote,
		commit:    state.Snapshot.Index,
		applied:   state.Snapshot.Index,
		persisted: state.HardState,
		lostDisks: make(map[ReplicaID]bool),
	}
	r.stable = r.log.lastIndex()
	r.commit = max(r.commit, min(state.HardState.Commit, r.log.lastIndex()))
	r.becomeFollower(r.term, 0)
	return r
}

// Status returns the current status of the replica.
func (r *Replica) Status() Status {
	return Status{
		ID: r.config.ID, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.commit, LastIndex: r.log.lastIndex(), Membership: r.log.membership,
	}
}

// Membership returns the membership as of the newest entry, committed or not.
func (r *Replica) Membership() Membership { return r.log.membership }

// Tick advances the replica's logical clock by one tick.
func (r *Replica) Tick() {
	r.electionElapsed++
	if r.role == RoleLeader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout && r.mayCampaign() {
		r.campaign(RolePreCandidate)
		return
	}
	if r.isCampaigning() && r.electionElapsed%voteRetryTicks == 0 {
		r.requestVotes()
	}
}

// mayCampaign reports whether the replica is an elector, or was one before a
// membership entry that is not committed: it may be the only replica that can
// commit that entry.
func (r *Replica) mayCampaign() bool {
	if electors, _ := r.electors(); slices.Contains(electors, r.config.ID) {
		return true
	}
	if r.log.membership.IsVoter(r.config.ID) {
		return true
	}
	committed := r.log.membershipAt(r.commit)
	member, isMember := committed.Find(r.config.ID)
	return isMember && r.log.membershipIndex > r.commit && (!member.Learner || r.survivorOf(committed) != 0)
}

// tickLeader advances the leader's timers, steps down if the leader has lost its quorum,
// and sends heartbeats that are due.
func (r *Replica) tickLeader() {
	for _, id := range r.peers() {
		p := r.progress[id]
		p.ticksSinceResponse++
		p.snapshotRetryTicks = max(p.snapshotRetryTicks-1, 0)
		p.probing = p.probing || !r.IsActive(id)
	}
	if !r.isQuorum(r.IsActive) {
		r.becomeFollower(r.term, 0)
		return
	}
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.broadcastHeartbeat()
	}
}

// Step handles a message from another replica.
func (r *Replica) Step(m Message) {
	if m.To != r.config.ID {
		return
	}
	if m.Term > r.term && !r.stepHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.stepLowerTerm(m)
		return
	}
	switch m.Type {
	case MessagePreVote, MessageVote:
		r.handleVoteRequest(m)
	case MessagePreVoteResponse:
		r.handleVoteResponse(m, RolePreCandidate)
	case MessageVoteResponse:
		r.handleVoteResponse(m, RoleCandidate)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.handleLeaderMessage(m)
	case MessageAppendResponse:
		r.handleAppendResponse(m)
	case MessageHeartbeatResponse:
		r.handleHeartbeatResponse(m)
	}
}

// stepHigherTerm handles a message of a higher term and reports whether Step must
// continue with it. The replica adopts the term, except for pre-vote requests,
// granted pre-votes, and vote requests that arrive while a leader is active.
func (r *Replica) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		if !r.HasActiveLeader() {
			r.handleVoteRequest(m)
		}
		return false
	case MessagePreVoteResponse:
		if !m.Reject {
			r.handleVoteResponse(m, RolePreCandidate)
			return false
		}
	case MessageVote:
		if r.HasActiveLeader() {
			return false
		}
	}
	r.becomeFollower(m.Term, 0)
	return true
}

// stepLowerTerm rejects requests of a lower term, so that a deposed leader or an
// outdated pre-candidate receives the current term.
func (r *Replica) stepLowerTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.send(Message{Type: MessageAppendResponse, To: m.From, Reject: true})
	case MessagePreVote:
		r.send(Message{Type: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

// HasActiveLeader reports whether this replica is the leader or has received a message
// from the leader within the minimum election timeout.
func (r *Replica) HasActiveLeader() bool {
	return r.role == RoleLeader || (r.leader != 0 && r.electionElapsed < r.config.ElectionTicks)
}

// handleLeaderMessage handles a message that only the leader of the current term sends.
func (r *Replica) handleLeaderMessage(m Message) {
	if r.role != RoleFollower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.electionElapsed = 0
	switch m.Type {
	case MessageAppend:
		r.handleAppend(m)
	case MessageHeartbeat:
		r.commitTo(min(m.Commit, r.log.lastIndex()))
		r.send(Message{
			Type: MessageHeartbeatResponse, To: m.From,
			LogIndex: r.log.lastIndex(), ReadSequence: m.ReadSequence, Commit: r.commit,
		})
	case MessageSnapshot:
		r.handleSnapshot(m)
	}
}

func (r *Replica) send(m Message) {
	m.From = r.config.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

// Ready returns the work that has accumulated since the last call.
func (r *Replica) Ready() Ready {
	ready := Ready{Snapshot: r.receivedSnapshot, Messages: r.messages, ReadStates: r.readStates}
	r.receivedSnapshot, r.messages, r.readStates = nil, nil, nil
	if hard := (HardState{Term: r.term, Vote: r.vote, Commit: r.committedMembershipIndex()}); hard != r.persisted {
		ready.HardState = &hard
		r.persisted = hard
	}
	if r.stable < r.log.lastIndex() {
		ready.Entries = r.log.slice(r.stable+1, unlimitedBytes)
		r.stable = r.log.lastIndex()
	}
	if r.applied < r.commit {
		committed := r.log.slice(r.applied+1, unlimitedBytes)
		ready.Committed = committed[:r.commit-r.applied]
		r.applied = r.commit
	}
	return ready
}

// committedMembershipIndex returns the durable commit index; see HardState.
func (r *Replica) committedMembershipIndex() uint64 {
	if index := r.log.membershipIndex; index > r.snapshot.Index && index <= r.commit {
		return index
	}
	return r.persisted.Commit
}

const unlimitedBytes = int(^uint(0) >> 1)

// SnapshotAt returns the snapshot of the state machine at an applied index, without its
// data, which the driver adds. It returns false if the index is not above the last
// snapshot's index or is not applied yet.
func (r *Replica) SnapshotAt(index uint64) (Snapshot, bool) {
	if index <= r.snapshot.Index || index > r.applied {
		return Snapshot{}, false
	}
	term, _ := r.log.term(index)
	return Snapshot{Index: index, Term: term, Membership: r.log.membershipAt(index)}, true
}

// Compact records that a snapshot which SnapshotAt has returned is durable; the driver adds
// its data to messages that carry a snapshot. Up to maxEntries entries and maxBytes bytes of
// entries that it covers stay in memory, so that a replica that is only slightly behind
// needs no snapshot. The others are dropped: without a durable snapshot, a replica that
// lacks them could not catch up any more.
func (r *Replica) Compact(snapshot Snapshot, maxEntries uint64, maxBytes int) {
	r.snapshot = withoutData(snapshot)
	if base := r.log.compactionIndex(snapshot.Index, maxEntries, maxBytes); base > r.log.base.Index {
		r.log.compact(base)
	}
}

// EntriesAbove returns the entries above the index of a snapshot.
func (r *Replica) EntriesAbove(index uint64) []Entry { return r.log.slice(index+1, unlimitedBytes) }

// SnapshotIndex returns the index of the newest snapshot.
func (r *Replica) SnapshotIndex() uint64 { return r.snapshot.Index }

func withoutData(snapshot Snapshot) Snapshot {
	snapshot.Data = nil
	return snapshot
}
