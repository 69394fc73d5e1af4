package ledger

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, and the number of checks that refuted each of the
// shortcuts which the design names.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "30000")
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	if !set {
		_ = flag.Set(name, value)
	}
}

// bench is a group with a network that delays, repeats and reorders, where
// replicas lose their disks and recover.
type bench struct {
	t         *rapid.T
	n         int
	view      uint64
	replicas  []*State
	attempts  []*Attempt
	released  []bool
	ran       []bool
	claims    []message
	replies   []answer
	recovery  []*recovery
	lostDisks int
}

type message struct {
	attempt, replica int
	epoch            uint64
	release          bool
}

type answer struct {
	attempt, replica int
	reply            Reply
}

// recovery is a recovery in progress of one replica.
type recovery struct {
	epoch  uint64
	copies map[int]Copy
}

func newBench(t *rapid.T, replicas, attempts int) *bench {
	b := &bench{t: t, n: replicas, view: View(0, testList(replicas).Members), released: make([]bool, attempts), ran: make([]bool, attempts)}
	for range replicas {
		b.replicas = append(b.replicas, activeState(replicas))
	}
	for i := range attempts {
		b.attempts = append(b.attempts, NewAttempt(attemptID(i), replicas))
	}
	b.recovery = make([]*recovery, replicas)
	return b
}

func (b *bench) send(t *rapid.T) {
	attempt, replica := b.draw(t)
	b.claims = append(b.claims, message{attempt: attempt, replica: replica, epoch: b.attempts[attempt].Epoch()})
}

// ask sends claims of an attempt to some replicas in any order and delivers
// them and their replies at once.
func (b *bench) ask(t *rapid.T) {
	attempt, _ := b.draw(t)
	order := rapid.Permutation(b.indices()).Draw(t, "order")
	for _, replica := range order[:rapid.IntRange(1, b.n).Draw(t, "count")] {
		request := ClaimRequest{View: b.view, Attempt: attemptID(attempt), Epoch: b.attempts[attempt].Epoch()}
		reply, _ := b.replicas[replica].Claim(testNow, request)
		b.attempts[attempt].Add(replica, reply)
	}
	if b.attempts[attempt].MayDispatch() && rapid.Bool().Draw(t, "eager") {
		b.ran[attempt] = true
	}
}

func (b *bench) indices() []int {
	out := make([]int, b.n)
	for i := range out {
		out[i] = i
	}
	return out
}

func (b *bench) draw(t *rapid.T) (attempt, replica int) {
	attempt = rapid.IntRange(0, len(b.attempts)-1).Draw(t, "attempt")
	if b.released[attempt] {
		t.Skip("released")
	}
	return attempt, rapid.IntRange(0, b.n-1).Draw(t, "replica")
}

func (b *bench) deliver(t *rapid.T) {
	if len(b.claims) == 0 {
		t.Skip("no message")
	}
	at := rapid.IntRange(0, len(b.claims)-1).Draw(t, "message")
	m := b.claims[at]
	if !rapid.Bool().Draw(t, "repeat") {
		b.claims = slices.Delete(b.claims, at, at+1)
	}
	state := b.replicas[m.replica]
	if m.release {
		state.Release(testNow, ClaimRequest{View: b.view, Attempt: attemptID(m.attempt), Epoch: m.epoch})
		return
	}
	reply, _ := state.Claim(testNow, ClaimRequest{View: b.view, Attempt: attemptID(m.attempt), Epoch: m.epoch})
	b.replies = append(b.replies, answer{m.attempt, m.replica, reply})
}

func (b *bench) answer(t *rapid.T) {
	if len(b.replies) == 0 {
		t.Skip("no reply")
	}
	at := rapid.IntRange(0, len(b.replies)-1).Draw(t, "reply")
	got := b.replies[at]
	b.replies = slices.Delete(b.replies, at, at+1)
	b.attempts[got.attempt].Add(got.replica, got.reply)
}

func (b *bench) dispatch(t *rapid.T) {
	attempt := rapid.IntRange(0, len(b.attempts)-1).Draw(t, "attempt")
	if !b.attempts[attempt].MayDispatch() {
		t.Skip("not granted")
	}
	b.ran[attempt] = true
}

