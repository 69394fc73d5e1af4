package consensus

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// recoveryRounds is the number of fault-free rounds after a random history.
const recoveryRounds = 30 * testElectionTicks

// randomStep applies one random event to the network: a tick, a delivery, a loss, a
// request, a crash, a restart, a link failure or a membership change.
func (n *network) randomStep(step int, withChanges bool) {
	intN := func(limit int) int { return n.random.IntN(limit) }
	id := n.ids[intN(len(n.ids))]
	other := n.ids[intN(len(n.ids))]
	switch kind := intN(100); {
	case kind < 30:
		n.tick(id)
	case kind < 75 && len(n.messages) > 0:
		n.deliver(intN(min(len(n.messages), 8)), kind < 33)
	case kind < 79 && len(n.messages) > 0:
		n.messages = append(n.messages[:0], n.messages[1:]...)
	case kind < 86:
		n.propose(id)
	case kind < 89:
		n.read(id)
	case kind < 91:
		n.compact(id)
	case kind < 93:
		n.crash(id, step%2 == 0)
	case kind < 95 && n.nodes[id].down && !n.nodes[id].lost:
		n.restart(id)
	case kind < 96:
		n.blocked[[2]ReplicaID{id, other}] = true
	case kind < 98:
		delete(n.blocked, [2]ReplicaID{id, other})
	case withChanges:
		n.proposeChange(id, ChangeType(intN(int(DemoteVoter)+1)), other)
	}
}

// checkRandomHistory runs a random history of events, then removes all faults. The
// invariants must hold throughout, and the group must then elect a leader and commit.
func checkRandomHistory(t *rapid.T, size, steps int, withChanges bool) {
	checkHistory(newNetwork(t, size), steps, withChanges, 0)
}

// checkHistory is checkRandomHistory for a network. From the given step on a replica may lose its
// disk; 0 means that none does.
func checkHistory(n *network, steps int, withChanges bool, lossFrom int) {
	t := n.t
	n.healAndRun(4 * testElectionTicks)
	for step := range steps {
		n.randomStep(step, withChanges)
		if lossFrom > 0 && step >= lossFrom && n.random.IntN(20) == 0 {
			n.loseDisk(n.ids[n.random.IntN(len(n.ids))])
			n.reportLostDisk(n.ids[n.random.IntN(len(n.ids))])
		}
		if step%16 == 0 {
			n.checkLogs()
		}
	}
	n.healAndRun(recoveryRounds)
	n.checkLogs()
	if !n.mustRecover {
		return
	}
	for _, id := range n.ids {
		n.reportLostDisk(id)
	}
	n.healAndRun(recoveryRounds)
	n.checkLogs()
	leader := n.leader()
	if leader == nil {
		t.Fatalf("no leader after all faults were removed")
	}
	before := n.highestApplied
	n.propose(leader.replica.config.ID)
	n.healAndRun(4 * testElectionTicks)
	if n.highestApplied <= before {
		t.Fatalf("no entry is committed after all faults were removed")
	}
	for _, member := range leader.replica.Membership().Members {
		if member.ID == n.lostID {
			continue
		}
		if applied := n.nodes[member.ID].applied; applied < before {
			t.Fatalf("replica %d has applied entries up to %d, want at least %d", member.ID, applied, before)
		}
	}
}

func TestGroupOfThreeKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRandomHistory(t, 3, 1500, false) })
}

func TestGroupOfFiveKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRandomHistory(t, 5, 1500, false) })
}

func TestMembershipChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRandomHistory(t, 3, 2500, true) })
}

// TestLostDiskKeepsInvariants guards against a lost disk that ends a group which has two voters for
// a moment, and against two leaders after it.
func TestLostDiskKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkHistory(newNetwork(t, rapid.IntRange(2, 4).Draw(t, "replicas")), 1500, true, rapid.IntRange(1, 1400).Draw(t, "lossFrom"))
	})
}

