package consensus

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const settleRounds = 30 * testElectionTicks

// act does one random thing to the network.
func (n *network) act(step int, withChanges bool) {
	pick := func(limit int) int { return n.random.IntN(limit) }
	id := n.ids[pick(len(n.ids))]
	other := n.ids[pick(len(n.ids))]
	switch kind := pick(100); {
	case kind < 30:
		n.tick(id)
	case kind < 75 && len(n.messages) > 0:
		n.deliver(pick(min(len(n.messages), 8)), kind < 33)
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
	case kind < 95 && n.nodes[id].down:
		n.restart(id)
	case kind < 96:
		n.blocked[[2]ReplicaID{id, other}] = true
	case kind < 98:
		delete(n.blocked, [2]ReplicaID{id, other})
	case withChanges:
		n.change(id, ChangeType(pick(3)), other)
	}
}

// run is a random history, then a quiet time in which the group has to go on.
func run(t *rapid.T, size, steps int, withChanges bool) {
	n := newNetwork(t, size)
	n.settle(4 * testElectionTicks)
	for step := range steps {
		n.act(step, withChanges)
		if step%16 == 0 {
			n.checkLogs()
		}
	}
	n.settle(settleRounds)
	n.checkLogs()
	leader := n.leader()
	if leader == nil {
		t.Fatalf("no leader after the faults have ended")
	}
	before := n.highest
	n.propose(leader.replica.config.ID)
	n.settle(4 * testElectionTicks)
	if n.highest <= before {
		t.Fatalf("nothing is committed after the faults have ended")
	}
	for _, member := range leader.replica.Membership().Members {
		if applied := n.nodes[member.ID].applied; applied < before {
			t.Fatalf("replica %d has applied %d of %d", member.ID, applied, before)
		}
	}
}

func TestGroupOfThreeKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, 3, 1500, false) })
}

func TestGroupOfFiveKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, 5, 1500, false) })
}

func TestMembershipChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, 3, 2500, true) })
}

// once runs a body with one fixed seed.
func once(t *testing.T, body func(t *rapid.T, g *WithT)) {
	rapid.Check(t, func(rt *rapid.T) { body(rt, NewWithT(t)) })
}

func TestIsolatedReplicaDisturbsNobody(t *testing.T) {
	once(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.settle(10 * testElectionTicks)
		leader := n.leader().replica
		term, isolated := leader.term, leader.others()[0]
		for _, id := range n.ids {
			n.blocked[[2]ReplicaID{id, isolated}] = true
			n.blocked[[2]ReplicaID{isolated, id}] = rapid.Bool().Draw(t, "both ways")
		}
		blocked := n.blocked
		for range 20 {
			n.blocked = blocked
			n.runBlocked(testElectionTicks)
		}
		n.settle(4 * testElectionTicks)
		g.Expect(n.leader().replica).To(BeIdenticalTo(leader))
		g.Expect(leader.term).To(Equal(term))
	})
}

func (n *network) runBlocked(rounds int) {
	for range rounds {
		for _, id := range n.ids {
			n.tick(id)
		}
		for range len(n.messages) {
			n.deliver(0, false)
		}
	}
}

func TestLeaderWithoutMajorityStepsDownAndAnswersNoRead(t *testing.T) {
	once(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.settle(10 * testElectionTicks)
		old := n.leader()
		for _, id := range old.replica.others() {
			n.blocked[[2]ReplicaID{id, old.replica.config.ID}] = true
		}
		g.Expect(old.replica.ReadIndex(1)).To(Succeed())
		n.runBlocked(10 * testElectionTicks)
		g.Expect(old.replica.role).NotTo(Equal(RoleLeader))
		g.Expect(old.replica.confirmed).To(BeEmpty())
		g.Expect(n.leader()).NotTo(BeNil())
		g.Expect(n.leader()).NotTo(BeIdenticalTo(old))
	})
}

