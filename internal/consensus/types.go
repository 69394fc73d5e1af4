// Package consensus is a replicated log in the manner of Raft. It does no I/O,
// starts no goroutine and reads no clock: a driver feeds it messages and ticks,
// and persists, sends and applies what Ready returns, in that order.
package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// ReplicaID names a replica for as long as its disk lasts. Zero names none.
type ReplicaID uint64

// Errors of proposals and reads.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrChangePending  = errors.New("an earlier membership change is not committed yet")
	ErrTermUnsettled  = errors.New("the leader has committed nothing in its term yet")
	ErrNotCaughtUp    = errors.New("the learner has not caught up")
	ErrUnknownReplica = errors.New("no such replica in the group")
)

// EntryType tells what an entry carries.
type EntryType uint8

// Types of entries.
const (
	EntryCommand EntryType = iota
	EntryNoOp
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	// Data is the command of an EntryCommand.
	Data []byte
	// Membership is the group from this entry on, for an EntryMembership.
	Membership *Membership
}

// Member is a replica of the group.
type Member struct {
	ID       ReplicaID
	Instance string
	// Learner members receive the log but have no vote.
	Learner bool
}

// Membership is the group in ascending order of the replicas' IDs.
type Membership struct {
	Members []Member
}

// NewMembership returns the group of the given members.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return Membership{Members: sorted}
}

// Find returns the member with the ID.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the IDs of the members that vote.
func (m Membership) Voters() []ReplicaID {
	var out []ReplicaID
	for _, member := range m.Members {
		if !member.Learner {
			out = append(out, member.ID)
		}
	}
	return out
}

// IsVoter reports whether the replica votes.
func (m Membership) IsVoter(id ReplicaID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// HardState must be durable before any message of the same Ready is sent.
type HardState struct {
	Term uint64
	Vote ReplicaID
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// Types of messages.
const (
	MessagePreVote MessageType = iota
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
)

// Message goes from one replica to another.
type Message struct {
	Type MessageType
	From ReplicaID
	To   ReplicaID
	Term uint64
	// LogIndex and LogTerm name the entry before Entries, the last entry of a
	// candidate, or the last entry that a response confirms or refuses.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64
	Reject   bool
	// Hint is the last index that may match after a refused append.
	Hint uint64
	// ReadSequence is the newest read that a heartbeat confirms.
	ReadSequence uint64
	Snapshot     *Snapshot
}

// ReadState says that a read may be answered once Index has been applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is what the driver has to do, in the order of the fields.
type Ready struct {
	// HardState is nil where it has not changed.
	HardState *HardState
	// Snapshot replaces the whole log and the state machine where it is set.
	Snapshot *Snapshot
	// Entries replace all stored entries from the first one's index on.
	Entries    []Entry
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
}

// IsEmpty reports whether there is nothing to do.
func (r *Ready) IsEmpty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.ReadStates) == 0
}

// State is what survives a restart.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Role is the part that a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name in logs.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "unknown"
}

// Status describes a replica at a moment.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID
	Commit     uint64
	LastIndex  uint64
	Membership Membership
}
