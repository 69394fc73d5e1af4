package ledger

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAcceptedChangeStopsGrants(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	next := testList(3).Replace("2", "3", "")
	accepted, _ := s.AcceptChange(1000, 0, next)
	g.Expect(accepted).To(BeTrue())
	reply, _ := s.Claim(testNow, ClaimRequest{View: testView, Attempt: attemptID(0)})
	g.Expect(reply.Status).To(Equal(StatusInactive))
	followed, _ := s.FollowList(*s.Meta().Pending)
	g.Expect(followed).To(BeTrue())
	reply, _ = s.Claim(testNow, ClaimRequest{View: testView, Attempt: attemptID(0)})
	g.Expect(reply.Status).To(Equal(StatusViewDiffers))
	g.Expect(reply.List.Members).To(Equal([]string{"0", "1", "3"}))
	reply, _ = s.Claim(testNow, ClaimRequest{View: View(0, next.Members), Attempt: attemptID(0)})
	g.Expect(reply.Status).To(Equal(StatusGranted))
	g.Expect(reply.Epoch).To(BeNumerically(">=", 1000))
}

func TestChangeIsRefusedAfterAHigherEpoch(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	next := testList(3).Replace("2", "3", "")
	promised, _ := s.PromiseChange(1000, 0)
	g.Expect(promised).To(BeTrue())
	s.RaiseEpoch(2000)
	accepted, _ := s.AcceptChange(1000, 0, next)
	g.Expect(accepted).To(BeFalse(), "a replica that raised the epoch may have recovered without it")
	promised, _ = s.PromiseChange(1500, 0)
	g.Expect(promised).To(BeFalse())
	promised, _ = s.PromiseChange(3000, 7)
	g.Expect(promised).To(BeFalse(), "the change starts from another list")
	accepted, _ = s.AcceptChange(3000, 0, next)
	g.Expect(accepted).To(BeTrue())
	other := testList(3).Replace("1", "3", "")
	accepted, _ = s.AcceptChange(3000, 0, other)
	g.Expect(accepted).To(BeFalse(), "one list an epoch")
}

// TestRecoveryRefusesTheOldListOnceANewOneIsAccepted is what the model of the
// change found: a replica that recovered into the old list followed the new one
// later, without what it had granted there before it lost its disk.
func TestRecoveryRefusesTheOldListOnceANewOneIsAccepted(t *testing.T) {
	g := NewWithT(t)
	accepted, plain := activeState(3), activeState(3)
	accepted.AcceptChange(1000, 0, testList(3).Replace("2", "3", ""))
	plain.RaiseEpoch(2000)
	accepted.RaiseEpoch(2000)
	copies := []Copy{copyOf(accepted), copyOf(plain)}
	recovered, _ := NewState(testRetention).Recover(2000, testList(3), copies)
	g.Expect(recovered).To(BeFalse())
	recovered, _ = NewState(testRetention).Recover(2000, *accepted.Meta().Pending, copies)
	g.Expect(recovered).To(BeFalse(), "one of two has not accepted the new list")
}

func TestChosenNeedsAMajorityOfTheOldMembers(t *testing.T) {
	g := NewWithT(t)
	next := testList(3).Replace("2", "3", "")
	metas := make(map[string]Meta)
	for _, member := range testList(3).Members {
		metas[member] = activeState(3).Meta()
	}
	accept := func(member string, epoch uint64) {
		s := activeState(3)
		s.AcceptChange(epoch, 0, next)
		metas[member] = s.Meta()
	}
	accept("0", 1000)
	list, _ := Chosen(metas)
	g.Expect(list.Members).To(Equal(testList(3).Members))
	accept("1", 2000)
	list, _ = Chosen(metas)
	g.Expect(list.Members).To(Equal(testList(3).Members), "two ballots are no majority of one")
	accept("0", 2000)
	list, _ = Chosen(metas)
	g.Expect(list.Members).To(Equal([]string{"0", "1", "3"}))
	_, found := Chosen(nil)
	g.Expect(found).To(BeFalse())
}

// changeBench is a group of three whose members two operators change, while two
// attempts claim one key and replicas lose their disks.
type changeBench struct {
	*rapid.T
	replicas map[string]*State
	attempts [2]map[uint64]*Attempt
	won      [2]bool
	lost     int
}

var changeNames = []string{"0", "1", "2", "3", "4"}

func newChangeBench(t *rapid.T) *changeBench {
	b := &changeBench{T: t, replicas: map[string]*State{}}
	for i, name := range changeNames {
		b.replicas[name] = NewState(testRetention)
		if i < 3 {
			b.replicas[name] = activeState(3)
		}
	}
	b.attempts = [2]map[uint64]*Attempt{{}, {}}
	return b
}

