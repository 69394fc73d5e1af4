package ledger

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets the default seed and number of checks of the property tests. With
// this number they refuted each of the unsafe simplifications that the design
// names.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "1")
	setFlagDefault("rapid.checks", "30000")
	os.Exit(m.Run())
}

func setFlagDefault(name, value string) {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	if !set {
		_ = flag.Set(name, value)
	}
}

// claimModel models a group whose network delays, duplicates and reorders
// messages, and whose replicas lose their disks and recover.
type claimModel struct {
	t           *rapid.T
	memberCount int
	view        uint64
	replicas    []*State
	attempts    []*Attempt
	released    []bool
	dispatched  []bool
	requests    []requestMessage
	replies     []replyMessage
	recoveries  []*recovery
	lostDisks   int
}

// requestMessage is a claim or a release in flight to a replica.
type requestMessage struct {
	attempt, replica int
	epoch            uint64
	release          bool
}

// replyMessage is a reply in flight to an attempt.
type replyMessage struct {
	attempt, replica int
	reply            Reply
}

// recovery is a recovery in progress of one replica.
type recovery struct {
	epoch  uint64
	copies map[int]ReplicaCopy
}

func newClaimModel(t *rapid.T, replicas, attempts int) *claimModel {
	m := &claimModel{
		t:           t,
		memberCount: replicas,
		view:        ViewFingerprint(0, testList(replicas).Members),
		released:    make([]bool, attempts),
		dispatched:  make([]bool, attempts),
	}
	for range replicas {
		m.replicas = append(m.replicas, activeState(replicas))
	}
	for i := range attempts {
		m.attempts = append(m.attempts, NewAttempt(attemptID(i), replicas))
	}
	m.recoveries = make([]*recovery, replicas)
	return m
}

func (m *claimModel) sendClaim(t *rapid.T) {
	attempt, replica := m.drawAttemptAndReplica(t)
	m.requests = append(m.requests, requestMessage{attempt: attempt, replica: replica, epoch: m.attempts[attempt].Epoch()})
}

// claimImmediately sends claims of an attempt to some replicas in any order and
// delivers them and their replies immediately.
func (m *claimModel) claimImmediately(t *rapid.T) {
	attempt, _ := m.drawAttemptAndReplica(t)
	order := rapid.Permutation(m.indices()).Draw(t, "order")
	for _, replica := range order[:rapid.IntRange(1, m.memberCount).Draw(t, "count")] {
		request := ClaimRequest{View: m.view, Attempt: attemptID(attempt), Epoch: m.attempts[attempt].Epoch()}
		reply, _ := m.replicas[replica].Claim(testNow, request)
		m.attempts[attempt].Add(replica, reply)
	}
	if m.attempts[attempt].MayDispatch() && rapid.Bool().Draw(t, "dispatch immediately") {
		m.dispatched[attempt] = true
	}
}

func (m *claimModel) indices() []int {
	indices := make([]int, m.memberCount)
	for i := range indices {
		indices[i] = i
	}
	return indices
}

func (m *claimModel) drawAttemptAndReplica(t *rapid.T) (attempt, replica int) {
	attempt = rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")
	if m.released[attempt] {
		t.Skip("the attempt is released")
	}
	return attempt, rapid.IntRange(0, m.memberCount-1).Draw(t, "replica")
}

func (m *claimModel) deliverRequest(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no message is in flight")
	}
	index := rapid.IntRange(0, len(m.requests)-1).Draw(t, "message")
	request := m.requests[index]
	if !rapid.Bool().Draw(t, "duplicate") {
		m.requests = slices.Delete(m.requests, index, index+1)
	}
	state := m.replicas[request.replica]
	if request.release {
		state.Release(testNow, ClaimRequest{View: m.view, Attempt: attemptID(request.attempt), Epoch: request.epoch})
		return
	}
	reply, _ := state.Claim(testNow, ClaimRequest{View: m.view, Attempt: attemptID(request.attempt), Epoch: request.epoch})
	m.replies = append(m.replies, replyMessage{request.attempt, request.replica, reply})
}

func (m *claimModel) addReply(t *rapid.T) {
	if len(m.replies) == 0 {
		t.Skip("no reply is in flight")
	}
	index := rapid.IntRange(0, len(m.replies)-1).Draw(t, "reply")
	received := m.replies[index]
	m.replies = slices.Delete(m.replies, index, index+1)
	m.attempts[received.attempt].Add(received.replica, received.reply)
}

func (m *claimModel) dispatch(t *rapid.T) {
	attempt := rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")
	if !m.attempts[attempt].MayDispatch() {
		t.Skip("the attempt is not granted")
	}
	m.dispatched[attempt] = true
}

func (m *claimModel) release(t *rapid.T) {
	attempt := rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")
	if m.dispatched[attempt] {
		t.Skip("the attempt has dispatched")
	}
	m.attempts[attempt].Release()
	m.released[attempt] = true
	for replica := range m.memberCount {
		m.requests = append(m.requests, requestMessage{attempt: attempt, replica: replica, release: true})
	}
}

