package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"
)

const (
	testElectionTicks    = 10
	testSnapshotInterval = 8
	// testMaxRetainedBytes limits the entries retained below a snapshot; an entry takes about 40 bytes.
	testMaxRetainedBytes = 200
)

// node is a replica with its simulated disk.
type node struct {
	replica *Replica
	durable State
	applied uint64
	down    bool
	// lost is set if the disk is lost; the replica never runs again.
	lost bool
}

// network simulates the drivers and the links of a group and checks the invariants of
// Raft after each step.
type network struct {
	t        *rapid.T
	random   *rand.Rand
	nodes    map[ReplicaID]*node
	ids      []ReplicaID
	messages []Message
	blocked  map[[2]ReplicaID]bool
	// leaders is keyed by term, committed by index.
	leaders   map[uint64]ReplicaID
	committed map[uint64]Entry
	// reads holds, by read context, the highest applied index at the time of the request.
	reads          map[uint64]uint64
	highestApplied uint64
	commands       int
	// lostID is the replica whose disk is lost, or 0. mustRecover is false if the disk was lost
	// while a membership change was not known on all disks to be committed.
	lostID      ReplicaID
	mustRecover bool
}

func newNetwork(t *rapid.T, size int) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		nodes: map[ReplicaID]*node{}, blocked: map[[2]ReplicaID]bool{}, leaders: map[uint64]ReplicaID{},
		committed: map[uint64]Entry{}, reads: map[uint64]uint64{}, mustRecover: true,
	}
	var members []Member
	for i := range size {
		members = append(members, Member{ID: ReplicaID(i + 1), Instance: fmt.Sprint("control-", i+1)})
	}
	for _, member := range members {
		n.addNode(member.ID, State{Snapshot: Snapshot{Membership: NewMembership(members...)}})
	}
	return n
}

func (n *network) addNode(id ReplicaID, state State) {
	n.nodes[id] = &node{durable: state, applied: state.Snapshot.Index}
	if !slices.Contains(n.ids, id) {
		n.ids = append(n.ids, id)
	}
	n.restart(id)
}

func (n *network) restart(id ReplicaID) {
	node := n.nodes[id]
	node.down = false
	node.replica = n.replicaFromDisk(id)
	node.applied = node.durable.Snapshot.Index
}

// replicaFromDisk returns a replica that starts from a node's durable state.
func (n *network) replicaFromDisk(id ReplicaID) *Replica {
	state := n.nodes[id].durable
	state.Entries = slices.Clone(state.Entries)
	return New(Config{
		ID: id, ElectionTicks: testElectionTicks, HeartbeatTicks: 2, MaxMessageBytes: 200, Rand: n.random,
	}, state)
}

// processReady does the work of a driver: it persists, then sends, then applies.
func (n *network) processReady(id ReplicaID) {
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
				n.t.Fatalf("stale read %d at index %d: index %d was committed before the request", read.Context, read.Index, n.reads[read.Context])
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
		n.t.Fatalf("replica %d applies index %d after index %d", id, entry.Index, node.applied)
	}
	node.applied = entry.Index
	n.highestApplied = max(n.highestApplied, entry.Index)
	previous, ok := n.committed[entry.Index]
	if ok && (previous.Term != entry.Term || string(previous.Data) != string(entry.Data)) {
		n.t.Fatalf("state machine safety violated: index %d is %v at replica %d, but was applied as %v before", entry.Index, entry, id, previous)
	}
	n.committed[entry.Index] = entry
}

// checkLeader checks election safety (at most one leader per term) and leader
// completeness (a new leader has all committed entries of earlier terms).
func (n *network) checkLeader(id ReplicaID) {
	r := n.nodes[id].replica
	if r.role != RoleLeader {
		return
	}
	other, ok := n.leaders[r.term]
	if ok && other != id {
		n.t.Fatalf("election safety violated: replicas %d and %d are both leader in term %d", other, id, r.term)
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
			n.t.Fatalf("leader completeness violated: replica %d is leader in term %d without committed entry %d", id, r.term, index)
		}
	}
}

// checkLogs checks log matching for each pair of replicas: if two entries have the same
// index and term, they and all earlier entries are equal.
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
			n.t.Fatalf("log matching violated: entries %v and %v at index %d", x, y, index)
		}
		matched = same
	}
}

