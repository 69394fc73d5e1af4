package claims

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// threeDomains starts three failure domains with a ledger replica each.
func threeDomains(t *testing.T) *testcluster.Cluster {
	t.Helper()
	g := NewWithT(t)
	roles := []settings.Role{settings.RoleLedger}
	bed, err := testcluster.New(t.TempDir(), testcluster.Spec{Daemons: []testcluster.DaemonSpec{
		{Instance: "a-1", FailureDomain: "pwani-a", Roles: roles},
		{Instance: "b-1", FailureDomain: "pwani-b", Roles: roles},
		{Instance: "c-1", FailureDomain: "pwani-c", Roles: roles},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(bed.Close)
	g.Expect(bed.Start()).To(Succeed())
	g.Expect(waitAllActive(bed)).To(Succeed())
	return bed
}

func mint(g Gomega, c ledger.Claimer) ledger.Key {
	keys, err := c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	return customerKey(keys[0])
}

func TestCutOffDomainGoesOnWithItsOwnKeys(t *testing.T) {
	g := NewWithT(t)
	bed := threeDomains(t)
	inA := claimer(bed, "pwani-a")
	foreign := mint(g, claimer(bed, "pwani-b"))
	g.Expect(bed.Daemons["b-1"].Freeze()).To(Succeed())
	g.Expect(bed.Daemons["c-1"].Freeze()).To(Succeed())

	own := mint(g, inA)
	attempt, decision := claim(inA, own)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	g.Expect(inA.Complete(context.Background(), own, attempt, ledger.Answer{Status: 200})).To(Succeed())
	_, decision = claim(inA, own)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictCompleted))
	for _, key := range []ledger.Key{foreign, customerKey("own choice")} {
		_, decision = claim(inA, key)
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	}

	g.Expect(bed.Daemons["b-1"].Thaw()).To(Succeed())
	g.Expect(bed.Daemons["c-1"].Thaw()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return grantedOnce(inA, foreign) })).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return grantedOnce(inA, customerKey("own choice")) })).To(Succeed())
}

func TestSingleReplicaThatLostItsDiskRefusesItsOldKeys(t *testing.T) {
	g := NewWithT(t)
	bed := threeDomains(t)
	inA := claimer(bed, "pwani-a")
	old := mint(g, inA)
	_, decision := claim(inA, old)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	lost := bed.Daemons["a-1"]
	g.Expect(lost.Kill()).To(Succeed())
	g.Expect(bed.LoseDisk("a-1")).To(Succeed())
	g.Expect(lost.Start()).To(Succeed())
	g.Expect(waitActive(lost)).To(Succeed())
	_, decision = claim(inA, old)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictExpired))
	_, decision = claim(inA, mint(g, inA))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
}

func grantedOnce(c ledger.Claimer, key ledger.Key) error {
	if _, decision := claim(c, key); decision.Verdict != ledger.VerdictGranted {
		return verdictError(decision.Verdict)
	}
	return nil
}