func (m *claimModel) complete(t *rapid.T) {
	attempt := rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")
	if !m.dispatched[attempt] {
		t.Skip("the attempt has not dispatched")
	}
	replica := rapid.IntRange(0, m.memberCount-1).Draw(t, "replica")
	m.replicas[replica].Complete(testNow, ClaimRequest{View: m.view, Attempt: attemptID(attempt)}, Answer{Status: 200})
}

// loseDisk erases the state of a replica if enough active replicas remain for its
// recovery. A run loses at most 3 disks.
func (m *claimModel) loseDisk(t *rapid.T) {
	replica := rapid.IntRange(0, m.memberCount-1).Draw(t, "replica")
	active := 0
	for _, state := range m.replicas {
		if state.Meta().Phase == PhaseActive {
			active++
		}
	}
	if m.lostDisks == 3 || active <= Majority(m.memberCount) {
		t.Skip("no majority would remain or 3 disks were lost")
	}
	m.lostDisks++
	m.replicas[replica] = NewState(testRetention)
	m.recoveries[replica] = nil
}

// recoverReplica runs a recovery or a part of it, with claims between its copies.
func (m *claimModel) recoverReplica(t *rapid.T) {
	replica := rapid.IntRange(0, m.memberCount-1).Draw(t, "replica")
	if m.replicas[replica].Meta().Phase == PhaseActive {
		t.Skip("the replica is active")
	}
	if m.recoveries[replica] == nil {
		m.startRecovery(replica)
	}
	for _, source := range rapid.Permutation(m.indices()).Draw(t, "order of sources") {
		if m.recoveries[replica] == nil || rapid.IntRange(0, 9).Draw(t, "interrupted if 0") == 0 {
			return
		}
		m.copyFrom(replica, source)
		if rapid.Bool().Draw(t, "claim between copies") {
			m.claimImmediately(t)
		}
	}
}

// copyFrom copies the state of one source, and completes the recovery if the
// copies suffice.
func (m *claimModel) copyFrom(replica, source int) {
	state, r := m.replicas[replica], m.recoveries[replica]
	inactive := m.replicas[source].Meta().Phase != PhaseActive
	if source == replica || inactive || state.Meta().Phase == PhaseActive {
		return
	}
	raised, _ := m.replicas[source].RaiseEpoch(r.epoch)
	if !raised {
		m.recoveries[replica] = nil
		return
	}
	r.copies[source] = copyState(m.replicas[source])
	var copies []ReplicaCopy
	for i := range m.memberCount {
		if copied, ok := r.copies[i]; ok {
			copies = append(copies, copied)
		}
	}
	state.Recover(r.epoch, testList(m.memberCount), copies)
}

// startRecovery starts a recovery with an epoch above those of all replicas.
func (m *claimModel) startRecovery(replica int) {
	var highest uint64
	for _, state := range m.replicas {
		highest = max(highest, state.Meta().Epoch)
	}
	m.recoveries[replica] = &recovery{epoch: NextEpoch(highest, replica), copies: map[int]ReplicaCopy{}}
}

func copyState(s *State) ReplicaCopy {
	copied := ReplicaCopy{Meta: s.Meta(), Records: map[KeyHash]*Record{}}
	for key, record := range s.Records {
		copied.Records[key] = record
	}
	return copied
}

func (m *claimModel) checkAtMostOneDispatched(t *rapid.T) {
	dispatches := 0
	for i := range m.dispatched {
		if m.dispatched[i] {
			dispatches++
		}
		if m.dispatched[i] && m.released[i] {
			t.Fatalf("attempt %d dispatched and released", i)
		}
	}
	if dispatches > 1 {
		t.Fatalf("%d attempts dispatched", dispatches)
	}
}

// TestAtMostOneAttemptRuns guards against two attempts that dispatch with the same
// key, and against an attempt that dispatches and reports a release. Messages are
// delayed, duplicated and reordered, and replicas lose their disks and recover.
func TestAtMostOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas")
		m := newClaimModel(t, replicas, 2)
		t.Repeat(map[string]func(*rapid.T){
			"sendClaim": m.sendClaim, "claimImmediately": m.claimImmediately, "deliverRequest": m.deliverRequest,
			"addReply": m.addReply, "dispatch": m.dispatch, "release": m.release, "complete": m.complete,
			"loseDisk": m.loseDisk, "recover": m.recoverReplica, "": m.checkAtMostOneDispatched,
		})
	})
}

// TestAtMostOneAttemptRunsAcrossLostDisks guards against the same failures
// without message delays, so that it reaches rare orders of claims and recoveries.
func TestAtMostOneAttemptRunsAcrossLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel(t, 3, 2)
		t.Repeat(map[string]func(*rapid.T){
			"claimImmediately": m.claimImmediately, "loseDisk": m.loseDisk, "recover": m.recoverReplica,
			"": m.checkAtMostOneDispatched,
		})
	})
}
