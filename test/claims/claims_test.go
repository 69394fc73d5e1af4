// Package claims tests claims against ledger replicas in real processes.
package claims

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

func TestMain(m *testing.M) { testcluster.Main(m) }

// Bounds of a claim, and of one that is expected to wait in vain.
const (
	claimTimeout = 10 * time.Second
	heldTimeout  = 500 * time.Millisecond
)

// ledgers starts a failure domain with three ledger replicas.
func ledgers(t *testing.T) *testcluster.Cluster {
	t.Helper()
	bed := newLedgers(t)
	NewWithT(t).Expect(bed.Start()).To(Succeed())
	return bed
}

// newLedgers prepares a failure domain with three ledger replicas.
func newLedgers(t *testing.T) *testcluster.Cluster {
	t.Helper()
	g := NewWithT(t)
	roles := []settings.Role{settings.RoleLedger}
	bed, err := testcluster.New(t.TempDir(), testcluster.Spec{Daemons: []testcluster.DaemonSpec{
		{Instance: "ledger-1", FailureDomain: "pwani-a", Roles: roles},
		{Instance: "ledger-2", FailureDomain: "pwani-a", Roles: roles},
		{Instance: "ledger-3", FailureDomain: "pwani-a", Roles: roles},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(bed.Close)
	return bed
}

// claimer returns a claimer as the router of a failure domain has it.
func claimer(bed *testcluster.Cluster, domain string) *quorum.Claimer {
	s := settings.Settings{FailureDomain: domain}
	for _, d := range bed.WithRole(settings.RoleLedger) {
		s.Peers = append(s.Peers, settings.Peer{
			Instance: d.Name, FailureDomain: d.Settings.FailureDomain,
			Address: d.Settings.Listen.Peers, Roles: d.Settings.Roles,
		})
	}
	return quorum.New(quorum.MembersFrom(&s))
}

func customerKey(value string) ledger.Key { return ledger.Key{Customer: "clerks", Value: value} }

// claim claims a key under a new attempt and returns both.
func claim(c ledger.Claimer, key ledger.Key) (ledger.AttemptID, ledger.Decision) {
	return claimFor(c, key, claimTimeout)
}

// claimHeld claims a key that another attempt holds for good.
func claimHeld(c ledger.Claimer, key ledger.Key) ledger.Decision {
	_, decision := claimFor(c, key, heldTimeout)
	return decision
}

func claimFor(c ledger.Claimer, key ledger.Key, timeout time.Duration) (ledger.AttemptID, ledger.Decision) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	attempt := ledger.NewAttemptID()
	return attempt, c.Claim(ctx, key, attempt, ledger.Digest{1})
}

func verdictError(v ledger.Verdict) error { return errors.Errorf("verdict %d", v) }

// eventuallyGranted claims new keys until the group grants one.
func eventuallyGranted(c ledger.Claimer) error {
	return testcluster.Eventually(func() error {
		key := customerKey(string(time.Now().AppendFormat(nil, time.RFC3339Nano)))
		if _, decision := claim(c, key); decision.Verdict != ledger.VerdictGranted {
			return verdictError(decision.Verdict)
		}
		return nil
	})
}

func TestClaimLifeOverProcesses(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	c := claimer(bed, "pwani-a")
	ctx := context.Background()
	g.Expect(eventuallyGranted(c)).To(Succeed())

	key := customerKey("charge-1")
	first, decision := claim(c, key)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	g.Expect(c.Release(ctx, key, first)).To(Succeed())

	second, decision := claim(c, key)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "the key is free after the release")
	g.Expect(claimHeld(claimer(bed, "pwani-a"), key).Verdict).To(Equal(ledger.VerdictHeld))

	waiting := make(chan ledger.Decision)
	go func() {
		_, decision := claim(claimer(bed, "pwani-a"), key)
		waiting <- decision
	}()
	g.Expect(c.Complete(ctx, key, second, ledger.Answer{Status: 200, ContentType: "text/plain", Body: []byte("paid")})).To(Succeed())
	resend := <-waiting
	g.Expect(resend.Verdict).To(Equal(ledger.VerdictCompleted))
	g.Expect(string(resend.Answer.Body)).To(Equal("paid"))

	other := c.Claim(ctx, key, ledger.NewAttemptID(), ledger.Digest{2})
	g.Expect(other.Verdict).To(Equal(ledger.VerdictReused))
}

func TestMintedKeysBelongToTheirDomain(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	c := claimer(bed, "pwani-a")
	var keys []string
	g.Expect(testcluster.Eventually(func() (err error) {
		keys, err = c.Mint(context.Background(), 2)
		return err
	})).To(Succeed())
	_, decision := claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	_, decision = claim(claimer(bed, "pwani-b"), customerKey(keys[1]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "the other domain reaches the group")
	foreign := ledger.NewMintedKey("pwani-c", 1, time.Now()).String()
	_, decision = claim(c, customerKey(foreign))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	old := ledger.NewMintedKey("pwani-a", 1, time.Now()).String()
	_, decision = claim(c, customerKey(old))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictExpired))
	_, err := claimer(bed, "pwani-b").Mint(context.Background(), 1)
	g.Expect(err).To(HaveOccurred())
}
