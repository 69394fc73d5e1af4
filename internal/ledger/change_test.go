package ledger

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestAcceptedMembershipChangeStopsGrants guards against grants to claims of the old member
// list after a replica has accepted a new one.
func TestAcceptedMembershipChangeStopsGrants(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	next := testList(3).Replace("2", "3", "")
	accepted, _ := s.AcceptChange(1000, 0, next)
	g.Expect(accepted).To(BeTrue())
	reply, _ := s.Claim(testNow, ClaimRequest{View: testView, Attempt: attemptID(0)})
	g.Expect(reply.Status).To(Equal(StatusInactive))
	installed, _ := s.InstallList(*s.Meta().Pending)
	g.Expect(installed).To(BeTrue())
	reply, _ = s.Claim(testNow, ClaimRequest{View: testView, Attempt: attemptID(0)})
	g.Expect(reply.Status).To(Equal(StatusViewDiffers))
	g.Expect(reply.List.Members).To(Equal([]string{"0", "1", "3"}))
	reply, _ = s.Claim(testNow, ClaimRequest{View: ViewFingerprint(0, next.Members), Attempt: attemptID(0)})
	g.Expect(reply.Status).To(Equal(StatusGranted))
	g.Expect(reply.Epoch).To(BeNumerically(">=", 1000))
}

// TestMembershipChangeBelowRaisedEpochIsRefused guards against accepting a member list
// below an epoch that was raised after the promise, from another list, or second
// in its epoch.
func TestMembershipChangeBelowRaisedEpochIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	next := testList(3).Replace("2", "3", "")
	promised, _ := s.PromiseChange(1000, 0)
	g.Expect(promised).To(BeTrue())
	s.RaiseEpoch(2000)
	accepted, _ := s.AcceptChange(1000, 0, next)
	g.Expect(accepted).To(BeFalse(), "the replica that raised the epoch may have recovered without the change")
	promised, _ = s.PromiseChange(1500, 0)
	g.Expect(promised).To(BeFalse())
	promised, _ = s.PromiseChange(3000, 7)
	g.Expect(promised).To(BeFalse(), "the change starts from another member list")
	accepted, _ = s.AcceptChange(3000, 0, next)
	g.Expect(accepted).To(BeTrue())
	other := testList(3).Replace("1", "3", "")
	accepted, _ = s.AcceptChange(3000, 0, other)
	g.Expect(accepted).To(BeFalse(), "a replica accepts one list per epoch")
}

// TestRecoveryIntoOldListIsRefusedOnceNewListIsAccepted guards against a fault that
// the model test of membership changes found: a replica recovered into the old
// list and later installed the new one, without the grants it had made there
// before it lost its disk.
func TestRecoveryIntoOldListIsRefusedOnceNewListIsAccepted(t *testing.T) {
	g := NewWithT(t)
	accepted, unchanged := activeState(3), activeState(3)
	accepted.AcceptChange(1000, 0, testList(3).Replace("2", "3", ""))
	unchanged.RaiseEpoch(2000)
	accepted.RaiseEpoch(2000)
	copies := []ReplicaCopy{copyState(accepted), copyState(unchanged)}
	recovered, _ := NewState(testRetention).Recover(2000, testList(3), copies)
	g.Expect(recovered).To(BeFalse())
	recovered, _ = NewState(testRetention).Recover(2000, *accepted.Meta().Pending, copies)
	g.Expect(recovered).To(BeFalse(), "one of the two sources has not accepted the new list")
}

// TestMemberListNeedsMajorityOfOldMembersInOneEpoch guards against taking a member list as
// committed that a minority accepted, or a majority in different epochs.
func TestMemberListNeedsMajorityOfOldMembersInOneEpoch(t *testing.T) {
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
	list, _ := CommittedList(metas)
	g.Expect(list.Members).To(Equal(testList(3).Members))
	accept("1", 2000)
	list, _ = CommittedList(metas)
	g.Expect(list.Members).To(Equal(testList(3).Members), "acceptances of two ballots do not form a majority")
	accept("0", 2000)
	list, _ = CommittedList(metas)
	g.Expect(list.Members).To(Equal([]string{"0", "1", "3"}))
	_, found := CommittedList(nil)
	g.Expect(found).To(BeFalse())
}

// membershipModel models a group of three replicas. Operators replace members in
// concurrent ballots, two attempts claim the same key, and a replica loses its
// disk and recovers.
type membershipModel struct {
	*rapid.T
	replicas map[string]*State
	// attempts holds the replies to each attempt by view fingerprint.
	attempts    [2]map[uint64]*Attempt
	mayDispatch [2]bool
	lostDisks   int
}

var modelInstances = []string{"0", "1", "2", "3", "4"}

func newMembershipModel(t *rapid.T) *membershipModel {
	m := &membershipModel{T: t, replicas: map[string]*State{}}
	for i, name := range modelInstances {
		m.replicas[name] = NewState(testRetention)
		if i < 3 {
			m.replicas[name] = activeState(3)
		}
	}
	m.attempts = [2]map[uint64]*Attempt{{}, {}}
	return m
}

// metas returns the metas of all replicas except one that is unreachable.
func (m *membershipModel) metas() map[string]Meta {
	metas := map[string]Meta{}
	for name, s := range m.replicas {
		metas[name] = s.Meta()
	}
	delete(metas, rapid.SampledFrom(modelInstances).Draw(m.T, "unreachable"))
	return metas
}

