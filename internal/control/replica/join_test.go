package replica

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/consensus"
)

// newMembership returns a membership with the IDs 1, 2, ... A member is a voter for "v" and a
// learner for "l".
func newMembership(kinds ...string) consensus.Membership {
	var members []consensus.Member
	for i, kind := range kinds {
		members = append(members, consensus.Member{
			ID: consensus.ReplicaID(i + 1), Instance: string(rune('a' + i)), Learner: kind == "l",
		})
	}
	return consensus.NewMembership(members...)
}

// viewWithInactive returns a view in which the given members have been inactive for longer
// than any timeout, and all others are active and caught up. Five voters are allowed.
func viewWithInactive(inactive ...consensus.ReplicaID) groupView {
	isInactive := func(id consensus.ReplicaID) bool {
		for _, other := range inactive {
			if other == id {
				return true
			}
		}
		return false
	}
	return groupView{
		maxVoters:  5,
		isCaughtUp: func(id consensus.ReplicaID) bool { return !isInactive(id) },
		inactiveFor: func(id consensus.ReplicaID) time.Duration {
			if isInactive(id) {
				return time.Minute
			}
			return 0
		},
	}
}

// applyDueChanges applies membership changes until none is due. It returns the voters after
// the last change, and the lowest number of voters during the changes.
func applyDueChanges(t *testing.T, membership consensus.Membership, view groupView) (voters []consensus.ReplicaID, minVoters int) {
	t.Helper()
	minVoters = len(membership.Voters())
	for range 20 {
		change, due := nextChange(membership, view)
		if !due {
			return membership.Voters(), minVoters
		}
		var next []consensus.Member
		for _, m := range membership.Members {
			if m.ID != change.Member.ID {
				next = append(next, m)
				continue
			}
			if change.Type == consensus.PromoteLearner {
				m.Learner = false
				next = append(next, m)
			}
		}
		membership = consensus.NewMembership(next...)
		minVoters = min(minVoters, len(membership.Voters()))
	}
	t.Fatal("membership changes are still due after 20 changes")
	return nil, 0
}

// TestSeededGroupGrowsToOddNumberOfVoters checks that learners are promoted only in pairs: a
// group with an even number of voters needs a larger quorum but tolerates no more failures.
func TestSeededGroupGrowsToOddNumberOfVoters(t *testing.T) {
	g := NewWithT(t)
	voters, _ := applyDueChanges(t, newMembership("v", "v", "v"), viewWithInactive())
	g.Expect(voters).To(HaveLen(3))
	voters, _ = applyDueChanges(t, newMembership("v", "v", "v", "l"), viewWithInactive())
	g.Expect(voters).To(HaveLen(3), "a fourth voter tolerates no further failure")
	voters, _ = applyDueChanges(t, newMembership("v", "v", "v", "l", "l"), viewWithInactive())
	g.Expect(voters).To(HaveLen(5))
	voters, _ = applyDueChanges(t, newMembership("v", "v", "v", "l", "l", "l"), viewWithInactive())
	g.Expect(voters).To(HaveLen(5))
}

// TestLearnerReplacesLostVoter checks that a lost voter is removed only if a learner replaces
// it, and that it is removed before the learner is promoted: promoting first would require a
// quorum in a group of four with one lost member.
func TestLearnerReplacesLostVoter(t *testing.T) {
	g := NewWithT(t)
	voters, minVoters := applyDueChanges(t, newMembership("v", "v", "v", "l"), viewWithInactive(1))
	g.Expect(voters).To(ConsistOf(consensus.ReplicaID(2), consensus.ReplicaID(3), consensus.ReplicaID(4)))
	g.Expect(minVoters).To(Equal(2), "each step needs only active replicas")
	voters, _ = applyDueChanges(t, newMembership("v", "v", "v"), viewWithInactive(1))
	g.Expect(voters).To(HaveLen(3), "a lost voter stays in the membership if no learner replaces it")
	voters, _ = applyDueChanges(t, newMembership("v", "v", "v", "l"), viewWithInactive(4))
	g.Expect(voters).To(HaveLen(3), "an inactive learner is removed")
}

// TestSparesAreNotPromoted guards against a group that takes in the successors of its voters beside
// them, and then counts voters that are gone.
func TestSparesAreNotPromoted(t *testing.T) {
	g := NewWithT(t)
	view := viewWithInactive()
	view.maxVoters = 3
	voters, _ := applyDueChanges(t, newMembership("v", "v", "v", "l", "l"), view)
	g.Expect(voters).To(HaveLen(3))
	view = viewWithInactive(1, 2)
	view.maxVoters = 3
	voters, _ = applyDueChanges(t, newMembership("v", "v", "v", "l", "l"), view)
	g.Expect(voters).To(ConsistOf(consensus.ReplicaID(3), consensus.ReplicaID(4), consensus.ReplicaID(5)))
}

// TestLostVoterBeyondMaxVotersIsRemoved guards against a larger group whose majority counts voters
// that are gone, and against the removal of one that the fault tolerance requires.
func TestLostVoterBeyondMaxVotersIsRemoved(t *testing.T) {
	g := NewWithT(t)
	view := viewWithInactive(1, 2, 3)
	view.maxVoters = 3
	voters, minVoters := applyDueChanges(t, newMembership("v", "v", "v", "v", "v", "v", "v"), view)
	g.Expect(voters).To(ConsistOf(consensus.ReplicaID(4), consensus.ReplicaID(5), consensus.ReplicaID(6), consensus.ReplicaID(7)))
	g.Expect(minVoters).To(Equal(4))
	voters, _ = applyDueChanges(t, newMembership("v", "v", "v", "v", "v"), viewWithInactive(1, 2))
	g.Expect(voters).To(HaveLen(5), "two losses are tolerated, and the disks may still exist")
}

// TestInstanceThatLostItsDiskReplacesItsOldReplica checks that a learner replaces the voter
// of its own instance at once: after a disk loss the instance returns under a new replica ID,
// and its old replica never responds again.
func TestInstanceThatLostItsDiskReplacesItsOldReplica(t *testing.T) {
	g := NewWithT(t)
	members := newMembership("v", "v", "v", "l").Members
	members[3].Instance = members[1].Instance
	voters, _ := applyDueChanges(t, consensus.NewMembership(members...), viewWithInactive())
	g.Expect(voters).To(ConsistOf(consensus.ReplicaID(1), consensus.ReplicaID(3), consensus.ReplicaID(4)))
}

// TestSeedsDeriveSameGroup checks that all seeds derive the same group name and membership:
// otherwise they would form separate groups at the first start.
func TestSeedsDeriveSameGroup(t *testing.T) {
	g := NewWithT(t)
	seeds := []string{"10.1.0.1:7340", "10.2.0.1:7340", "10.3.0.1:7340"}
	first, second := bootstrapIdentity(seeds, seeds[0]), bootstrapIdentity(seeds, seeds[1])
	g.Expect(first.Group).To(Equal(second.Group))
	g.Expect(first.Initial).To(Equal(second.Initial))
	g.Expect(first.Replica).NotTo(Equal(second.Replica))
	g.Expect(first.Initial.IsVoter(first.Replica)).To(BeTrue())
}
