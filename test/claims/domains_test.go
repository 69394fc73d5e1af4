package claims

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// startThreeDomains starts a ledger replica in each of three failure domains.
func startThreeDomains(t *testing.T) *testcluster.Cluster {
	t.Helper()
	g := NewWithT(t)
	roles := []settings.Role{settings.RoleLedger}
	cluster, err := testcluster.New(t.TempDir(), testcluster.Spec{Daemons: []testcluster.DaemonSpec{
		{Instance: "a-1", FailureDomain: "pwani-a", Roles: roles},
		{Instance: "b-1", FailureDomain: "pwani-b", Roles: roles},
		{Instance: "c-1", FailureDomain: "pwani-c", Roles: roles},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	g.Expect(cluster.Start()).To(Succeed())
	g.Expect(waitAllActive(cluster)).To(Succeed())
	return cluster
}

// mintKey returns a newly minted key of the claimer's domain.
func mintKey(g Gomega, c ledger.Claimer) ledger.Key {
	keys, err := c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	return customerKey(keys[0])
}

// A failure domain without a connection to the others must grant and complete the
// keys that it has minted. Other keys need a majority of the fleet and must be
// unavailable until the connection returns.
func TestCutOffDomainGrantsOnlyItsOwnKeys(t *testing.T) {
	g := NewWithT(t)
	cluster := startThreeDomains(t)
	inA := newClaimer(cluster, "pwani-a")
	foreign := mintKey(g, newClaimer(cluster, "pwani-b"))
	g.Expect(cluster.Daemons["b-1"].Suspend()).To(Succeed())
	g.Expect(cluster.Daemons["c-1"].Suspend()).To(Succeed())

	own := mintKey(g, inA)
	attempt, decision := claim(inA, own)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	g.Expect(inA.Complete(context.Background(), own, attempt, ledger.Answer{Status: 200})).To(Succeed())
	_, decision = claim(inA, own)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictCompleted))
	for _, key := range []ledger.Key{foreign, customerKey("own choice")} {
		_, decision = claim(inA, key)
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	}

	g.Expect(cluster.Daemons["b-1"].Resume()).To(Succeed())
	g.Expect(cluster.Daemons["c-1"].Resume()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return claimGranted(inA, foreign) })).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return claimGranted(inA, customerKey("own choice")) })).To(Succeed())
}

// The only replica of a domain's group loses its disk. It forms a new group, which
// must refuse keys minted by the old one, because their claims are lost.
func TestSingleReplicaThatLostItsDiskRefusesItsOldKeys(t *testing.T) {
	g := NewWithT(t)
	cluster := startThreeDomains(t)
	inA := newClaimer(cluster, "pwani-a")
	old := mintKey(g, inA)
	_, decision := claim(inA, old)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	lost := cluster.Daemons["a-1"]
	g.Expect(lost.Kill()).To(Succeed())
	g.Expect(cluster.RemoveDataDir("a-1")).To(Succeed())
	g.Expect(lost.Start()).To(Succeed())
	g.Expect(waitActive(lost)).To(Succeed())
	_, decision = claim(inA, old)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictExpired))
	_, decision = claim(inA, mintKey(g, inA))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
}

// claimGranted claims the key and returns an error unless it is granted.
func claimGranted(c ledger.Claimer, key ledger.Key) error {
	if _, decision := claim(c, key); decision.Verdict != ledger.VerdictGranted {
		return verdictError(decision.Verdict)
	}
	return nil
}