// checkProperty checks a property that uses Gomega assertions.
func checkProperty(t *testing.T, body func(t *rapid.T, g *WithT)) {
	rapid.Check(t, func(rt *rapid.T) { body(rt, NewWithT(t)) })
}

// TestIsolatedReplicaDoesNotDisruptGroup guards against a replica that raises its term
// while it is cut off, in one or both directions, and deposes the leader on its return.
func TestIsolatedReplicaDoesNotDisruptGroup(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.healAndRun(10 * testElectionTicks)
		leader := n.leader().replica
		term, isolated := leader.term, leader.peers()[0]
		for _, id := range n.ids {
			n.blocked[[2]ReplicaID{id, isolated}] = true
			n.blocked[[2]ReplicaID{isolated, id}] = rapid.Bool().Draw(t, "both ways")
		}
		blocked := n.blocked
		for range 20 {
			n.blocked = blocked
			n.runRounds(testElectionTicks)
		}
		n.healAndRun(4 * testElectionTicks)
		g.Expect(n.leader().replica).To(BeIdenticalTo(leader))
		g.Expect(leader.term).To(Equal(term))
	})
}

// runRounds runs ticks and deliveries without removing faults.
func (n *network) runRounds(rounds int) {
	for range rounds {
		for _, id := range n.ids {
			n.tick(id)
		}
		for range len(n.messages) {
			n.deliver(0, false)
		}
	}
}

// TestLeaderWithoutMajorityStepsDownAndConfirmsNoRead blocks all messages to the leader,
// whose own messages still arrive.
func TestLeaderWithoutMajorityStepsDownAndConfirmsNoRead(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.healAndRun(10 * testElectionTicks)
		old := n.leader()
		for _, id := range old.replica.peers() {
			n.blocked[[2]ReplicaID{id, old.replica.config.ID}] = true
		}
		g.Expect(old.replica.ReadIndex(1)).To(Succeed())
		n.runRounds(10 * testElectionTicks)
		g.Expect(old.replica.role).NotTo(Equal(RoleLeader))
		g.Expect(old.replica.readStates).To(BeEmpty())
		g.Expect(n.leader()).NotTo(BeNil())
		g.Expect(n.leader()).NotTo(BeIdenticalTo(old))
	})
}

// TestRemovedReplicaDoesNotDisruptGroup guards against a removed replica that campaigns
// because it receives no heartbeats any more.
func TestRemovedReplicaDoesNotDisruptGroup(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.healAndRun(10 * testElectionTicks)
		leader := n.leader().replica
		removed := leader.peers()[0]
		n.proposeChange(leader.config.ID, RemoveReplica, removed)
		n.healAndRun(10 * testElectionTicks)
		g.Expect(leader.Membership().Voters()).To(HaveLen(2))
		g.Expect(n.leader().replica).To(BeIdenticalTo(leader))
	})
}

func TestSecondPendingMembershipChangeIsRejected(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		r := n.nodes[1].replica
		r.campaign(RoleCandidate)
		r.Step(Message{Type: MessageVoteResponse, From: 2, To: 1, Term: r.term})
		add := Change{Type: AddLearner, Member: Member{ID: 4}}
		g.Expect(r.ProposeChange(add)).To(MatchError(ErrNoCommitInTerm))
		r.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: r.term, LogIndex: 1})
		g.Expect(r.ProposeChange(add)).To(Succeed())
		g.Expect(r.ProposeChange(Change{Type: RemoveReplica, Member: Member{ID: 3}})).To(MatchError(ErrChangePending))
	})
}

