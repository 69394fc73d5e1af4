package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"
)

const (
	testElectionTicks = 10
	testSnapshotEvery = 8
	// testKeptBytes bounds the entries kept below a snapshot; entries take some 40 bytes.
	testKeptBytes = 200
)

// node is a replica with its durable state.
type node struct {
	replica *Replica
	durable State
	applied uint64
	down    bool
}

// network drives a group and checks the invariants after each step.
type network struct {
	t         *rapid.T
	random    *rand.Rand
	nodes     map[ReplicaID]*node
	ids       []ReplicaID
	messages  []Message
	blocked   map[[2]ReplicaID]bool
	leaders   map[uint64]ReplicaID
	committed map[uint64]Entry
	reads     map[uint64]uint64
	highest   uint64
	commands  int
}

func newNetwork(t *rapid.T, size int) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		nodes: map[ReplicaID]*node{}, blocked: map[[2]ReplicaID]bool{}, leaders: map[uint64]ReplicaID{},
		committed: map[uint64]Entry{}, reads: map[uint64]uint64{},
	}
	var members []Member
	for i := range size {
		members = append(members, Member{ID: ReplicaID(i + 1), Instance: fmt.Sprint("control-", i+1)})
	}
	for _, member := range members {
		n.add(member.ID, State{Snapshot: Snapshot{Membership: NewMembership(members...)}})
	}
	return n
}

func (n *network) add(id ReplicaID, state State) {
	n.nodes[id] = &node{durable: state, applied: state.Snapshot.Index}
	if !slices.Contains(n.ids, id) {
		n.ids = append(n.ids, id)
	}
	n.restart(id)
}

func (n *network) restart(id ReplicaID) {
	node := n.nodes[id]
	node.down = false
	state := node.durable
	state.Entries = slices.Clone(state.Entries)
	node.replica = New(Config{
		ID: id, ElectionTicks: testElectionTicks, HeartbeatTicks: 2, MaxMessageBytes: 200, Rand: n.random,
	}, state)
	node.applied = state.Snapshot.Index
}

// handle does what a driver does: persist, then send, then apply.
func (n *network) handle(id ReplicaID) {
	node := n.nodes[id]
	for {
		ready := node.replica.Ready()
		if ready.IsEmpty() {
			break
		}
		n.persist(node, &ready)
		n.messages = append(n.messages, ready.Messages...)
		for _, entry := range ready.Committed {
			n.apply(id, entry)
		}
		for _, read := range ready.ReadStates {
			if read.Index < n.reads[read.Context] {
				n.t.Fatalf("read %d at index %d, but %d was committed before it", read.Context, read.Index, n.reads[read.Context])
			}
		}
	}
	n.checkLeader(id)
}

func (n *network) persist(node *node, ready *Ready) {
	if ready.HardState != nil {
		node.durable.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		node.durable.Snapshot, node.durable.Entries = *ready.Snapshot, nil
		node.applied = ready.Snapshot.Index
	}
	if len(ready.Entries) > 0 {
		keep := ready.Entries[0].Index - node.durable.Snapshot.Index - 1
		node.durable.Entries = append(slices.Clone(node.durable.Entries[:keep]), ready.Entries...)
	}
}

func (n *network) apply(id ReplicaID, entry Entry) {
	node := n.nodes[id]
	if entry.Index != node.applied+1 {
		n.t.Fatalf("replica %d applies %d after %d", id, entry.Index, node.applied)
	}
	node.applied = entry.Index
	n.highest = max(n.highest, entry.Index)
	known, ok := n.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		n.t.Fatalf("state-machine safety: index %d is %v at replica %d and was %v", entry.Index, entry, id, known)
	}
	n.committed[entry.Index] = entry
}

// checkLeader checks election safety and leader completeness.
func (n *network) checkLeader(id ReplicaID) {
	r := n.nodes[id].replica
	if r.role != RoleLeader {
		return
	}
	known, ok := n.leaders[r.term]
	if ok && known != id {
		n.t.Fatalf("election safety: %d and %d lead in term %d", known, id, r.term)
	}
	if ok {
		return
	}
	n.leaders[r.term] = id
	for index, entry := range n.committed {
		if index <= r.log.base.Index || entry.Term >= r.term {
			continue
		}
		if term, ok := r.log.term(index); !ok || term != entry.Term {
			n.t.Fatalf("leader completeness: %d leads in term %d without entry %d", id, r.term, index)
		}
	}
}

