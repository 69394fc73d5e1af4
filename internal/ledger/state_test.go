package ledger

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const testRetention = time.Hour

var testNow = time.Unix(1_800_000_000, 0)

func attemptID(n int) AttemptID { return AttemptID{15: byte(n + 1)} }

// testView is the view of a group of three.
var testView = ViewFingerprint(0, testList(3).Members)

// testList returns a list of the given number of members, named "0", "1" and so
// on.
func testList(members int) MemberList {
	list := MemberList{}
	for i := range members {
		list.Members = append(list.Members, strconv.Itoa(i))
		list.Addresses = append(list.Addresses, "")
	}
	return list
}

// activeState returns an active replica of a new group.
func activeState(members int) *State {
	s := NewState(testRetention)
	s.PrepareFormation(Formation{Generation: 1, List: testList(members)})
	s.CommitFormation(1)
	return s
}

// TestGrantsOfDifferentEpochsDoNotFormMajority guards against dispatch after
// grants of two epochs: the member with the lower epoch may have lost its grant
// before the other member granted.
func TestGrantsOfDifferentEpochsDoNotFormMajority(t *testing.T) {
	g := NewWithT(t)
	attempt := NewAttempt(attemptID(0), 3)
	attempt.Add(0, Reply{Status: StatusGranted, Epoch: 64})
	attempt.Add(1, Reply{Status: StatusGranted, Epoch: 130})
	g.Expect(attempt.MayDispatch()).To(BeFalse())
	g.Expect(attempt.Outdated(0)).To(BeTrue())
	g.Expect(attempt.Outdated(1)).To(BeFalse())
	attempt.Add(0, Reply{Status: StatusGranted, Epoch: 130})
	g.Expect(attempt.MayDispatch()).To(BeTrue())
	attempt.Release()
	attempt.Add(2, Reply{Status: StatusGranted, Epoch: 130})
	g.Expect(attempt.MayDispatch()).To(BeFalse())
}

// TestAcknowledgementsOfDifferentEpochsDoNotFormMajority guards against a
// release or completion that is reported durable although one of the members of
// its majority may have lost its disk.
func TestAcknowledgementsOfDifferentEpochsDoNotFormMajority(t *testing.T) {
	g := NewWithT(t)
	acks := NewAcks(3)
	acks.Add(0, 64)
	acks.Add(1, 130)
	g.Expect(acks.Durable()).To(BeFalse(), "member 0 may have lost its disk since its acknowledgement")
	g.Expect(acks.Outdated()).To(Equal([]int{0}))
	acks.Add(0, 130)
	g.Expect(acks.Durable()).To(BeTrue())
	g.Expect(acks.Outdated()).To(BeEmpty())
}

// TestReleaseAndCompleteReturnAdoptedEpoch guards against replies with an
// outdated epoch after a release or a completion has raised it.
func TestReleaseAndCompleteReturnAdoptedEpoch(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	reply, _ := s.Release(testNow, ClaimRequest{View: testView, Attempt: attemptID(0), Epoch: 130})
	g.Expect(reply.Epoch).To(Equal(uint64(130)))
	reply, _ = s.Complete(testNow, ClaimRequest{View: testView, Attempt: attemptID(1), Epoch: 200}, Answer{})
	g.Expect(reply.Epoch).To(Equal(uint64(200)))
}

// TestReleasedKeyIsFreeAndDelayedClaimIsRefused guards against a grant to a
// released attempt whose claim arrives after its release.
func TestReleasedKeyIsFreeAndDelayedClaimIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	release, _ := s.Release(testNow, ClaimRequest{View: testView, Attempt: attemptID(0)})
	g.Expect(release.Status).To(Equal(StatusReleased))
	late, _ := s.Claim(testNow, ClaimRequest{View: testView, Attempt: attemptID(0)})
	g.Expect(late.Status).To(Equal(StatusReleased))
	next, _ := s.Claim(testNow, ClaimRequest{View: testView, Attempt: attemptID(1)})
	g.Expect(next.Status).To(Equal(StatusGranted))
}

// TestHeldKeyNeverExpires guards against a second run after the retention of a
// held key, whose holder may have run.
func TestHeldKeyNeverExpires(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	s.Claim(testNow, ClaimRequest{View: testView, Key: KeyHash{1}, Attempt: attemptID(0)})
	s.Claim(testNow, ClaimRequest{View: testView, Key: KeyHash{2}, Attempt: attemptID(0)})
	s.Complete(testNow, ClaimRequest{View: testView, Key: KeyHash{2}, Attempt: attemptID(0)}, Answer{Status: 200})
	g.Expect(s.Expire(testNow.Add(testRetention))).To(BeEmpty())
	g.Expect(s.Expire(testNow.Add(1000 * testRetention))).To(HaveLen(1))
	reply, _ := s.Claim(testNow, ClaimRequest{View: testView, Key: KeyHash{1}, Attempt: attemptID(1)})
	g.Expect(reply.Status).To(Equal(StatusHeld))
}

