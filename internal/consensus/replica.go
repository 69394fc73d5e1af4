package consensus

import (
	"math/rand/v2"
)

// entryOverheadBytes is what an entry costs in a message besides its data.
const entryOverheadBytes = 32

// Config holds what a replica does not learn from the log.
type Config struct {
	ID ReplicaID
	// ElectionTicks is the least number of ticks without a leader before an
	// election; the actual one is random, up to twice as many.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats of a leader.
	HeartbeatTicks int
	// MaxMessageBytes bounds the entries of one message.
	MaxMessageBytes int
	Rand            *rand.Rand
}

// progress is what a leader knows of another replica.
type progress struct {
	match uint64
	next  uint64
	// probing holds entries back until the replica has confirmed a position.
	probing bool
	// silentTicks is the time since the replica's last answer.
	silentTicks int
	readAck     uint64
	// snapshotTicks is the time left before a snapshot is sent again.
	snapshotTicks int
}

// Replica is one member of the group. It is not safe for concurrent use.
type Replica struct {
	config Config
	log    *entryLog
	// snapshot is the newest one, without its data; the log may still hold entries below it.
	snapshot Snapshot

	term   uint64
	vote   ReplicaID
	leader ReplicaID
	role   Role
	commit uint64
	// applied is the last index that Ready has returned as committed.
	applied uint64
	// stable is the last index that Ready has returned for persisting.
	stable uint64

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes    map[ReplicaID]bool
	progress map[ReplicaID]*progress
	reads    readQueue

	persisted HardState
	restored  *Snapshot
	messages  []Message
	confirmed []ReadState
}

// New returns a replica that continues from a durable state. A new group's
// replicas start from a snapshot at index 0 with the initial members.
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
	}
	r.stable = r.log.lastIndex()
	r.becomeFollower(r.term, 0)
	return r
}

// Status describes the replica.
func (r *Replica) Status() Status {
	return Status{
		ID: r.config.ID, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.commit, LastIndex: r.log.lastIndex(), Membership: r.log.membership,
	}
}

// Membership returns the group as of the newest entry.
func (r *Replica) Membership() Membership { return r.log.membership }

// Tick tells the replica that one unit of time has passed.
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
		r.askForVotes()
	}
}

// mayCampaign reports whether the replica votes, or did before a membership
// entry that is not committed: it may be the only one that can complete it.
func (r *Replica) mayCampaign() bool {
	if r.log.membership.IsVoter(r.config.ID) {
		return true
	}
	return r.log.membershipIndex > r.commit && r.log.membershipAt(r.commit).IsVoter(r.config.ID)
}

func (r *Replica) tickLeader() {
	for _, id := range r.others() {
		p := r.progress[id]
		p.silentTicks++
		p.snapshotTicks = max(p.snapshotTicks-1, 0)
		p.probing = p.probing || !r.IsActive(id)
	}
	if !r.hearsMajority() {
		r.becomeFollower(r.term, 0)
		return
	}
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.broadcastHeartbeat()
	}
}

// hearsMajority reports whether a majority answered within an election timeout.
func (r *Replica) hearsMajority() bool {
	heard := 0
	voters := r.log.membership.Voters()
	for _, id := range voters {
		if r.IsActive(id) {
			heard++
		}
	}
	return heard >= majority(len(voters))
}

func majority(voters int) int { return voters/2 + 1 }

// Step takes a message of another replica.
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
		r.handleVote(m)
	case MessagePreVoteResponse:
		r.handleVoteResponse(m, RolePreCandidate)
	case MessageVoteResponse:
		r.handleVoteResponse(m, RoleCandidate)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.followLeader(m)
	case MessageAppendResponse:
		r.handleAppendResponse(m)
	case MessageHeartbeatResponse:
		r.handleHeartbeatResponse(m)
	}
}

// stepHigherTerm moves to the message's term where that is right, and reports
// whether the message is to be handled further.
func (r *Replica) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		if !r.HearsLeader() {
			r.handleVote(m)
		}
		return false
	case MessagePreVoteResponse:
		if !m.Reject {
			r.handleVoteResponse(m, RolePreCandidate)
			return false
		}
	case MessageVote:
		if r.HearsLeader() {
			return false
		}
	}
	r.becomeFollower(m.Term, 0)
	return true
}

// stepLowerTerm answers requests of an earlier term, so that a deposed leader
// or a candidate that is behind learns the term.
func (r *Replica) stepLowerTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.send(Message{Type: MessageAppendResponse, To: m.From, Reject: true})
	case MessagePreVote:
		r.send(Message{Type: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

// HearsLeader reports whether a leader was heard within the least election timeout.
func (r *Replica) HearsLeader() bool {
	return r.role == RoleLeader || (r.leader != 0 && r.electionElapsed < r.config.ElectionTicks)
}

func (r *Replica) followLeader(m Message) {
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
			LogIndex: r.log.lastIndex(), ReadSequence: m.ReadSequence,
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

// Ready returns what there is to do since the last call.
func (r *Replica) Ready() Ready {
	ready := Ready{Snapshot: r.restored, Messages: r.messages, ReadStates: r.confirmed}
	r.restored, r.messages, r.confirmed = nil, nil, nil
	if hard := (HardState{Term: r.term, Vote: r.vote}); hard != r.persisted {
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

const unlimitedBytes = int(^uint(0) >> 1)

// Compact notes that the driver has a snapshot of the state machine at an applied
// index, and returns it without data: the driver keeps that, and puts it into the
// messages that carry a snapshot. Entries below it stay in memory as far as their
// number and their bytes allow, so that a replica which is only a little behind needs no
// snapshot. An index that is not above the last snapshot's or not yet applied changes
// nothing.
func (r *Replica) Compact(index, keep uint64, keepBytes int) (Snapshot, bool) {
	if index <= r.snapshot.Index || index > r.applied {
		return Snapshot{}, false
	}
	term, _ := r.log.term(index)
	r.snapshot = Snapshot{Index: index, Term: term, Membership: r.log.membershipAt(index)}
	if base := r.log.floor(index, keep, keepBytes); base > r.log.base.Index {
		r.log.compact(base)
	}
	return r.snapshot, true
}

// Entries returns the entries above the snapshot.
func (r *Replica) Entries() []Entry { return r.log.slice(r.snapshot.Index+1, unlimitedBytes) }

// SnapshotIndex returns the index of the newest snapshot.
func (r *Replica) SnapshotIndex() uint64 { return r.snapshot.Index }

func withoutData(snapshot Snapshot) Snapshot {
	snapshot.Data = nil
	return snapshot
}