func TestRemovedReplicaDisturbsNobody(t *testing.T) {
	once(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.settle(10 * testElectionTicks)
		leader := n.leader().replica
		removed := leader.others()[0]
		n.change(leader.config.ID, RemoveReplica, removed)
		n.settle(10 * testElectionTicks)
		g.Expect(leader.Membership().Voters()).To(HaveLen(2))
		g.Expect(n.leader().replica).To(BeIdenticalTo(leader))
	})
}

func TestMembershipChangesGoOneAtATime(t *testing.T) {
	once(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		r := n.nodes[1].replica
		r.campaign(RoleCandidate)
		r.Step(Message{Type: MessageVoteResponse, From: 2, To: 1, Term: r.term})
		add := Change{Type: AddLearner, Member: Member{ID: 4}}
		g.Expect(r.ProposeChange(add)).To(MatchError(ErrTermUnsettled))
		r.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: r.term, LogIndex: 1})
		g.Expect(r.ProposeChange(add)).To(Succeed())
		g.Expect(r.ProposeChange(Change{Type: RemoveReplica, Member: Member{ID: 3}})).To(MatchError(ErrChangePending))
	})
}

func TestReplacementCatchesUpFromASnapshot(t *testing.T) {
	once(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.settle(10 * testElectionTicks)
		leader := n.leader().replica
		for range 3 * testSnapshotEvery {
			n.propose(leader.config.ID)
			n.settle(2)
		}
		n.compact(leader.config.ID)
		lost := leader.others()[0]
		n.nodes[lost].down = true
		n.change(leader.config.ID, AddLearner, 0)
		added := n.ids[len(n.ids)-1]
		g.Expect(leader.ProposeChange(Change{Type: PromoteLearner, Member: Member{ID: added}})).NotTo(Succeed())
		n.runBlocked(2 * testElectionTicks)
		g.Expect(n.nodes[added].durable.Snapshot.Index).To(Equal(leader.SnapshotIndex()))
		n.change(leader.config.ID, RemoveReplica, lost)
		n.runBlocked(testElectionTicks)
		n.change(leader.config.ID, PromoteLearner, added)
		n.runBlocked(testElectionTicks)
		g.Expect(leader.Membership().Voters()).To(ContainElement(added))
		g.Expect(leader.Membership().Voters()).NotTo(ContainElement(lost))

		// A second loss right after is survived.
		n.nodes[leader.others()[0]].down = true
		before := n.highest
		n.runBlocked(4 * testElectionTicks)
		n.propose(n.leader().replica.config.ID)
		n.runBlocked(testElectionTicks)
		g.Expect(n.highest).To(BeNumerically(">", before))
	})
}

// TestEntryOfOlderTermIsNotCommittedByCounting brings about figure 8 of the
// Raft paper: a leader finds an entry of an earlier term on a majority.
func TestEntryOfOlderTermIsNotCommittedByCounting(t *testing.T) {
	once(t, func(t *rapid.T, g *WithT) {
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

// TestDeposedLeaderAnswersNoRead cuts a leader off both ways: it still believes
// that it leads when another has committed more.
func TestDeposedLeaderAnswersNoRead(t *testing.T) {
	once(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 3)
		n.settle(10 * testElectionTicks)
		old := n.leader()
		for _, id := range old.replica.others() {
			n.blocked[[2]ReplicaID{id, old.replica.config.ID}] = true
			n.blocked[[2]ReplicaID{old.replica.config.ID, id}] = true
		}
		g.Expect(old.replica.ReadIndex(1)).To(Succeed())
		g.Expect(old.replica.Ready().ReadStates).To(BeEmpty())
		for range 40 * testElectionTicks { // the old leader's clock stands still
			for _, id := range old.replica.others() {
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
	once(t, func(t *rapid.T, g *WithT) {
		n := newNetwork(t, 1)
		n.settle(4 * testElectionTicks)
		n.propose(1)
		g.Expect(n.highest).To(BeNumerically("==", 2))
		g.Expect(n.nodes[1].replica.ReadIndex(7)).To(Succeed())
		g.Expect(n.nodes[1].replica.Ready().ReadStates).To(ConsistOf(ReadState{Context: 7, Index: 2}))
	})
}
