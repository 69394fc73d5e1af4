// Package consensus implements the Raft consensus algorithm with pre-vote,
// learners, snapshots and read indexes. It performs no I/O, starts no goroutines
// and reads no clock: a driver passes it messages and ticks, and persists, sends
// and applies what Ready returns, in that order.
package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// ReplicaID identifies a replica for the lifetime of its disk. Zero means no replica.
type ReplicaID uint64

// Errors returned for proposals and reads.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrChangePending  = errors.New("an earlier membership change is not committed yet")
	ErrNoCommitInTerm = errors.New("the leader has not committed an entry of its term yet")
	ErrNotCaughtUp    = errors.New("the learner does not have all committed entries yet")
	ErrInvalidChange  = errors.New("the membership change is not valid for the current members")
)

// EntryType is the kind of content that an entry carries.
type EntryType uint8

// Types of entries.
const (
	EntryCommand EntryType = iota
	EntryNoOp
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	// Data is the command; it is set for an EntryCommand.
	Data []byte
	// Membership applies from this entry on; it is set for an EntryMembership.
	Membership *Membership
}

// Member is a replica in a membership.
type Member struct {
	ID       ReplicaID
	Instance string
	// Learner marks a member that receives the log but has no vote.
	Learner bool
	// Domain is the failure domain of the instance, or empty while it is not known.
	Domain string
	// Joined is the index of the entry with which the member joined, or that of the member whose place
	// it has taken. It is 0 for a member of the first start.
	Joined uint64
}

// Membership lists the replicas of the group in ascending order of their IDs.
type Membership struct {
	Members []Member
}

// NewMembership returns the membership with the given members, sorted by ID.
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

// Find returns the member with the given ID and whether there is one.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the IDs of the voting members in ascending order.
func (m Membership) Voters() []ReplicaID {
	var out []ReplicaID
	for _, member := range m.Members {
		if !member.Learner {
			out = append(out, member.ID)
		}
	}
	return out
}

// IsLaterThan reports whether the member is of another instance that joined later in the same failure
// domain, and may therefore be the successor of the other one.
func (m Member) IsLaterThan(other Member) bool {
	return m.Domain != "" && m.Domain == other.Domain && m.Instance != other.Instance && m.Joined > other.Joined
}

// IsVoter reports whether the replica is a voting member.
func (m Membership) IsVoter(id ReplicaID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// HardState is the current term and the vote cast in it. It must be durable before
// any message of the same Ready is sent.
type HardState struct {
	Term uint64
	Vote ReplicaID
	// Commit is the index of the newest membership entry that is known to be committed, or lower if
	// a snapshot covers that entry.
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageType is the kind of a message.
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

// Message is sent from one replica to another.
type Message struct {
	Type MessageType
	From ReplicaID
	To   ReplicaID
	Term uint64
	// LogIndex and LogTerm identify the entry before Entries in an append and the
	// candidate's last entry in a vote request. In a response, LogIndex is the last
	// entry that it confirms or rejects.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64
	Reject   bool
	// Hint is the last index that may match the leader's log after a rejected append.
	Hint uint64
	// ReadSequence is the sequence number of the newest read that a heartbeat confirms.
	ReadSequence uint64
	Snapshot     *Snapshot
}

// ReadState reports that the read with the given Context may be served once Index
// has been applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready holds the work of the driver, which must be done in the order of the fields.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// Snapshot, if set, replaces the whole log and the state machine.
	Snapshot *Snapshot
	// Entries replace all stored entries from the index of the first one on.
	Entries    []Entry
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
}

// IsEmpty reports whether there is no work for the driver.
func (r *Ready) IsEmpty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.ReadStates) == 0
}

// State is the durable state from which a replica restarts.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Role is the Raft role of a replica in its term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role for logs.
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

// Status is a point-in-time description of a replica.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID
	Commit     uint64
	LastIndex  uint64
	Membership Membership
}