func (b *bench) release(t *rapid.T) {
	attempt := rapid.IntRange(0, len(b.attempts)-1).Draw(t, "attempt")
	if b.ran[attempt] {
		t.Skip("dispatched")
	}
	b.attempts[attempt].Release()
	b.released[attempt] = true
	for replica := range b.n {
		b.claims = append(b.claims, message{attempt: attempt, replica: replica, release: true})
	}
}

func (b *bench) complete(t *rapid.T) {
	attempt := rapid.IntRange(0, len(b.attempts)-1).Draw(t, "attempt")
	if !b.ran[attempt] {
		t.Skip("not dispatched")
	}
	replica := rapid.IntRange(0, b.n-1).Draw(t, "replica")
	b.replicas[replica].Complete(testNow, ClaimRequest{View: b.view, Attempt: attemptID(attempt)}, Answer{Status: 200})
}

// loseDisk empties a replica while the others can still recover it.
func (b *bench) loseDisk(t *rapid.T) {
	replica := rapid.IntRange(0, b.n-1).Draw(t, "replica")
	active := 0
	for _, state := range b.replicas {
		if state.Meta().Phase == PhaseActive {
			active++
		}
	}
	if b.lostDisks == 3 || active <= Majority(b.n) {
		t.Skip("no majority would be left")
	}
	b.lostDisks++
	b.replicas[replica] = NewState(testRetention)
	b.recovery[replica] = nil
}

// recover runs a recovery, or a part of one, with claims between its copies.
func (b *bench) recover(t *rapid.T) {
	replica := rapid.IntRange(0, b.n-1).Draw(t, "replica")
	if b.replicas[replica].Meta().Phase == PhaseActive {
		t.Skip("active")
	}
	if b.recovery[replica] == nil {
		b.startRecovery(replica)
	}
	for _, source := range rapid.Permutation(b.indices()).Draw(t, "sources") {
		if b.recovery[replica] == nil || rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
			return
		}
		b.copyFrom(replica, source)
		if rapid.Bool().Draw(t, "claim between") {
			b.ask(t)
		}
	}
}

// copyFrom takes one copy, and ends the recovery when that is enough.
func (b *bench) copyFrom(replica, source int) {
	state, r := b.replicas[replica], b.recovery[replica]
	inactive := b.replicas[source].Meta().Phase != PhaseActive
	if source == replica || inactive || state.Meta().Phase == PhaseActive {
		return
	}
	raised, _ := b.replicas[source].RaiseEpoch(r.epoch)
	if !raised {
		b.recovery[replica] = nil
		return
	}
	r.copies[source] = copyOf(b.replicas[source])
	var copies []Copy
	for i := range b.n {
		if one, ok := r.copies[i]; ok {
			copies = append(copies, one)
		}
	}
	state.Recover(r.epoch, testList(b.n), copies)
}

// startRecovery learns the highest epoch of a majority of the others.
func (b *bench) startRecovery(replica int) {
	var highest uint64
	for _, state := range b.replicas {
		highest = max(highest, state.Meta().Epoch)
	}
	b.recovery[replica] = &recovery{epoch: NextEpoch(highest, replica), copies: map[int]Copy{}}
}

func copyOf(s *State) Copy {
	out := Copy{Meta: s.Meta(), Records: map[KeyHash]*Record{}}
	for key, record := range s.Records {
		out.Records[key] = record
	}
	return out
}

func (b *bench) check(t *rapid.T) {
	runs := 0
	for i := range b.ran {
		if b.ran[i] {
			runs++
		}
		if b.ran[i] && b.released[i] {
			t.Fatalf("attempt %d ran and released", i)
		}
	}
	if runs > 1 {
		t.Fatalf("%d attempts ran", runs)
	}
}

func TestAtMostOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas")
		b := newBench(t, replicas, 2)
		t.Repeat(map[string]func(*rapid.T){
			"send": b.send, "ask": b.ask, "deliver": b.deliver, "answer": b.answer, "dispatch": b.dispatch,
			"release": b.release, "complete": b.complete, "loseDisk": b.loseDisk, "recover": b.recover,
			"": b.check,
		})
	})
}

// TestAtMostOneAttemptRunsAcrossLostDisks leaves out delays, so that it reaches
// the rare orders of claims and recoveries.
func TestAtMostOneAttemptRunsAcrossLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, 3, 2)
		t.Repeat(map[string]func(*rapid.T){
			"ask": b.ask, "loseDisk": b.loseDisk, "recover": b.recover, "": b.check,
		})
	})
}
