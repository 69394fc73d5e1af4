package consensus

import "slices"

// ChangeType is the kind of a membership change.
type ChangeType uint8

// Types of membership changes.
const (
	// AddLearner adds a learner, in place of a learner of the same instance.
	AddLearner ChangeType = iota
	PromoteLearner
	RemoveReplica
	// DemoteVoter makes a voter a learner.
	DemoteVoter
	// SetDomains records the failure domains of members.
	SetDomains
)

// String returns the name of the type for logs.
func (t ChangeType) String() string {
	switch t {
	case AddLearner:
		return "add learner"
	case PromoteLearner:
		return "promote learner"
	case RemoveReplica:
		return "remove replica"
	case DemoteVoter:
		return "demote voter"
	case SetDomains:
		return "set failure domains"
	}
	return "unknown"
}

// Change adds, promotes, demotes or removes one replica, or sets the failure domains of members.
type Change struct {
	Type   ChangeType
	Member Member
	// Domains are the failure domains to set.
	Domains map[ReplicaID]string
}

// ProposeChange appends a membership change. Only one change may be uncommitted at a
// time, and the leader must have committed an entry of its own term before. The errors
// are ErrNotLeader, ErrNoCommitInTerm, ErrChangePending, ErrNotCaughtUp and
// ErrInvalidChange.
func (r *Replica) ProposeChange(change Change) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.hasCommittedInTerm() {
		return ErrNoCommitInTerm
	}
	if r.log.membershipIndex > r.commit {
		return ErrChangePending
	}
	next, err := r.membershipAfter(change)
	if err != nil {
		return err
	}
	r.appendAsLeader(Entry{Type: EntryMembership, Membership: &next})
	return nil
}

// membershipAfter returns the newest membership with the change applied. The last two voters
// cannot be removed or demoted: a survivor of two relies on entries that no single voter has committed.
func (r *Replica) membershipAfter(change Change) (Membership, error) {
	members := slices.Clone(r.log.membership.Members)
	position := slices.IndexFunc(members, func(m Member) bool { return m.ID == change.Member.ID })
	switch change.Type {
	case AddLearner:
		if position >= 0 {
			return Membership{}, ErrInvalidChange
		}
		change.Member.Learner = true
		members = slices.DeleteFunc(members, func(m Member) bool {
			return m.Learner && m.Instance != "" && m.Instance == change.Member.Instance
		})
		return NewMembership(append(members, change.Member)...), nil
	case SetDomains:
		for i := range members {
			if domain, ok := change.Domains[members[i].ID]; ok {
				members[i].Domain = domain
			}
		}
		return NewMembership(members...), nil
	case PromoteLearner:
		if position < 0 || !members[position].Learner {
			return Membership{}, ErrInvalidChange
		}
		if !r.IsCaughtUp(change.Member.ID) {
			return Membership{}, ErrNotCaughtUp
		}
		members[position].Learner = false
		return NewMembership(members...), nil
	}
	if position < 0 || len(r.log.membership.Voters()) <= 2 && !members[position].Learner {
		return Membership{}, ErrInvalidChange
	}
	if change.Type == DemoteVoter {
		if members[position].Learner {
			return Membership{}, ErrInvalidChange
		}
		members[position].Learner = true
		return NewMembership(members...), nil
	}
	return NewMembership(withoutMember(members, position)...), nil
}

// withoutMember returns the members without one. The next member that joined in its failure domain takes
// its place, so that it supersedes no other one; the instance itself does so if it runs another replica.
func withoutMember(members []Member, position int) []Member {
	removed, successor := members[position], -1
	for i, member := range members {
		if member.Instance == removed.Instance && i != position {
			return slices.Delete(members, position, position+1)
		}
		if member.IsLaterThan(removed) && (successor < 0 || member.Joined < members[successor].Joined) {
			successor = i
		}
	}
	if successor >= 0 {
		members[successor].Joined = removed.Joined
	}
	return slices.Delete(members, position, position+1)
}

// IsCaughtUp reports whether a replica is active and has confirmed all committed
// entries to this leader.
func (r *Replica) IsCaughtUp(id ReplicaID) bool {
	if id == r.config.ID {
		return r.role == RoleLeader
	}
	p := r.progress[id]
	return r.IsActive(id) && p != nil && p.match >= r.commit
}

// IsActive reports whether this replica is the leader and has received a response from
// the given replica within the minimum election timeout. The leader itself is active.
func (r *Replica) IsActive(id ReplicaID) bool {
	p := r.progress[id]
	return r.role == RoleLeader && (id == r.config.ID || p != nil && p.ticksSinceResponse < r.config.ElectionTicks)
}

// updateProgress adds progress for new members, drops that of removed members and
// probes the logs of new members.
func (r *Replica) updateProgress() {
	updated := make(map[ReplicaID]*progress, len(r.log.membership.Members))
	for _, member := range r.log.membership.Members {
		p := r.progress[member.ID]
		if p == nil {
			p = &progress{next: r.log.lastIndex() + 1, probing: true}
		}
		updated[member.ID] = p
	}
	r.progress = updated
	r.probeNewMembers()
}

// probeNewMembers sends an append to each member whose log position is unknown.
func (r *Replica) probeNewMembers() {
	for _, id := range r.peers() {
		if p := r.progress[id]; p.probing && p.match == 0 {
			r.sendAppend(id)
		}
	}
}
