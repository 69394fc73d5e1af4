package faults

import (
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// lossAfter is the time of charges before the failure domain is lost.
const lossAfter = time.Second

// lostDomainSpec has one shard with a replica in each of three failure domains,
// and a late replica in a fourth one that takes the place of a lost one.
func lostDomainSpec() testcluster.Spec {
	spec := campaignSpec()
	spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{Instance: "ledger-6", FailureDomain: "pwani-d", Roles: ledgerRoles, Late: true})
	spec.LedgerShards = [][]string{{"ledger-1", "ledger-4", "ledger-5"}}
	return spec
}

// TestLostDomainIsReplaced loses a failure domain's router and ledger replica
// for good while charges run, replaces the replica by one in another failure
// domain, and loses a second replica of the shard right after.
func TestLostDomainIsReplaced(t *testing.T) {
	g := NewWithT(t)
	bed, err := testcluster.New(t.TempDir(), lostDomainSpec())
	g.Expect(err).NotTo(HaveOccurred())
	late := bed.Daemons["ledger-6"]
	late.Settings.LedgerShards = [][]string{{"ledger-1", "ledger-5", "ledger-6"}}
	g.Expect(bed.WriteSettings("ledger-6")).To(Succeed())
	c := &campaign{deployed: start(t, bed, "ledger-6"), random: rand.New(rand.NewPCG(*seed, 1)), routers: []string{"router-a", "router-c"}}
	c.claimsWork(c.routers)
	charges := c.charges(*chargeCount)
	replaced := make(chan time.Duration)
	go func() { replaced <- c.loseDomain(t, late) }()
	c.sendAll(charges)
	t.Logf("replaced %v after the loss", <-replaced)
	c.settle()
	v := judge(c.histories, c.executions())
	t.Logf("seed %d: %s", *seed, v)
	t.Logf("codes of refusals: %v", c.codes())
	c.Expect(v.faults).To(BeEmpty())
	c.Expect(v.Charges).To(Equal(2 * *chargeCount))
	c.Expect(v.Ran).To(BeNumerically(">", v.Charges/2), "most charges run in spite of the loss")
	again := charge{id: "after", keyed: true, method: "POST"}
	c.Expect(testcluster.Eventually(func() error { return again.send(c.router(0)).settled() })).To(Succeed())
}

// loseDomain loses the failure domain B and replaces its replica. It returns the
// time that the group lacked one.
func (c *campaign) loseDomain(t *testing.T, late *testcluster.Daemon) time.Duration {
	time.Sleep(lossAfter)
	lost := time.Now()
	for _, name := range []string{"router-b", "ledger-4"} {
		c.Expect(c.Daemons[name].Kill()).To(Succeed())
		c.Expect(c.LoseDisk(name)).To(Succeed())
	}
	c.Expect(late.Start()).To(Succeed())
	c.Expect(late.WaitReady()).To(Succeed())
	out, code := testcluster.RunCommand("ledger-replace", "-settings", filepath.Join(c.Dir, late.Name+".json"),
		"-group", "shard/0", "-replace", "ledger-4", "-by", late.Name)
	c.Expect(code).To(Equal(api.ExitOK), out)
	elapsed := time.Since(lost)
	c.Expect(c.Daemons["ledger-1"].Kill()).To(Succeed())
	c.Expect(c.LoseDisk("ledger-1")).To(Succeed())
	t.Log(out)
	return elapsed
}
