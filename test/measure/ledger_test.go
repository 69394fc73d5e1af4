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

// ledgerReplicas is the size of a ledger group.
const ledgerReplicas = 3

// ledgerGroup starts a control instance, a router and three ledger replicas, each
// a process with a data folder of its own, and four servers of a plain service.
func ledgerGroup(t *testing.T) *system {
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
	bed, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(bed.Close)
	g.Expect(bed.Start()).To(Succeed())
	s := &system{Cluster: bed, g: g, targets: &load.Targets{}}
	s.findTargets(spec)
	d := deployment{short: "short", long: "long", appsOf: "calls"}
	for _, resource := range d.resources([]load.Customer{slopeCustomer}) {
		s.apply(resource)
	}
	g.Expect(s.Daemons["router-00"].WaitReady()).To(Succeed())
	s.fleet(t, 4, fakebackend.Config{Pool: "engine:calls", Slots: 512})
	return s
}

func ledgerName(i int) string { return fmt.Sprint("ledger-", i) }

// keyedCalls sends calls with an idempotency key for a while and returns the
// report and what each ledger replica spent.
func (s *system) keyedCalls(rate float64) (*load.Report, []load.DaemonReport) {
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

// diskBytes is the size of the files in a daemon's data folder.
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

// TestSlopeClaimsOfThree is the cost of a call with an idempotency key that three
// ledger replicas claim.
func TestSlopeClaimsOfThree(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "calls/s with a key, three ledger replicas", columns: []string{
		"router cores", "highest ledger cores", "router ledger B/s", "highest ledger B/s of a replica", "p99 ms",
	}}
	for _, rate := range []float64{50, 100, 200, 400} {
		system := ledgerGroup(t)
		report, ledgers := system.keyedCalls(rate)
		cores, bytes := 0.0, 0.0
		for _, r := range ledgers {
			cores, bytes = max(cores, perSecond(r)), max(bytes, r.ControlBytesPerSecond["ledger"])
		}
		r := report.Routers[0]
		s.add(float64(report.Sent)/r.Seconds, perSecond(r), cores, r.ControlBytesPerSecond["ledger"], bytes, class(report, "call").Whole.P99)
		system.Close()
	}
	s.print()
}

// claimRate is the rate at which claims gather, low enough for a disk that other
// work shares.
const claimRate = 200

// TestSlopeClaimMemory is what a ledger replica keeps of a claim within the
// retention.
func TestSlopeClaimMemory(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "claims within the retention, three ledger replicas", columns: []string{
		"replica MB", "replica heap MB", "replica disk bytes",
	}}
	system := ledgerGroup(t)
	claims := 0
	for range 5 {
		report, ledgers := system.keyedCalls(claimRate)
		claims += int(report.Sent) - refused(report)
		s.add(float64(claims), megabytes(ledgers[0]), float64(ledgers[0].HeapBytes)/1e6, system.diskBytes(ledgerName(0)))
	}
	s.print()
}