func TestReplacementCatchesUpFromSnapshot(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.healAndRun(10 * testElectionTicks)
		leader := n.leader().replica
		for range 3 * testSnapshotInterval {
			n.propose(leader.config.ID)
			n.healAndRun(2)
		}
		n.compact(leader.config.ID)
		lost := leader.peers()[0]
		n.nodes[lost].down = true
		n.proposeChange(leader.config.ID, AddLearner, 0)
		added := n.ids[len(n.ids)-1]
		g.Expect(leader.ProposeChange(Change{Type: PromoteLearner, Member: Member{ID: added}})).NotTo(Succeed())
		n.runRounds(2 * testElectionTicks)
		g.Expect(n.nodes[added].durable.Snapshot.Index).To(Equal(leader.SnapshotIndex()))
		n.proposeChange(leader.config.ID, RemoveReplica, lost)
		n.runRounds(testElectionTicks)
		n.proposeChange(leader.config.ID, PromoteLearner, added)
		n.runRounds(testElectionTicks)
		g.Expect(leader.Membership().Voters()).To(ContainElement(added))
		g.Expect(leader.Membership().Voters()).NotTo(ContainElement(lost))

		// The group survives the loss of a second replica right after the replacement.
		n.nodes[leader.peers()[0]].down = true
		before := n.highestApplied
		n.runRounds(4 * testElectionTicks)
		n.propose(n.leader().replica.config.ID)
		n.runRounds(testElectionTicks)
		g.Expect(n.highestApplied).To(BeNumerically(">", before))
	})
}

// TestEntryOfOlderTermIsNotCommittedByCounting covers figure 8 of the Raft paper: a
// majority holds an entry of an earlier term. If the leader committed it by counting
// replicas, a later leader could replace it.
func TestEntryOfOlderTermIsNotCommittedByCounting(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		old := Entry{Index: 1, Term: 2, Type: EntryCommand, Data: []byte("old")}
		for _, id := range n.ids[:2] {
			n.nodes[id].durable.HardState.Term = 3
			n.nodes[id].durable.Entries = []Entry{old}
			n.restart(id)
		}
		r := n.nodes[1].replica
		r.campaign(RoleCandidate)
		r.Step(Message{Type: MessageVoteResponse, From: 2, To: 1, Term: r.term})
		g.Expect(r.role).To(Equal(RoleLeader))
		r.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: r.term, LogIndex: 1})
		g.Expect(r.commit).To(BeZero())
		r.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: r.term, LogIndex: 2})
		g.Expect(r.commit).To(BeNumerically("==", 2))
	})
}

// TestDeposedLeaderConfirmsNoRead guards against stale reads. A leader is cut off in both
// directions and its clock stops, so that it stays in the leader role while another
// leader commits further entries.
func TestDeposedLeaderConfirmsNoRead(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.healAndRun(10 * testElectionTicks)
		old := n.leader()
		for _, id := range old.replica.peers() {
			n.blocked[[2]ReplicaID{id, old.replica.config.ID}] = true
			n.blocked[[2]ReplicaID{old.replica.config.ID, id}] = true
		}
		g.Expect(old.replica.ReadIndex(1)).To(Succeed())
		g.Expect(old.replica.Ready().ReadStates).To(BeEmpty())
		for range 40 * testElectionTicks { // the old leader receives no ticks
			for _, id := range old.replica.peers() {
				n.tick(id)
			}
			for range len(n.messages) {
				n.deliver(0, false)
			}
		}
		g.Expect(n.leader()).NotTo(BeIdenticalTo(old))
		n.propose(n.leader().replica.config.ID)
		g.Expect(old.replica.role).To(Equal(RoleLeader))
		g.Expect(old.replica.ReadIndex(2)).To(Succeed())
		g.Expect(old.replica.Ready().ReadStates).To(BeEmpty())
	})
}

func TestSingleReplicaCommitsAlone(t *testing.T) {
	checkProperty(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 1)
		n.healAndRun(4 * testElectionTicks)
		n.propose(1)
		g.Expect(n.highestApplied).To(BeNumerically("==", 2))
		g.Expect(n.nodes[1].replica.ReadIndex(7)).To(Succeed())
		g.Expect(n.nodes[1].replica.Ready().ReadStates).To(ConsistOf(ReadState{Context: 7, Index: 2}))
	})
}
