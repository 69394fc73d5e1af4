package replica

import (
	"cmp"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/internal/consensus"
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

// groupView is the leader's view of the members.
type groupView struct {
	// isCaughtUp reports whether a member is active and has all committed entries.
	isCaughtUp func(consensus.ReplicaID) bool
	// inactiveFor returns how long a member has been inactive, or 0 if it is active.
	inactiveFor func(consensus.ReplicaID) time.Duration
	// maxVoters is the number of voters that the fault tolerance requires.
	maxVoters int
	leader    consensus.ReplicaID
}

// nextChange returns the next membership change and whether one is due, towards a group of maxVoters
// voters that are all active and will not be removed soon. An even number of voters tolerates no more
// failures than the odd number below it, so it is only a step in between.
//
// A majority of maxVoters is one more than the tolerated losses, so that what is committed survives
// them. Below that number a lost voter is therefore removed only for a learner that replaces it: it may
// only be cut off, and its disk counts.
//
// An instance that is added in the failure domain of another one is its successor: operators start it
// first and then end the other one, at once and without notice. As soon as the successor has caught up,
// it takes over the vote. The other order, a voter less in between, is left to voters that do not
// respond: the majority then needs only active replicas.
func nextChange(membership consensus.Membership, view groupView) (consensus.Change, bool) {
	g := group{membership, view}
	if learner, ok := g.lostLearner(); ok {
		return consensus.Change{Type: consensus.RemoveReplica, Member: learner}, true
	}
	voters, caughtUp := len(membership.Voters()), g.learnersCaughtUp()
	if lost, ok := g.lostVoter(); ok && (voters > view.maxVoters || voters%2 == 1 && len(caughtUp) > 0) {
		return consensus.Change{Type: consensus.RemoveReplica, Member: lost}, true
	}
	superseded, hasSuperseded := g.supersededVoter()
	if voters > view.maxVoters && hasSuperseded {
		return consensus.Change{Type: consensus.DemoteVoter, Member: superseded}, true
	}
	if voters > view.maxVoters || len(caughtUp) == 0 {
		return consensus.Change{}, false
	}
	best := caughtUp[0]
	takesOver := hasSuperseded && !g.isSuperseded(best)
	switch {
	case takesOver && voters == view.maxVoters && view.inactiveFor(superseded.ID) > 0:
		return consensus.Change{Type: consensus.RemoveReplica, Member: superseded}, true
	case takesOver, voters < view.maxVoters && (voters%2 == 0 || len(caughtUp) > 1):
		return consensus.Change{Type: consensus.PromoteLearner, Member: best}, true
	}
	return consensus.Change{}, false
}

// group is the membership with the leader's view of it.
type group struct {
	consensus.Membership
	view groupView
}

// lostLearner returns a learner that has been inactive for more than learnerLossTimeout.
func (g group) lostLearner() (consensus.Member, bool) {
	for _, member := range g.Members {
		if member.Learner && g.view.inactiveFor(member.ID) > learnerLossTimeout {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// lostVoter returns a voter whose instance runs another replica that has caught up, since it lost
// its disk, or otherwise one that has been inactive for more than voterLossTimeout.
func (g group) lostVoter() (lost consensus.Member, found bool) {
	for _, member := range g.Members {
		if member.Learner {
			continue
		}
		if slices.ContainsFunc(g.Members, func(other consensus.Member) bool {
			return other.ID != member.ID && other.Instance == member.Instance && g.view.isCaughtUp(other.ID)
		}) {
			return member, true
		}
		if !found && g.view.inactiveFor(member.ID) > voterLossTimeout {
			lost, found = member, true
		}
	}
	return lost, found
}

// isSuperseded reports whether more members have joined later in the same failure domain and caught up
// than others that they may replace are inactive: each replaces one instance.
func (g group) isSuperseded(member consensus.Member) bool {
	successors := 0
	for _, other := range g.Members {
		switch {
		case other.IsLaterThan(member):
			if g.view.isCaughtUp(other.ID) {
				successors++
			}
		case other.Domain == member.Domain && other.ID != member.ID && g.view.inactiveFor(other.ID) > 0:
			successors--
		}
	}
	return successors > 0
}

// supersededVoter returns a voter that has a successor, preferably one that does not lead, in the
// failure domain with most voters.
func (g group) supersededVoter() (consensus.Member, bool) {
	var superseded []consensus.Member
	for _, member := range g.Members {
		if !member.Learner && g.isSuperseded(member) {
			superseded = append(superseded, member)
		}
	}
	if len(superseded) == 0 {
		return consensus.Member{}, false
	}
	return slices.MinFunc(superseded, func(a, b consensus.Member) int {
		return cmp.Or(
			compareBool(a.ID == g.view.leader, b.ID == g.view.leader),
			cmp.Compare(g.votersIn(b.Domain), g.votersIn(a.Domain)),
			cmp.Compare(a.ID, b.ID),
		)
	}), true
}

// learnersCaughtUp returns the learners that have caught up, the best voters first: those without a
// successor, in the failure domains with fewest voters.
func (g group) learnersCaughtUp() (learners []consensus.Member) {
	for _, member := range g.Members {
		if member.Learner && g.view.isCaughtUp(member.ID) {
			learners = append(learners, member)
		}
	}
	slices.SortFunc(learners, func(a, b consensus.Member) int {
		return cmp.Or(
			compareBool(g.isSuperseded(a), g.isSuperseded(b)),
			cmp.Compare(g.votersIn(a.Domain), g.votersIn(b.Domain)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return learners
}

// votersIn returns the number of voters in a failure domain.
func (g group) votersIn(domain string) (count int) {
	for _, member := range g.Members {
		if !member.Learner && member.Domain == domain {
			count++
		}
	}
	return count
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
