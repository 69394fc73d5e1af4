package ledger

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const testRetention = time.Hour

var testNow = time.Unix(1_800_000_000, 0)

func attemptID(n int) AttemptID { return AttemptID{15: byte(n + 1)} }

func activeState(members int) *State {
	s := NewState(testRetention)
	s.PrepareFormation(1, make([]string, members))
	s.CommitFormation(1)
	return s
}

func TestGrantsOfTwoEpochsDoNotCount(t *testing.T) {
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

func TestReleasedKeyIsFreeAndItsLateClaimRefused(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	release, _ := s.Release(testNow, KeyHash{}, attemptID(0), 0)
	g.Expect(release.Status).To(Equal(StatusReleased))
	late, _ := s.Claim(testNow, ClaimRequest{Attempt: attemptID(0)})
	g.Expect(late.Status).To(Equal(StatusReleased))
	next, _ := s.Claim(testNow, ClaimRequest{Attempt: attemptID(1)})
	g.Expect(next.Status).To(Equal(StatusGranted))
}

func TestHeldKeyNeverExpires(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	s.Claim(testNow, ClaimRequest{Key: KeyHash{1}, Attempt: attemptID(0)})
	s.Claim(testNow, ClaimRequest{Key: KeyHash{2}, Attempt: attemptID(0)})
	s.Complete(testNow, ClaimRequest{Key: KeyHash{2}, Attempt: attemptID(0)}, Answer{Status: 200})
	g.Expect(s.Expire(testNow.Add(testRetention))).To(BeEmpty())
	g.Expect(s.Expire(testNow.Add(1000 * testRetention))).To(HaveLen(1))
	reply, _ := s.Claim(testNow, ClaimRequest{Key: KeyHash{1}, Attempt: attemptID(1)})
	g.Expect(reply.Status).To(Equal(StatusHeld))
}

func TestMintedKeyIsRefusedBeforeItsRecordGoes(t *testing.T) {
	g := NewWithT(t)
	s := activeState(3)
	claim := ClaimRequest{Attempt: attemptID(0), Generation: 1, MintedAt: testNow.Unix()}
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
	g.Expect(reply.Status).To(Equal(StatusExpired), "another generation")
}

func TestLongAnswerIsKeptAsDigest(t *testing.T) {
	g := NewWithT(t)
	s := activeState(1)
	body := make([]byte, MaxAnswerBytes+1)
	reply, _ := s.Complete(testNow, ClaimRequest{Attempt: attemptID(0)}, Answer{Status: 200, Body: body})
	g.Expect(reply.Answer.Body).To(BeEmpty())
	g.Expect(reply.Answer.BodyDigest).NotTo(BeNil())
	again, _ := s.Claim(testNow, ClaimRequest{Attempt: attemptID(1), Digest: Digest{1}})
	g.Expect(again.Status).To(Equal(StatusReused))
}

func TestRecoveryNeedsAMajorityOfOthers(t *testing.T) {
	g := NewWithT(t)
	source := activeState(3)
	source.RaiseEpoch(200)
	s := NewState(testRetention)
	ok, _ := s.Recover(200, make([]string, 3), []Copy{copyOf(source)})
	g.Expect(ok).To(BeFalse())
	ok, _ = s.Recover(200, make([]string, 3), []Copy{copyOf(source), copyOf(activeState(3))})
	g.Expect(ok).To(BeFalse(), "one source has not raised its epoch")
	ok, _ = s.Recover(200, make([]string, 3), []Copy{copyOf(source), copyOf(source)})
	g.Expect(ok).To(BeTrue())
}

func TestMintedKeysParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domain := rapid.StringMatching(`[a-z][a-z.-]{0,10}`).Draw(t, "domain")
		key := NewMintedKey(domain, rapid.Uint64().Draw(t, "generation"), testNow)
		parsed, ok := ParseMintedKey(key.String())
		if !ok || parsed != key {
			t.Fatalf("%s gives %+v", key, parsed)
		}
		foreign := "x" + key.String()
		if _, ok := ParseMintedKey(foreign); ok {
			t.Fatalf("%s passes for a minted key", foreign)
		}
	})
}
