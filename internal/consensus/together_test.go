package consensus

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// TestReplicasThatCampaignTogetherElectOneOfThem restarts two of three replicas at
// the same moment; the third is lost. Their questions cross, and one of them has to
// win without a further timeout.
func TestReplicasThatCampaignTogetherElectOneOfThem(t *testing.T) {
	g := NewWithT(t)
	group := NewMembership(Member{ID: 1}, Member{ID: 2}, Member{ID: 3})
	replicas := map[ReplicaID]*Replica{}
	for _, id := range []ReplicaID{1, 2} {
		replicas[id] = New(Config{
			ID: id, ElectionTicks: 10, HeartbeatTicks: 2, MaxMessageBytes: 1000, Rand: rand.New(rand.NewPCG(1, uint64(id))),
		}, State{Snapshot: Snapshot{Membership: group}})
		replicas[id].campaign(RolePreCandidate)
	}
	for range 20 {
		var crossing []Message
		for _, id := range []ReplicaID{1, 2} {
			ready := replicas[id].Ready()
			crossing = append(crossing, ready.Messages...)
		}
		for _, m := range crossing {
			if to := replicas[m.To]; to != nil {
				to.Step(m)
			}
		}
	}
	g.Expect(replicas[2].Status().Role).To(Equal(RoleLeader))
	g.Expect(replicas[1].Status().Leader).To(Equal(ReplicaID(2)))
}

// TestVotesAreAskedForAgainWhileAPeerStarts restarts a group whose first replica is
// up before the others listen: its questions are lost. The next replica that is up has
// to be asked again well before an election timeout is over.
func TestVotesAreAskedForAgainWhileAPeerStarts(t *testing.T) {
	g := NewWithT(t)
	group := NewMembership(Member{ID: 1}, Member{ID: 2}, Member{ID: 3})
	start := func(id ReplicaID) *Replica {
		return New(Config{
			ID: id, ElectionTicks: 100, HeartbeatTicks: 4, MaxMessageBytes: 1000, Rand: rand.New(rand.NewPCG(1, uint64(id))),
		}, State{Snapshot: Snapshot{Membership: group}})
	}
	replicas := map[ReplicaID]*Replica{1: start(1)}
	replicas[1].campaign(RolePreCandidate)
	g.Expect(replicas[1].Ready().Messages).To(HaveLen(2), "lost: nobody listens yet")
	replicas[2] = start(2)
	for range 2 * voteRetryTicks {
		replicas[1].Tick()
		deliverAll(replicas)
	}
	g.Expect(replicas[1].Status().Role).To(Equal(RoleLeader))
}

// TestAGroupThatWasStoppedAsAWholeElectsWithinTicks restarts all three replicas one after
// the other, as slow machines do after a loss of power.
func TestAGroupThatWasStoppedAsAWholeElectsWithinTicks(t *testing.T) {
	g := NewWithT(t)
	group := NewMembership(Member{ID: 1}, Member{ID: 2}, Member{ID: 3})
	for seed := range uint64(50) {
		replicas := map[ReplicaID]*Replica{}
		for id := ReplicaID(1); id <= 3; id++ {
			replicas[id] = New(Config{
				ID: id, ElectionTicks: 15, HeartbeatTicks: 4, MaxMessageBytes: 1000, Rand: rand.New(rand.NewPCG(seed, uint64(id))),
			}, State{Snapshot: Snapshot{Membership: group}})
			replicas[id].HastenElection()
			for _, replica := range replicas {
				replica.Tick()
			}
			deliverAll(replicas)
		}
		for range voteRetryTicks {
			for _, replica := range replicas {
				replica.Tick()
			}
			deliverAll(replicas)
		}
		leaders := 0
		for _, replica := range replicas {
			if replica.Status().Role == RoleLeader {
				leaders++
			}
		}
		g.Expect(leaders).To(Equal(1), "seed %d", seed)
	}
}

// deliverAll passes messages on until none is left; those to absent replicas are lost.
func deliverAll(replicas map[ReplicaID]*Replica) {
	for delivered := true; delivered; {
		delivered = false
		for _, replica := range replicas {
			for _, m := range replica.Ready().Messages {
				if to := replicas[m.To]; to != nil {
					to.Step(m)
					delivered = true
				}
			}
		}
	}
}
