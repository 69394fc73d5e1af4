// Package claims tests durable claims of request keys against ledger replicas
// that run as processes of their own.
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

const (
	claimTimeout = 10 * time.Second
	// heldTimeout bounds a claim that is expected not to be granted.
	heldTimeout = 500 * time.Millisecond
)

// startLedgerCluster starts three ledger replicas in one failure domain.
func startLedgerCluster(t *testing.T) *testcluster.Cluster {
	t.Helper()
	cluster := newLedgerCluster(t)
	NewWithT(t).Expect(cluster.Start()).To(Succeed())
	return cluster
}

// newLedgerCluster prepares three ledger replicas in one failure domain without
// starting them.
func newLedgerCluster(t *testing.T) *testcluster.Cluster {
	t.Helper()
	g := NewWithT(t)
	roles := []settings.Role{settings.RoleLedger}
	cluster, err := testcluster.New(t.TempDir(), testcluster.Spec{Daemons: []testcluster.DaemonSpec{
		{Instance: "ledger-1", FailureDomain: "pwani-a", Roles: roles},
		{Instance: "ledger-2", FailureDomain: "pwani-a", Roles: roles},
		{Instance: "ledger-3", FailureDomain: "pwani-a", Roles: roles},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	return cluster
}

// newClaimer returns a claimer with the settings of a router in the failure domain.
func newClaimer(cluster *testcluster.Cluster, domain string) *quorum.Claimer {
	s := settings.Settings{FailureDomain: domain}
	for _, d := range cluster.WithRole(settings.RoleLedger) {
		s.Peers = append(s.Peers, settings.Peer{
			Instance: d.Name, FailureDomain: d.Settings.FailureDomain,
			Address: d.Settings.Listen.Peers, Roles: d.Settings.Roles,
		})
	}
	return quorum.New(quorum.MembersFrom(&s))
}

func customerKey(value string) ledger.Key { return ledger.Key{Customer: "clerks", Value: value} }

// claim claims a key for a new attempt and returns the attempt and the decision.
func claim(c ledger.Claimer, key ledger.Key) (ledger.AttemptID, ledger.Decision) {
	return claimWithTimeout(c, key, claimTimeout)
}

// claimHeldKey claims a key that another attempt holds and does not release.
func claimHeldKey(c ledger.Claimer, key ledger.Key) ledger.Decision {
	_, decision := claimWithTimeout(c, key, heldTimeout)
	return decision
}

func claimWithTimeout(c ledger.Claimer, key ledger.Key, timeout time.Duration) (ledger.AttemptID, ledger.Decision) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	attempt := ledger.NewAttemptID()
	return attempt, c.Claim(ctx, key, attempt, ledger.Digest{1})
}

func verdictError(v ledger.Verdict) error {
	return errors.Errorf("claim returned verdict %d, want VerdictGranted", v)
}

// eventuallyGranted claims new keys until the group grants one, and returns an
// error if none is granted in time.
func eventuallyGranted(c ledger.Claimer) error {
	return testcluster.Eventually(func() error {
		key := customerKey(string(time.Now().AppendFormat(nil, time.RFC3339Nano)))
		if _, decision := claim(c, key); decision.Verdict != ledger.VerdictGranted {
			return verdictError(decision.Verdict)
		}
		return nil
	})
}

// A released key must be granted again, a held one must not, and a completed one
// must return the stored answer, also to a claim that waits, and refuse another
// request digest.
func TestClaimIsReleasedAndCompletedAcrossProcesses(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	c := newClaimer(cluster, "pwani-a")
	ctx := context.Background()
	g.Expect(eventuallyGranted(c)).To(Succeed())

	key := customerKey("charge-1")
	first, decision := claim(c, key)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	g.Expect(c.Release(ctx, key, first)).To(Succeed())

	second, decision := claim(c, key)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "the key is free after the release")
	g.Expect(claimHeldKey(newClaimer(cluster, "pwani-a"), key).Verdict).To(Equal(ledger.VerdictHeld))

	waiting := make(chan ledger.Decision)
	go func() {
		_, decision := claim(newClaimer(cluster, "pwani-a"), key)
		waiting <- decision
	}()
	g.Expect(c.Complete(ctx, key, second, ledger.Answer{Status: 200, ContentType: "text/plain", Body: []byte("paid")})).To(Succeed())
	resend := <-waiting
	g.Expect(resend.Verdict).To(Equal(ledger.VerdictCompleted))
	g.Expect(string(resend.Answer.Body)).To(Equal("paid"))

	other := c.Claim(ctx, key, ledger.NewAttemptID(), ledger.Digest{2})
	g.Expect(other.Verdict).To(Equal(ledger.VerdictReused))
}

// Any domain may claim a minted key at the group of the domain that minted it. A
// key of an unknown domain is unavailable, and a key of another generation of the
// group has expired.
func TestMintedKeysAreGrantedOnlyByTheirDomain(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	c := newClaimer(cluster, "pwani-a")
	var keys []string
	g.Expect(testcluster.Eventually(func() (err error) {
		keys, err = c.Mint(context.Background(), 2)
		return err
	})).To(Succeed())
	_, decision := claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	_, decision = claim(newClaimer(cluster, "pwani-b"), customerKey(keys[1]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "another domain claims at the group of pwani-a")
	foreign := ledger.NewMintedKey("pwani-c", 1, time.Now()).String()
	_, decision = claim(c, customerKey(foreign))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	old := ledger.NewMintedKey("pwani-a", 1, time.Now()).String()
	_, decision = claim(c, customerKey(old))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictExpired))
	_, err := newClaimer(cluster, "pwani-b").Mint(context.Background(), 1)
	g.Expect(err).To(HaveOccurred())
}
