package consensus

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSimultaneousPreCandidatesElectLeader guards against split votes: two of three
// replicas restart at the same time while the third is down, and their vote requests
// cross. One of them must win without another election timeout.
func TestSimultaneousPreCandidatesElectLeader(t *testing.T) {
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
		var messages []Message
		for _, id := range []ReplicaID{1, 2} {
			ready := replicas[id].Ready()
			messages = append(messages, ready.Messages...)
		}
		for _, m := range messages {
			if to := replicas[m.To]; to != nil {
				to.Step(m)
			}
		}
	}
	g.Expect(replicas[2].Status().Role).To(Equal(RoleLeader))
	g.Expect(replicas[1].Status().Leader).To(Equal(ReplicaID(2)))
}

// TestVoteRequestsAreRetriedWhilePeerStarts restarts a group whose first replica starts
// before the others listen, so that its vote requests are lost. It must repeat them to
// the replica that starts next well before its election timeout expires.
func TestVoteRequestsAreRetriedWhilePeerStarts(t *testing.T) {
	g := NewWithT(t)
	group := NewMembership(Member{ID: 1}, Member{ID: 2}, Member{ID: 3})
	startReplica := func(id ReplicaID) *Replica {
		return New(Config{
			ID: id, ElectionTicks: 100, HeartbeatTicks: 4, MaxMessageBytes: 1000, Rand: rand.New(rand.NewPCG(1, uint64(id))),
		}, State{Snapshot: Snapshot{Membership: group}})
	}
	replicas := map[ReplicaID]*Replica{1: startReplica(1)}
	replicas[1].campaign(RolePreCandidate)
	g.Expect(replicas[1].Ready().Messages).To(HaveLen(2), "these requests are lost because no peer listens yet")
	replicas[2] = startReplica(2)
	for range 2 * voteRetryTicks {
		replicas[1].Tick()
		deliverAll(replicas)
	}
	g.Expect(replicas[1].Status().Role).To(Equal(RoleLeader))
}

// TestRestartedGroupElectsLeaderWithinTicks restarts all three replicas one after the
// other, as happens on slow hosts after a power failure. The group must elect a leader
// without an election timeout.
func TestRestartedGroupElectsLeaderWithinTicks(t *testing.T) {
	g := NewWithT(t)
	group := NewMembership(Member{ID: 1}, Member{ID: 2}, Member{ID: 3})
	for seed := range uint64(50) {
		replicas := map[ReplicaID]*Replica{}
		for id := ReplicaID(1); id <= 3; id++ {
			replicas[id] = New(Config{
				ID: id, ElectionTicks: 15, HeartbeatTicks: 4, MaxMessageBytes: 1000, Rand: rand.New(rand.NewPCG(seed, uint64(id))),
			}, State{Snapshot: Snapshot{Membership: group}})
			replicas[id].CampaignOnNextTick()
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

// deliverAll delivers messages until none is left; messages to replicas that are not
// running are lost.
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
