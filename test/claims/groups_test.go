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

func settingsOf(bed *testcluster.Cluster, name string) string {
	return filepath.Join(bed.Dir, name+".json")
}

func members(t *testing.T, bed *testcluster.Cluster) map[string]replica.MemberStatus {
	t.Helper()
	g := NewWithT(t)
	out, code := testcluster.RunCommand("ledger-status", "-settings", settingsOf(bed, "ledger-1"), "-o", "json")
	g.Expect(code).To(Equal(api.ExitOK), out)
	var list []replica.MemberStatus
	g.Expect(json.Unmarshal([]byte(out), &list)).To(Succeed())
	byName := make(map[string]replica.MemberStatus)
	for _, m := range list {
		byName[m.Instance] = m
	}
	return byName
}

func TestGroupFormsOnlyWhenAllMembersAreThere(t *testing.T) {
	g := NewWithT(t)
	bed := newLedgers(t)
	g.Expect(bed.Daemons["ledger-1"].Start()).To(Succeed())
	g.Expect(bed.Daemons["ledger-2"].Start()).To(Succeed())
	g.Expect(bed.Daemons["ledger-1"].WaitReady()).To(Succeed())
	g.Expect(bed.Daemons["ledger-2"].WaitReady()).To(Succeed())
	_, decision := claim(claimer(bed, "pwani-a"), customerKey("early"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	g.Expect(members(t, bed)["ledger-1"].Phase).NotTo(Equal("active"))
	g.Expect(bed.Daemons["ledger-3"].Start()).To(Succeed())
	g.Expect(waitAllActive(bed)).To(Succeed())
	g.Expect(eventuallyGranted(claimer(bed, "pwani-a"))).To(Succeed())
}

func TestLostDiskIsRecoveredWithARaisedEpoch(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	g.Expect(waitAllActive(bed)).To(Succeed())
	c := claimer(bed, "pwani-a")
	_, decision := claim(c, customerKey("kept"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	before := members(t, bed)["ledger-2"]
	for _, name := range []string{"ledger-2", "ledger-3", "ledger-1"} {
		g.Expect(bed.Daemons[name].Kill()).To(Succeed())
		g.Expect(bed.LoseDisk(name)).To(Succeed())
		g.Expect(bed.Daemons[name].Start()).To(Succeed())
		g.Expect(waitActive(bed.Daemons[name])).To(Succeed())
	}
	after := members(t, bed)["ledger-2"]
	g.Expect(after.Epoch).To(BeNumerically(">", before.Epoch))
	g.Expect(after.Generation).To(Equal(before.Generation))
	g.Expect(claimHeld(c, customerKey("kept")).Verdict).To(Equal(ledger.VerdictHeld), "every disk was lost once, the claim was not")
}

func TestLostMajorityNeedsAnOperator(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	g.Expect(waitAllActive(bed)).To(Succeed())
	c := claimer(bed, "pwani-a")
	attempt, decision := claim(c, customerKey("finished"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	answer := ledger.Answer{Status: 200, Body: []byte("paid")}
	g.Expect(c.Complete(context.Background(), customerKey("finished"), attempt, answer)).To(Succeed())
	_, decision = claim(c, customerKey("running"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	keys, err := c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(testcluster.Eventually(func() error { return spreadTo(t, bed, 2) })).To(Succeed())

	out, code := testcluster.RunCommand("ledger-restart", "-settings", settingsOf(bed, "ledger-1"))
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("ledger_has_majority"))

	lost := []string{"ledger-1", "ledger-2"}
	for _, name := range lost {
		g.Expect(bed.Daemons[name].Kill()).To(Succeed())
		g.Expect(bed.LoseDisk(name)).To(Succeed())
	}
	for _, name := range lost {
		g.Expect(bed.Daemons[name].Start()).To(Succeed())
		g.Expect(bed.Daemons[name].WaitReady()).To(Succeed())
	}
	_, decision = claim(c, customerKey("new"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable), "nobody starts the group by itself")

	for _, group := range []string{"fleet", "domain/pwani-a"} {
		out, code = testcluster.RunCommand("ledger-restart", "-settings", settingsOf(bed, "ledger-1"), "-group", group, "-quarantine", "1h")
		g.Expect(code).To(Equal(api.ExitOK), out)
	}
	_, decision = claim(c, customerKey("finished"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictCompleted))
	for _, value := range []string{"running", "unknown"} {
		g.Expect(claimHeld(c, customerKey(value)).Verdict).To(Equal(ledger.VerdictHeld), value)
	}
	_, decision = claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictExpired))
	keys, err = c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, decision = claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "minted after the restart")
}

func TestForcedRestartQuarantinesCustomersKeys(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	g.Expect(waitAllActive(bed)).To(Succeed())
	out, code := testcluster.RunCommand("ledger-restart", "-settings", settingsOf(bed, "ledger-1"), "-force", "-quarantine", "1h")
	g.Expect(code).To(Equal(api.ExitOK), out)
	c := claimer(bed, "pwani-a")
	g.Expect(claimHeld(c, customerKey("from before")).Verdict).To(Equal(ledger.VerdictHeld))
	keys, err := c.Mint(context.Background(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, decision := claim(c, customerKey(keys[0]))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
}

// spreadTo checks that every member has this many records.
func spreadTo(t *testing.T, bed *testcluster.Cluster, records uint64) error {
	for name, m := range members(t, bed) {
		if m.Records != records {
			return api.Errorf(api.CodeInternal, "%s has %d records", name, m.Records)
		}
	}
	return nil
}

func TestDamagedFileRefusesToStart(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	g.Expect(waitAllActive(bed)).To(Succeed())
	c := claimer(bed, "pwani-a")
	for _, value := range []string{"one", "two", "three"} {
		_, decision := claim(c, customerKey(value))
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	}
	d := bed.Daemons["ledger-1"]
	g.Expect(d.Kill()).To(Succeed())
	path := filepath.Join(d.Settings.DataDir, "ledger", "fleet", "0000000000000001.log")
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	raw[20] ^= 1
	g.Expect(os.WriteFile(path, raw, 0o644)).To(Succeed())
	out, code := testcluster.RunCommand("serve", "-settings", settingsOf(bed, "ledger-1"))
	g.Expect(code).To(Equal(api.ExitDataDamaged), out)
	g.Expect(out).To(ContainSubstring(path))
}

func TestReleaseReachesADelayedReplica(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	g.Expect(waitAllActive(bed)).To(Succeed())
	c := claimer(bed, "pwani-a")
	frozen := bed.Daemons["ledger-3"]
	g.Expect(frozen.Freeze()).To(Succeed())
	key := customerKey("released")
	attempt, decision := claim(c, key)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	g.Expect(c.Release(ctx, key, attempt)).To(Succeed())
	g.Expect(frozen.Thaw()).To(Succeed())
	g.Expect(bed.Daemons["ledger-1"].Kill()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return grantedOnce(c, key) })).To(Succeed(), "the thawed replica and the one that is left grant the key")
}