// TestMintedKeyIsRefusedBeforeItsRecordExpires guards against a second run of a
// minted key whose record is removed while its claims are still accepted.
func TestMintedKeyIsRefusedBeforeItsRecordExpires(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	claim := ClaimRequest{View: testView, Attempt: attemptID(0), Generation: 1, MintedAt: testNow.Unix()}
	reply, _ := s.Claim(testNow, claim)
	g.Expect(reply.Status).To(Equal(StatusGranted))
	late := testNow.Add(testRetention + time.Second)
	g.Expect(s.Expire(late)).To(BeEmpty())
	claim.Attempt = attemptID(1)
	reply, _ = s.Claim(late, claim)
	g.Expect(reply.Status).To(Equal(StatusExpired))
	g.Expect(s.Expire(testNow.Add(2*testRetention + time.Second))).To(HaveLen(1))
	claim.Generation, claim.MintedAt = 2, late.Unix()
	reply, _ = s.Claim(late, claim)
	g.Expect(reply.Status).To(Equal(StatusExpired), "the key is of another generation")
}

// TestQuarantinedKeyIsHeldForClaimsAndReads guards against grants of customers'
// own keys after a restart, while grants of the lost majority may be missing.
func TestQuarantinedKeyIsHeldForClaimsAndReads(t *testing.T) {
	g := NewWithT(t)
	s := activeState(1)
	s.Restart(Meta{Members: testList(3).Members, Generation: 2, Epoch: 1000, QuarantineUntil: testNow.Unix() + 1}, nil)
	own := ClaimRequest{View: testView, Attempt: attemptID(0)}
	reply, _ := s.Claim(testNow, own)
	g.Expect(reply.Status).To(Equal(StatusHeld))
	g.Expect(s.Read(testNow, own).Status).To(Equal(StatusHeld))
	minted := ClaimRequest{View: testView, Attempt: attemptID(0), Key: KeyHash{1}, Generation: 2, MintedAt: testNow.Unix()}
	g.Expect(s.Read(testNow, minted).Status).To(Equal(StatusFree))
	reply, _ = s.Claim(testNow, minted)
	g.Expect(reply.Status).To(Equal(StatusGranted))
	reply, _ = s.Claim(testNow.Add(time.Second), own)
	g.Expect(reply.Status).To(Equal(StatusGranted))
}

// TestRestartAppliesToReplicaWithHigherEpoch guards against a restart that is
// refused, or lowers the epoch, because a member that recovers has raised it.
func TestRestartAppliesToReplicaWithHigherEpoch(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	s.RaiseEpoch(2000)
	ok, _ := s.Restart(Meta{Members: testList(3).Members, Generation: 2, Epoch: 1000}, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(s.Meta().Generation).To(Equal(uint64(2)))
	g.Expect(s.Meta().Epoch).To(Equal(uint64(2000)))
}

// TestRestartKeepsHeldKeysHeld guards against a grant to a remaining holder after
// a restart, although another attempt may have run.
func TestRestartKeepsHeldKeysHeld(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	claim := ClaimRequest{View: testView, Attempt: attemptID(0)}
	s.Claim(testNow, claim)
	s.Restart(Meta{Members: testList(3).Members, Generation: 2, Epoch: 1000}, copyState(s).Records)
	reply, _ := s.Claim(testNow, claim)
	g.Expect(reply.Status).To(Equal(StatusHeld), "a competing attempt may have had the lost majority")
}

// TestLargeAnswerIsStoredAsDigest guards against records that grow with the body
// of an answer, and against a second request that reuses the key of such an answer.
func TestLargeAnswerIsStoredAsDigest(t *testing.T) {
	g := NewWithT(t)
	s := activeState(1)
	body := make([]byte, MaxAnswerBytes+1)
	reply, _ := s.Complete(testNow, ClaimRequest{View: ViewFingerprint(0, testList(1).Members), Attempt: attemptID(0)}, Answer{Status: 200, Body: body})
	g.Expect(reply.Answer.Body).To(BeEmpty())
	g.Expect(reply.Answer.BodyDigest).NotTo(BeNil())
	again, _ := s.Claim(testNow, ClaimRequest{View: ViewFingerprint(0, testList(1).Members), Attempt: attemptID(1), Digest: Digest{1}})
	g.Expect(again.Status).To(Equal(StatusReused))
}

// TestRecoveryRequiresMajorityOfOtherMembers guards against a recovery that misses
// grants because it has too few copies or a source still grants in a lower epoch.
func TestRecoveryRequiresMajorityOfOtherMembers(t *testing.T) {
	g := NewWithT(t)
	source := activeState(3)
	source.RaiseEpoch(200)
	s := NewState(testRetention)
	ok, _ := s.Recover(200, testList(3), []ReplicaCopy{copyState(source)})
	g.Expect(ok).To(BeFalse())
	ok, _ = s.Recover(200, testList(3), []ReplicaCopy{copyState(source), copyState(activeState(3))})
	g.Expect(ok).To(BeFalse(), "one of the two sources has not raised its epoch")
	ok, _ = s.Recover(200, testList(3), []ReplicaCopy{copyState(source), copyState(source)})
	g.Expect(ok).To(BeTrue())
}

// TestMintedKeyParsesAndAlteredKeyDoesNot guards against a minted key that does
// not parse to its parts, and a customer's own key that parses as a minted one.
func TestMintedKeyParsesAndAlteredKeyDoesNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domain := rapid.StringMatching(`[a-z][a-z.-]{0,10}`).Draw(t, "domain")
		key := NewMintedKey(domain, rapid.Uint64().Draw(t, "generation"), testNow)
		parsed, ok := ParseMintedKey(key.String())
		if !ok || parsed != key {
			t.Fatalf("key %s parsed as %+v", key, parsed)
		}
		altered := "x" + key.String()
		if _, ok := ParseMintedKey(altered); ok {
			t.Fatalf("altered key %s parsed as a minted key", altered)
		}
	})
}
