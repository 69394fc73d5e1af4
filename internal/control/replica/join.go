package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// voterLossTimeout is the time without a response after which a learner replaces a
	// voter. It is longer than an election timeout, and shorter than the 4 s within which
	// the loss of a machine must be compensated.
	voterLossTimeout = 2 * time.Second
	// learnerLossTimeout is the time without a response after which a learner is removed
	// from the group. If it is still running, it requests to join again.
	learnerLossTimeout = 6 * time.Second
)

// instanceName returns the name under which the group lists this replica's instance: the
// address with seeds, otherwise the instance of the settings.
func (r *Replica) instanceName() string { return r.transport.instance }

// AddSeeds adds addresses of instances that may run a control replica.
func (r *Replica) AddSeeds(addresses []string) {
	r.transport.mu.Lock()
	defer r.transport.mu.Unlock()
	for _, address := range addresses {
		r.transport.addPeer(settings.Peer{Instance: address, Address: address})
	}
}

// isBootstrapSeed reports whether this replica is one of the seeds that form the group at
// the first start of the whole system.
func (r *Replica) isBootstrapSeed() bool {
	join := r.settings.Join
	return join != nil && join.Bootstrap && slices.Contains(r.settings.ControlAddresses(), r.instanceName())
}

// bootstrapIdentity returns the identity of a seed at the first start. Each seed derives
// the same group from the seeds' addresses, so that the group is formed without messages.
func bootstrapIdentity(addresses []string, own string) identity {
	id := identity{Replica: seedReplicaID(own), Group: "seeds " + strings.Join(addresses, " ")}
	members := make([]consensus.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, consensus.Member{ID: seedReplicaID(address), Instance: address})
	}
	id.Initial = consensus.NewMembership(members...)
	return id
}

// seedReplicaID returns a hash of the address; the lowest bit is set so that it is never 0.
func seedReplicaID(address string) consensus.ReplicaID {
	return consensus.ReplicaID(xxhash.Sum64String(address) | 1)
}

// adjustMembership proposes one step towards a group whose voters are all active and odd in
// number: an even number tolerates no more failures than the odd number below it.
func (r *Replica) adjustMembership(now time.Time) {
	r.recordInactivity(now)
	change, ok := nextChange(r.core.Membership(), groupView{
		isCaughtUp:  r.core.IsCaughtUp,
		inactiveFor: func(id consensus.ReplicaID) time.Duration { return r.inactiveFor(id, now) },
	})
	if !ok {
		return
	}
	if err := r.core.ProposeChange(change); err == nil {
		r.log.Info().Str("peer", change.Member.Instance).Int("change", int(change.Type)).Msg("control group membership change proposed")
	}
}

// recordInactivity updates the time since which each inactive member has been inactive.
func (r *Replica) recordInactivity(now time.Time) {
	inactiveSince := make(map[consensus.ReplicaID]time.Time)
	for _, member := range r.core.Membership().Members {
		if r.core.IsActive(member.ID) {
			continue
		}
		inactiveSince[member.ID] = now
		if since, ok := r.inactiveSince[member.ID]; ok {
			inactiveSince[member.ID] = since
		}
	}
	r.inactiveSince = inactiveSince
}

// inactiveFor returns how long a member has been inactive, or 0 if it is active.
func (r *Replica) inactiveFor(id consensus.ReplicaID, now time.Time) time.Duration {
	since, ok := r.inactiveSince[id]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// groupView is the leader's view of the members.
type groupView struct {
	// isCaughtUp reports whether a member is active and has all committed entries.
	isCaughtUp func(consensus.ReplicaID) bool
	// inactiveFor returns how long a member has been inactive.
	inactiveFor func(consensus.ReplicaID) time.Duration
}

// nextChange returns the next membership change and whether one is due. It returns the first
// of these that applies: the removal of a lost learner, the removal of a voter that a learner
// replaces, and, if the number of voters is even or two learners have caught up, the promotion
// of a learner that has caught up.
func nextChange(membership consensus.Membership, view groupView) (consensus.Change, bool) {
	var caughtUp []consensus.Member
	for _, member := range membership.Members {
		if !member.Learner {
			continue
		}
		if view.inactiveFor(member.ID) > learnerLossTimeout {
			return consensus.Change{Type: consensus.RemoveReplica, Member: member}, true
		}
		if view.isCaughtUp(member.ID) {
			caughtUp = append(caughtUp, member)
		}
	}
	if len(caughtUp) == 0 {
		return consensus.Change{}, false
	}
	if replaced, ok := voterToReplace(membership, caughtUp, view); ok {
		return consensus.Change{Type: consensus.RemoveReplica, Member: replaced}, true
	}
	if len(membership.Voters())%2 == 0 || len(caughtUp) > 1 {
		return consensus.Change{Type: consensus.PromoteLearner, Member: caughtUp[0]}, true
	}
	return consensus.Change{}, false
}

// voterToReplace returns a voter that one of the learners that have caught up replaces: one
// that lost its disk and rejoined at the same address, or one that has been inactive for
// more than voterLossTimeout. If the number of voters is even, it returns none, because a
// learner must be promoted first.
func voterToReplace(membership consensus.Membership, caughtUp []consensus.Member, view groupView) (consensus.Member, bool) {
	if len(membership.Voters())%2 == 0 {
		return consensus.Member{}, false
	}
	for _, member := range membership.Members {
		if member.Learner {
			continue
		}
		rejoined := slices.ContainsFunc(caughtUp, func(m consensus.Member) bool { return m.Instance == member.Instance })
		if rejoined || view.inactiveFor(member.ID) > voterLossTimeout {
			return member, true
		}
	}
	return consensus.Member{}, false
}
