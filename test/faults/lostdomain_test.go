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

// domainLossDelay is how long charges run before the failure domain is lost.
const domainLossDelay = time.Second

// lostDomainSpec has one ledger shard with a replica in each of three failure
// domains, and a replacement replica in a fourth one that starts later.
func lostDomainSpec() testcluster.Spec {
	spec := campaignSpec()
	spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{Instance: "ledger-6", FailureDomain: "pwani-d", Roles: ledgerRoles, Late: true})
	spec.LedgerShards = [][]string{{"ledger-1", "ledger-4", "ledger-5"}}
	return spec
}

// TestLostDomainReplacementKeepsClaims guards against lost claims and duplicate
// executions after the permanent loss of a failure domain. While charges run, its
// router and ledger replica lose their disks, a replica in another failure domain
// replaces the lost one, and a second replica of the shard is lost right after.
func TestLostDomainReplacementKeepsClaims(t *testing.T) {
	g := NewWithT(t)
	cluster, err := testcluster.New(t.TempDir(), lostDomainSpec())
	g.Expect(err).NotTo(HaveOccurred())
	replacement := cluster.Daemons["ledger-6"]
	replacement.Settings.LedgerShards = [][]string{{"ledger-1", "ledger-5", "ledger-6"}}
	g.Expect(cluster.WriteSettings("ledger-6")).To(Succeed())
	c := &campaign{deployment: start(t, cluster, "ledger-6"), random: rand.New(rand.NewPCG(*seed, 1)), routers: []string{"router-a", "router-c"}}
	c.waitClaimsGranted(c.routers)
	charges := c.newCharges(*chargeCount)
	replaced := make(chan time.Duration)
	go func() { replaced <- c.replaceLostDomain(t, replacement) }()
	c.sendCharges(charges)
	t.Logf("replica replaced %v after the loss", <-replaced)
	c.resolveUnknown()
	report := checkHistories(c.histories, c.executions())
	t.Logf("seed %d: %s", *seed, report)
	t.Logf("error codes: %v", c.countErrorCodes())
	c.Expect(report.violations).To(BeEmpty())
	c.Expect(report.Charges).To(Equal(2 * *chargeCount))
	c.Expect(report.Ran).To(BeNumerically(">", report.Charges/2), "most charges run despite the loss")
	afterLoss := charge{id: "after", keyed: true, method: "POST"}
	c.Expect(testcluster.Eventually(func() error { return afterLoss.send(c.routerAddress(0)).checkResolved() })).To(Succeed())
}

// replaceLostDomain destroys the router and the replica of failure domain B and
// replaces the replica. It returns how long the group lacked a replica.
func (c *campaign) replaceLostDomain(t *testing.T, replacement *testcluster.Daemon) time.Duration {
	time.Sleep(domainLossDelay)
	lost := time.Now()
	for _, name := range []string{"router-b", "ledger-4"} {
		c.Expect(c.Daemons[name].Kill()).To(Succeed())
		c.Expect(c.RemoveDataDir(name)).To(Succeed())
	}
	c.Expect(replacement.Start()).To(Succeed())
	c.Expect(replacement.WaitReady()).To(Succeed())
	out, code := testcluster.RunCommand("ledger-replace", "-settings", filepath.Join(c.Dir, replacement.Name+".json"),
		"-group", "shard/0", "-replace", "ledger-4", "-by", replacement.Name)
	c.Expect(code).To(Equal(api.ExitOK), out)
	elapsed := time.Since(lost)
	c.Expect(c.Daemons["ledger-1"].Kill()).To(Succeed())
	c.Expect(c.RemoveDataDir("ledger-1")).To(Succeed())
	t.Log(out)
	return elapsed
}