func (n *network) tick(id ReplicaID) {
	if n.nodes[id].down {
		return
	}
	n.nodes[id].replica.Tick()
	n.processReady(id)
}

// deliver delivers message i unless its link or its receiver is down; keep duplicates it.
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
	n.processReady(m.To)
}

// crash stops a replica; state that is not persisted is lost. If torn is set, the replica
// handles one more message before, and the Ready that results is lost completely.
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
	n.processReady(id)
}

func (n *network) read(id ReplicaID) {
	node := n.nodes[id]
	if node.down {
		return
	}
	context := uint64(len(n.reads) + 1)
	n.reads[context] = n.highestApplied
	_ = node.replica.ReadIndex(context)
	n.processReady(id)
}

func (n *network) compact(id ReplicaID) {
	node := n.nodes[id]
	if node.down || node.applied < node.durable.Snapshot.Index+testSnapshotInterval {
		return
	}
	snapshot, ok := node.replica.SnapshotAt(node.applied)
	// One write in four fails, as on a full disk.
	if !ok || n.random.IntN(4) == 0 {
		return
	}
	node.durable.Snapshot = snapshot
	node.durable.Entries = slices.Clone(node.replica.EntriesAbove(snapshot.Index))
	node.replica.Compact(snapshot, uint64(n.random.IntN(testSnapshotInterval)), n.random.IntN(testMaxRetainedBytes))
}

// proposeChange proposes one step of a replacement: a new learner, its promotion, or the
// removal or demotion of a replica.
func (n *network) proposeChange(id ReplicaID, kind ChangeType, target ReplicaID) {
	node := n.nodes[id]
	if node.down || node.replica.role != RoleLeader {
		return
	}
	isEven := len(node.replica.Membership().Voters())%2 == 0
	if n.lostID != 0 && kind == RemoveReplica {
		// Drivers remove only inactive voters, and none from an even number.
		target = n.lostID
		if isEven {
			return
		}
	}
	if n.lostID != 0 && kind == DemoteVoter && !isEven {
		// Drivers demote voters only after they have promoted a learner.
		return
	}
	if kind == AddLearner {
		target = ReplicaID(len(n.ids) + 1)
		if len(n.ids) >= 6 || node.replica.ProposeChange(Change{Type: kind, Member: Member{ID: target}}) != nil {
			return
		}
		n.addNode(target, State{})
	} else {
		_ = node.replica.ProposeChange(Change{Type: kind, Member: Member{ID: target}})
	}
	n.processReady(id)
}

// healAndRun removes all faults, restarts the replicas that are down and runs the group.
func (n *network) healAndRun(rounds int) {
	n.blocked = map[[2]ReplicaID]bool{}
	for _, id := range n.ids {
		if n.nodes[id].down && !n.nodes[id].lost {
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

// loseDisk ends a replica for good, unless one has ended before or a replica knows of a membership
// with a single voter, which cannot bear it.
func (n *network) loseDisk(id ReplicaID) {
	if n.lostID != 0 {
		return
	}
	for _, node := range n.nodes {
		if len(node.replica.Membership().Voters()) < 2 {
			return
		}
	}
	n.nodes[id].down, n.nodes[id].lost, n.lostID = true, true, id
	for other := range n.nodes {
		r := n.replicaFromDisk(other)
		same := slices.Equal(r.Membership().Members, n.nodes[id].replica.Membership().Members)
		n.mustRecover = n.mustRecover && same && r.log.membershipIndex <= r.commit
	}
}

// reportLostDisk tells a replica which replica has lost its disk.
func (n *network) reportLostDisk(id ReplicaID) {
	if n.lostID != 0 && !n.nodes[id].down {
		n.nodes[id].replica.RecordLostDisks(n.lostID)
	}
}

// leader returns the running leader with the highest term, or nil.
func (n *network) leader() *node {
	var leader *node
	for _, id := range n.ids {
		node := n.nodes[id]
		if !node.down && node.replica.role == RoleLeader && (leader == nil || node.replica.term > leader.replica.term) {
			leader = node
		}
	}
	return leader
}