// claim sends a claim to some members of a list that a router may have.
func (m *membershipModel) claim(t *rapid.T) {
	source := m.replicas[rapid.SampledFrom(modelInstances).Draw(t, "source of the router's list")].Meta()
	list := source.List()
	if source.Phase != PhaseActive {
		list = testList(3)
	}
	view, id := ViewFingerprint(0, list.Members), rapid.IntRange(0, 1).Draw(t, "attempt")
	attempt := m.attempts[id][view]
	if attempt == nil {
		attempt = NewAttempt(attemptID(id), len(list.Members))
		m.attempts[id][view] = attempt
	}
	for i, name := range list.Members {
		if !rapid.Bool().Draw(t, "claim sent") {
			continue
		}
		reply, _ := m.replicas[name].Claim(testNow, ClaimRequest{View: view, Attempt: attemptID(id), Epoch: attempt.Epoch()})
		attempt.Add(i, reply)
	}
	m.mayDispatch[id] = m.mayDispatch[id] || attempt.MayDispatch()
}

// changeMembers runs an operator's ballot, which may be interrupted after any step.
func (m *membershipModel) changeMembers(t *rapid.T) {
	metas := m.metas()
	list, found := CommittedList(metas)
	old := rapid.SampledFrom(modelInstances[1:3]).Draw(t, "replaced member")
	replacement := rapid.SampledFrom(modelInstances[3:]).Draw(t, "replacement")
	if !found || !list.Has(old) || list.Has(replacement) || m.replicas[replacement].Meta().Phase != PhaseEmpty {
		t.Skip("this replacement is not possible")
	}
	next := list.Replace(old, replacement, "")
	epoch := ChangeEpoch(highestMetaEpoch(metas), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed of the ballot epoch"), 1)))
	promised := 0
	for _, name := range rapid.Permutation(list.Members).Draw(t, "order of promises") {
		accepted, _ := m.replicas[name].PromiseChange(epoch, list.ListEpoch)
		pending := m.replicas[name].Meta().Pending
		if accepted && pending != nil && ViewFingerprint(0, pending.Members) != ViewFingerprint(0, next.Members) {
			return
		}
		if accepted {
			promised++
		}
		if promised == Majority(len(list.Members)) {
			break
		}
	}
	if promised < Majority(len(list.Members)) {
		return
	}
	for _, name := range rapid.Permutation(list.Members).Draw(t, "order of acceptances") {
		if rapid.IntRange(0, 3).Draw(t, "interrupted if 0") == 0 {
			return
		}
		m.replicas[name].AcceptChange(epoch, list.ListEpoch, next)
	}
}

// recoverOrInstall installs the committed member list at an active replica, or
// recovers an empty replica into it.
func (m *membershipModel) recoverOrInstall(t *rapid.T) {
	name := rapid.SampledFrom(modelInstances).Draw(t, "joining replica")
	s, metas := m.replicas[name], m.metas()
	own := s.Meta()
	if own.Phase == PhaseActive {
		metas[name] = own
		if list, _ := CommittedList(metas); own.List().Has(name) {
			s.InstallList(list)
		}
		return
	}
	list, found := CommittedList(metas)
	if !found || !list.Has(name) {
		t.Skip("no committed list has this replica")
	}
	epoch := NextEpoch(highestMetaEpoch(metas)+rapid.Uint64Range(0, 9).Draw(t, "epoch offset")*MaxMembers, list.indexOf(name))
	var copies []ReplicaCopy
	for _, source := range rapid.Permutation(list.Members).Draw(t, "order of sources") {
		if !metas[source].CanBeSourceFor(list) || len(copies) == Majority(len(list.Members)) {
			continue
		}
		if raised, _ := m.replicas[source].RaiseEpoch(epoch); raised && source != name {
			copies = append(copies, copyState(m.replicas[source]))
		}
		if rapid.Bool().Draw(t, "claim between copies") {
			m.claim(t)
		}
	}
	s.Recover(epoch, list, copies)
}

// loseDisk erases the state of an active replica, at most once in a run.
func (m *membershipModel) loseDisk(t *rapid.T) {
	name := rapid.SampledFrom(modelInstances).Draw(t, "replica that loses its disk")
	if m.lostDisks == 1 || m.replicas[name].Meta().Phase != PhaseActive {
		t.Skip("a disk was lost before or the replica is not active")
	}
	m.lostDisks++
	m.replicas[name] = NewState(testRetention)
}

func (m *membershipModel) checkAtMostOneMayDispatch(t *rapid.T) {
	if m.mayDispatch[0] && m.mayDispatch[1] {
		t.Fatal("both attempts may dispatch")
	}
}

func highestMetaEpoch(metas map[string]Meta) uint64 {
	var epoch uint64
	for _, meta := range metas {
		epoch = max(epoch, meta.Epoch)
	}
	return epoch
}

// TestAtMostOneAttemptRunsWhileMembersChange guards against two attempts that are
// both granted one key by majorities of different member lists, or across the loss
// and recovery of a replica during a membership change.
func TestAtMostOneAttemptRunsWhileMembersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMembershipModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "changeMembers": m.changeMembers, "recoverOrInstall": m.recoverOrInstall,
			"loseDisk": m.loseDisk, "": m.checkAtMostOneMayDispatch,
		})
	})
}