// metas returns what some of the replicas say of themselves.
func (b *changeBench) metas() map[string]Meta {
	out := map[string]Meta{}
	for name, s := range b.replicas {
		out[name] = s.Meta()
	}
	delete(out, rapid.SampledFrom(changeNames).Draw(b.T, "unreachable"))
	return out
}

// claim asks some members of a list that a router may know.
func (b *changeBench) claim(t *rapid.T) {
	from := b.replicas[rapid.SampledFrom(changeNames).Draw(t, "router learned from")].Meta()
	list := from.List()
	if from.Phase != PhaseActive {
		list = testList(3)
	}
	view, id := View(0, list.Members), rapid.IntRange(0, 1).Draw(t, "attempt")
	attempt := b.attempts[id][view]
	if attempt == nil {
		attempt = NewAttempt(attemptID(id), len(list.Members))
		b.attempts[id][view] = attempt
	}
	for i, name := range list.Members {
		if !rapid.Bool().Draw(t, "asked") {
			continue
		}
		reply, _ := b.replicas[name].Claim(testNow, ClaimRequest{View: view, Attempt: attemptID(id), Epoch: attempt.Epoch()})
		attempt.Add(i, reply)
	}
	b.won[id] = b.won[id] || attempt.MayDispatch()
}

// change runs an operator's ballot, which may stop anywhere.
func (b *changeBench) change(t *rapid.T) {
	metas := b.metas()
	list, found := Chosen(metas)
	old := rapid.SampledFrom(changeNames[1:3]).Draw(t, "old")
	by := rapid.SampledFrom(changeNames[3:]).Draw(t, "by")
	if !found || !list.Has(old) || list.Has(by) || b.replicas[by].Meta().Phase != PhaseEmpty {
		t.Skip("no such change")
	}
	next := list.Replace(old, by, "")
	epoch := ChangeEpoch(highest(metas), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 1)))
	promised := 0
	for _, name := range rapid.Permutation(list.Members).Draw(t, "promises") {
		ok, _ := b.replicas[name].PromiseChange(epoch, list.Since)
		pending := b.replicas[name].Meta().Pending
		if ok && pending != nil && View(0, pending.Members) != View(0, next.Members) {
			return
		}
		if ok {
			promised++
		}
		if promised == Majority(len(list.Members)) {
			break
		}
	}
	if promised < Majority(len(list.Members)) {
		return
	}
	for _, name := range rapid.Permutation(list.Members).Draw(t, "accepts") {
		if rapid.IntRange(0, 3).Draw(t, "stop") == 0 {
			return
		}
		b.replicas[name].AcceptChange(epoch, list.Since, next)
	}
}

// step does what a joiner does.
func (b *changeBench) step(t *rapid.T) {
	name := rapid.SampledFrom(changeNames).Draw(t, "joiner")
	s, metas := b.replicas[name], b.metas()
	own := s.Meta()
	if own.Phase == PhaseActive {
		metas[name] = own
		if list, _ := Chosen(metas); own.List().Has(name) {
			s.FollowList(list)
		}
		return
	}
	list, found := Chosen(metas)
	if !found || !list.Has(name) {
		t.Skip("nothing to join")
	}
	epoch := NextEpoch(highest(metas)+rapid.Uint64Range(0, 9).Draw(t, "epoch")*MaxMembers, list.indexOf(name))
	var copies []Copy
	for _, source := range rapid.Permutation(list.Members).Draw(t, "sources") {
		if !metas[source].Keeps(list) || len(copies) == Majority(len(list.Members)) {
			continue
		}
		if raised, _ := b.replicas[source].RaiseEpoch(epoch); raised && source != name {
			copies = append(copies, copyOf(b.replicas[source]))
		}
		if rapid.Bool().Draw(t, "claim between") {
			b.claim(t)
		}
	}
	s.Recover(epoch, list, copies)
}

// loseDisk empties a member once.
func (b *changeBench) loseDisk(t *rapid.T) {
	name := rapid.SampledFrom(changeNames).Draw(t, "lost")
	if b.lost == 1 || b.replicas[name].Meta().Phase != PhaseActive {
		t.Skip("enough")
	}
	b.lost++
	b.replicas[name] = NewState(testRetention)
}

func (b *changeBench) check(t *rapid.T) {
	if b.won[0] && b.won[1] {
		t.Fatal("both attempts may run")
	}
}

func highest(metas map[string]Meta) uint64 {
	var out uint64
	for _, meta := range metas {
		out = max(out, meta.Epoch)
	}
	return out
}

func TestAtMostOneAttemptRunsWhileMembersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newChangeBench(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": b.claim, "change": b.change, "step": b.step, "loseDisk": b.loseDisk, "": b.check,
		})
	})
}
