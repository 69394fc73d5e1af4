package consensus

import "slices"

// ChangeType is a single step of a membership change.
type ChangeType uint8

// Types of membership changes.
const (
	AddLearner ChangeType = iota
	PromoteLearner
	RemoveReplica
)

// Change adds, promotes or removes one replica.
type Change struct {
	Type   ChangeType
	Member Member
}

// ProposeChange appends a membership change. Changes go one at a time, and
// only after the leader has committed an entry of its own term.
func (r *Replica) ProposeChange(change Change) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.isTermSettled() {
		return ErrTermUnsettled
	}
	if r.log.membershipIndex > r.commit {
		return ErrChangePending
	}
	next, err := r.changed(change)
	if err != nil {
		return err
	}
	r.appendOwn(Entry{Type: EntryMembership, Membership: &next})
	return nil
}

func (r *Replica) changed(change Change) (Membership, error) {
	members := slices.Clone(r.log.membership.Members)
	position := slices.IndexFunc(members, func(m Member) bool { return m.ID == change.Member.ID })
	switch change.Type {
	case AddLearner:
		if position >= 0 {
			return Membership{}, ErrUnknownReplica
		}
		change.Member.Learner = true
		return NewMembership(append(members, change.Member)...), nil
	case PromoteLearner:
		if position < 0 || !members[position].Learner {
			return Membership{}, ErrUnknownReplica
		}
		if !r.IsCaughtUp(change.Member.ID) {
			return Membership{}, ErrNotCaughtUp
		}
		members[position].Learner = false
		return NewMembership(members...), nil
	}
	if position < 0 || len(r.log.membership.Voters()) == 1 && !members[position].Learner {
		return Membership{}, ErrUnknownReplica
	}
	return NewMembership(slices.Delete(members, position, position+1)...), nil
}

// IsCaughtUp reports whether a replica has all that is committed, as the
// leader knows.
func (r *Replica) IsCaughtUp(id ReplicaID) bool {
	p := r.progress[id]
	return r.IsActive(id) && p != nil && p.match >= r.commit
}

// IsActive reports whether the leader has heard a replica within an election timeout.
func (r *Replica) IsActive(id ReplicaID) bool {
	p := r.progress[id]
	return r.role == RoleLeader && (id == r.config.ID || p != nil && p.silentTicks < r.config.ElectionTicks)
}

// trackMembers starts to track new members and forgets those that have gone.
func (r *Replica) trackMembers() {
	tracked := make(map[ReplicaID]*progress, len(r.log.membership.Members))
	for _, member := range r.log.membership.Members {
		p := r.progress[member.ID]
		if p == nil {
			p = &progress{next: r.log.lastIndex() + 1, probing: true}
		}
		tracked[member.ID] = p
	}
	r.progress = tracked
	r.probeNew()
}

func (r *Replica) probeNew() {
	for _, id := range r.others() {
		if p := r.progress[id]; p.probing && p.match == 0 {
			r.sendAppend(id)
		}
	}
}