// checkLogs checks log matching.
func (n *network) checkLogs() {
	for i, a := range n.ids {
		for _, b := range n.ids[i+1:] {
			n.checkMatch(n.nodes[a].replica.log, n.nodes[b].replica.log)
		}
	}
}

func (n *network) checkMatch(a, b *entryLog) {
	matched := false
	for index := min(a.lastIndex(), b.lastIndex()); index > max(a.base.Index, b.base.Index); index-- {
		x, y := a.entries[index-a.base.Index-1], b.entries[index-b.base.Index-1]
		same := x.Term == y.Term
		if matched && !same || same && string(x.Data) != string(y.Data) {
			n.t.Fatalf("log matching: %v and %v at index %d", x, y, index)
		}
		matched = same
	}
}

func (n *network) tick(id ReplicaID) {
	if n.nodes[id].down {
		return
	}
	n.nodes[id].replica.Tick()
	n.handle(id)
}

func (n *network) deliver(i int, keep bool) {
	m := n.messages[i]
	if !keep {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	node := n.nodes[m.To]
	if node == nil || node.down || n.blocked[[2]ReplicaID{m.From, m.To}] {
		return
	}
	node.replica.Step(m)
	n.handle(m.To)
}

// crash loses what was not persisted; with a torn step the replica has handled
// a message whose Ready is lost whole.
func (n *network) crash(id ReplicaID, torn bool) {
	node := n.nodes[id]
	if torn && !node.down {
		for _, m := range n.messages {
			if m.To == id {
				node.replica.Step(m)
				break
			}
		}
	}
	node.down = true
}

func (n *network) propose(id ReplicaID) {
	node := n.nodes[id]
	if node.down || node.replica.role != RoleLeader {
		return
	}
	n.commands++
	_, _, _ = node.replica.Propose([]byte(fmt.Sprint(n.commands)))
	n.handle(id)
}

func (n *network) read(id ReplicaID) {
	node := n.nodes[id]
	if node.down {
		return
	}
	context := uint64(len(n.reads) + 1)
	n.reads[context] = n.highest
	_ = node.replica.ReadIndex(context)
	n.handle(id)
}

func (n *network) compact(id ReplicaID) {
	node := n.nodes[id]
	if node.down || node.applied < node.durable.Snapshot.Index+testSnapshotEvery {
		return
	}
	snapshot, ok := node.replica.Compact(node.applied, uint64(n.random.IntN(testSnapshotEvery)), n.random.IntN(testKeptBytes))
	if ok {
		node.durable.Snapshot = snapshot
		node.durable.Entries = slices.Clone(node.replica.Entries())
	}
}

// change replaces a replica by a new one, one step at a time.
func (n *network) change(id ReplicaID, kind ChangeType, target ReplicaID) {
	node := n.nodes[id]
	if node.down || node.replica.role != RoleLeader {
		return
	}
	if kind == AddLearner {
		target = ReplicaID(len(n.ids) + 1)
		if len(n.ids) >= 6 || node.replica.ProposeChange(Change{Type: kind, Member: Member{ID: target}}) != nil {
			return
		}
		n.add(target, State{})
	} else {
		_ = node.replica.ProposeChange(Change{Type: kind, Member: Member{ID: target}})
	}
	n.handle(id)
}

// settle heals everything and lets the group run without faults.
func (n *network) settle(rounds int) {
	n.blocked = map[[2]ReplicaID]bool{}
	for _, id := range n.ids {
		if n.nodes[id].down {
			n.restart(id)
		}
	}
	for range rounds {
		for _, id := range n.ids {
			n.tick(id)
		}
		for range len(n.messages) {
			n.deliver(0, false)
		}
	}
}

func (n *network) leader() *node {
	var found *node
	for _, id := range n.ids {
		node := n.nodes[id]
		if !node.down && node.replica.role == RoleLeader && (found == nil || node.replica.term > found.replica.term) {
			found = node
		}
	}
	return found
}
