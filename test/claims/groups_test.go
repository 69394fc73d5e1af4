package claims

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/replica"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// settingsFile returns the path of an instance's settings.
func settingsFile(cluster *testcluster.Cluster, name string) string {
	return filepath.Join(cluster.Dir, name+".json")
}

// memberStatuses runs ledger-status and returns the members' status by instance.
func memberStatuses(t *testing.T, cluster *testcluster.Cluster) map[string]replica.MemberStatus {
	t.Helper()
	g := NewWithT(t)
	out, code := testcluster.RunCommand("ledger-status", "-settings", settingsFile(cluster, "ledger-1"), "-o", "json")
	g.Expect(code).To(Equal(api.ExitOK), out)
	var list []replica.MemberStatus
	g.Expect(json.Unmarshal([]byte(out), &list)).To(Succeed())
	byName := make(map[string]replica.MemberStatus)
	for _, m := range list {
		byName[m.Instance] = m
	}
	return byName
}

// Two of a new group's three members run. The group must not form until the third
// one has replied as well.
func TestGroupFormsOnlyWhenAllMembersRun(t *testing.T) {
	g := NewWithT(t)
	cluster := newLedgerCluster(t)
	g.Expect(cluster.Daemons["ledger-1"].Start()).To(Succeed())
	g.Expect(cluster.Daemons["ledger-2"].Start()).To(Succeed())
	g.Expect(cluster.Daemons["ledger-1"].WaitReady()).To(Succeed())
	g.Expect(cluster.Daemons["ledger-2"].WaitReady()).To(Succeed())
	_, decision := claim(newClaimer(cluster, "pwani-a"), customerKey("early"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	g.Expect(memberStatuses(t, cluster)["ledger-1"].Phase).NotTo(Equal("active"))
	g.Expect(cluster.Daemons["ledger-3"].Start()).To(Succeed())
	g.Expect(waitAllActive(cluster)).To(Succeed())
	g.Expect(eventuallyGranted(newClaimer(cluster, "pwani-a"))).To(Succeed())
}

// All replicas lose their disks, one at a time. Each must copy the records from the
// others and rejoin with a higher epoch in the same generation, without losing a claim.
func TestReplicaWithLostDiskRecoversWithHigherEpoch(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	g.Expect(waitAllActive(cluster)).To(Succeed())
	c := newClaimer(cluster, "pwani-a")
	_, decision := claim(c, customerKey("kept"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	before := memberStatuses(t, cluster)["ledger-2"]
	for _, name := range []string{"ledger-2", "ledger-3", "ledger-1"} {
		g.Expect(cluster.Daemons[name].Kill()).To(Succeed())
		g.Expect(cluster.RemoveDataDir(name)).To(Succeed())
		g.Expect(cluster.Daemons[name].Start()).To(Succeed())
		g.Expect(waitActive(cluster.Daemons[name])).To(Succeed())
	}
	after := memberStatuses(t, cluster)["ledger-2"]
	g.Expect(after.Epoch).To(BeNumerically(">", before.Epoch))
	g.Expect(after.Generation).To(Equal(before.Generation))
	g.Expect(claimHeldKey(c, customerKey("kept")).Verdict).To(Equal(ledger.VerdictHeld), "the claim survives the loss of each disk")
}

// Two of three replicas lose their disks. The group must not become active without
// ledger-restart. After it, completed keys keep their answers, all other keys of
// customers count as held during the quarantine, and keys minted before have expired.
// ledger-restart is refused while the group has a majority.
func TestGroupThatLostMajorityStaysInactiveUntilRestart(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	g.Expect(waitAllActive(cluster)).To(Succeed())
	c := newClaimer(cluster, "pwani-a")
	attempt, decision := claim(c, customerKey("finished"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	answer := ledger.Answer{Status: 200, Body: []byte("paid")}
	g.Expect(c.Complete(context.Background(), customerKey("finished"), attempt, answer)).To(Succeed())
	_, decision = claim(c, customerKey("running"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	keys, err := c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(testcluster.Eventually(func() error { return checkRecordCount(t, cluster, 2) })).To(Succeed())

	out, code := testcluster.RunCommand("ledger-restart", "-settings", settingsFile(cluster, "ledger-1"))
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("ledger_has_majority"))

	lost := []string{"ledger-1", "ledger-2"}
	for _, name := range lost {
		g.Expect(cluster.Daemons[name].Kill()).To(Succeed())
		g.Expect(cluster.RemoveDataDir(name)).To(Succeed())
	}
	for _, name := range lost {
		g.Expect(cluster.Daemons[name].Start()).To(Succeed())
		g.Expect(cluster.Daemons[name].WaitReady()).To(Succeed())
	}
	_, decision = claim(c, customerKey("new"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable), "the group does not restart without the command")

	for _, group := range []string{"fleet", "domain/pwani-a"} {
		out, code = testcluster.RunCommand("ledger-restart", "-settings", settingsFile(cluster, "ledger-1"), "-group", group, "-quarantine", "1h")
		g.Expect(code).To(Equal(api.ExitOK), out)
	}
	_, decision = claim(c, customerKey("finished"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictCompleted))
	for _, value := range []string{"running", "unknown"} {
		g.Expect(claimHeldKey(c, customerKey(value)).Verdict).To(Equal(ledger.VerdictHeld), value)
	}
	_, decision = claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictExpired))
	keys, err = c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, decision = claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "minted after the restart")
}

// With -force, ledger-restart restarts an active group as well, for the case that all
// members lost their disks and formed again without records. Customers' keys must
// count as held during the quarantine, and newly minted keys are granted.
func TestForcedRestartQuarantinesCustomersKeys(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	g.Expect(waitAllActive(cluster)).To(Succeed())
	out, code := testcluster.RunCommand("ledger-restart", "-settings", settingsFile(cluster, "ledger-1"), "-force", "-quarantine", "1h")
	g.Expect(code).To(Equal(api.ExitOK), out)
	c := newClaimer(cluster, "pwani-a")
	g.Expect(claimHeldKey(c, customerKey("from before")).Verdict).To(Equal(ledger.VerdictHeld))
	keys, err := c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, decision := claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
}

// checkRecordCount returns an error unless every member has this many records.
func checkRecordCount(t *testing.T, cluster *testcluster.Cluster, records uint64) error {
	for name, m := range memberStatuses(t, cluster) {
		if m.Records != records {
			return api.Errorf(api.CodeInternal, "member %s has %d records", name, m.Records)
		}
	}
	return nil
}

// A bit of a replica's log is flipped while it is stopped. The daemon must refuse to
// start and name the damaged file.
func TestReplicaWithDamagedLogRefusesToStart(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	g.Expect(waitAllActive(cluster)).To(Succeed())
	c := newClaimer(cluster, "pwani-a")
	for _, value := range []string{"one", "two", "three"} {
		_, decision := claim(c, customerKey(value))
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	}
	d := cluster.Daemons["ledger-1"]
	g.Expect(d.Kill()).To(Succeed())
	path := filepath.Join(d.Settings.DataDir, "ledger", "fleet", "0000000000000001.log")
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	raw[20] ^= 1
	g.Expect(os.WriteFile(path, raw, 0o644)).To(Succeed())
	out, code := testcluster.RunCommand("serve", "-settings", settingsFile(cluster, "ledger-1"))
	g.Expect(code).To(Equal(api.ExitDataDamaged), out)
	g.Expect(out).To(ContainSubstring(path))
}

// A replica is suspended while a key is claimed and released by the two others. After
// one of these is lost, the resumed replica must grant the key as well, so the release
// must have reached it.
func TestReleaseReachesDelayedReplica(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	g.Expect(waitAllActive(cluster)).To(Succeed())
	c := newClaimer(cluster, "pwani-a")
	suspended := cluster.Daemons["ledger-3"]
	g.Expect(suspended.Suspend()).To(Succeed())
	key := customerKey("released")
	attempt, decision := claim(c, key)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	g.Expect(c.Release(ctx, key, attempt)).To(Succeed())
	g.Expect(suspended.Resume()).To(Succeed())
	g.Expect(cluster.Daemons["ledger-1"].Kill()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return claimGranted(c, key) })).To(Succeed(), "the resumed replica and the remaining one grant the key")
}
