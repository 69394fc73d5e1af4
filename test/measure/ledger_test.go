package measure

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/fakebackend"
	"peridotwinch.example/peridotwinch/internal/load"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// ledgerReplicas is the number of replicas in the ledger group.
const ledgerReplicas = 3

// startLedgerGroup starts a control instance, a router and three ledger replicas, each
// in its own process with its own data directory, and four servers of a plain service.
func startLedgerGroup(t *testing.T) *system {
	g := NewWithT(t)
	spec := testcluster.Spec{Daemons: []testcluster.DaemonSpec{
		{Instance: "control", FailureDomain: slopeDomain, Roles: []settings.Role{settings.RoleControl}},
		{Instance: "router-00", FailureDomain: slopeDomain, Roles: []settings.Role{settings.RoleRouter}},
	}}
	for i := range ledgerReplicas {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: ledgerName(i), FailureDomain: slopeDomain, Roles: []settings.Role{settings.RoleLedger},
		})
	}
	cluster, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	g.Expect(cluster.Start()).To(Succeed())
	s := &system{Cluster: cluster, g: g, targets: &load.Targets{}}
	s.findTargets(spec)
	d := deployment{short: "short", long: "long", servicePool: "calls"}
	for _, resource := range d.resources([]load.Customer{slopeCustomer}) {
		s.apply(resource)
	}
	g.Expect(s.Daemons["router-00"].WaitReady()).To(Succeed())
	s.startBackends(t, 4, fakebackend.Config{Pool: "engine:calls", Slots: 512})
	return s
}

func ledgerName(i int) string { return fmt.Sprint("ledger-", i) }

// sendKeyedCalls sends calls with an idempotency key at this rate for observeTime and
// returns the load's report and the cost of each ledger replica.
func (s *system) sendKeyedCalls(rate float64) (*load.Report, []load.DaemonReport) {
	var before []*load.Counters
	for i := range ledgerReplicas {
		before = append(before, s.counters(ledgerName(i)))
	}
	report := s.load(slopeMix(rate, load.Shape{Name: "call", Service: "calls", Keyed: true, PromptTokens: 20}))
	var out []load.DaemonReport
	for i := range ledgerReplicas {
		out = append(out, s.counters(ledgerName(i)).Since(before[i], ledgerName(i)))
	}
	return report, out
}

// diskBytes returns the size of the files in a daemon's data directory.
func (s *system) diskBytes(name string) float64 {
	total := int64(0)
	_ = filepath.WalkDir(s.Daemons[name].Settings.DataDir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return float64(total)
}

// TestSlopeClaimsOfThree measures the cost of a call with an idempotency key that is
// claimed at three ledger replicas.
func TestSlopeClaimsOfThree(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "calls/s with a key, three ledger replicas", columns: []string{
		"router cores", "highest ledger cores", "router ledger B/s", "highest ledger B/s of a replica", "p99 ms",
	}}
	for _, rate := range []float64{50, 100, 200, 400} {
		system := startLedgerGroup(t)
		report, ledgers := system.sendKeyedCalls(rate)
		cores, bytes := 0.0, 0.0
		for _, r := range ledgers {
			cores, bytes = max(cores, coresUsed(r)), max(bytes, r.ControlBytesPerSecond["ledger"])
		}
		r := report.Routers[0]
		s.add(float64(report.Sent)/r.Seconds, coresUsed(r), cores, r.ControlBytesPerSecond["ledger"], bytes, classSeries(report, "call").Whole.P99)
		system.Close()
	}
	s.print()
}

// claimRate is the rate of new claims per second, low enough for a disk that is
// shared with other work.
const claimRate = 200

// TestSlopeClaimMemory measures the memory and disk space that a ledger replica uses
// for a claim within the retention.
func TestSlopeClaimMemory(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "claims within the retention, three ledger replicas", columns: []string{
		"replica MB", "replica heap MB", "replica disk bytes",
	}}
	system := startLedgerGroup(t)
	claims := 0
	for range 5 {
		report, ledgers := system.sendKeyedCalls(claimRate)
		claims += int(report.Sent) - failedRequests(report)
		s.add(float64(claims), megabytes(ledgers[0]), float64(ledgers[0].HeapBytes)/1e6, system.diskBytes(ledgerName(0)))
	}
	s.print()
}
