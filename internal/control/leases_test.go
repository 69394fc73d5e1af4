package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

func newTestLeases(now time.Time) *leases {
	return newLeases([]settings.Peer{
		{Instance: "router-1", FailureDomain: "pwani-a"},
		{Instance: "router-2", FailureDomain: "pwani-a"},
		{Instance: "router-3", FailureDomain: "pwani-b"},
	}, now)
}

// TestStatusListsRoutersLackingChange guards against reporting a change in force too early: it
// stays accepted while a router with a live lease lacks it, and while a router without a
// report may still be live.
func TestStatusListsRoutersLackingChange(t *testing.T) {
	g := NewWithT(t)
	started := time.Now()
	l := newTestLeases(started)
	changed := started.Add(time.Second)
	now := changed
	l.recordDirect(now, "router-1", 5)
	l.recordDirect(now, "router-2", 4)

	// Within a lease duration of the start, the third router may be live without a report.
	status := l.status(now, 4, changed)
	g.Expect(status.Phase).To(Equal(api.PhaseAccepted))

	now = started.Add(leaseDuration + time.Second)
	l.recordDirect(now, "router-1", 5)
	l.recordDirect(now, "router-2", 4)
	status = l.status(now, 5, changed)
	g.Expect(status.Phase).To(Equal(api.PhaseAccepted))
	g.Expect(status.Lacking).To(Equal([]string{"router-2"}))
	g.Expect(status.Unheard).To(Equal([]string{"router-3"}))
	g.Expect(status.FailureDomains).To(Equal([]api.DomainStatus{{FailureDomain: "pwani-a", Revision: 4}}))

	l.recordDirect(now, "router-2", 5)
	status = l.status(now, 5, changed)
	g.Expect(status.Phase).To(Equal(api.PhaseInForce))
	g.Expect(status.Unheard).To(Equal([]string{"router-3"}))
}

// TestChangeFailsAfterInForceTimeout checks that a change fails if no router has a live lease
// or live routers lack it, and is in force once they have applied it.
func TestChangeFailsAfterInForceTimeout(t *testing.T) {
	g := NewWithT(t)
	changed := time.Now()
	l := newTestLeases(changed)
	now := changed.Add(inForceTimeout + time.Second)
	status := l.status(now, 5, changed)
	g.Expect(status.Phase).To(Equal(api.PhaseFailed))
	g.Expect(status.Reason).To(ContainSubstring("no router"))

	for _, router := range []string{"router-1", "router-2", "router-3"} {
		l.recordDirect(now, router, 4)
	}
	status = l.status(now, 5, changed)
	g.Expect(status.Phase).To(Equal(api.PhaseFailed))
	g.Expect(status.Reason).To(ContainSubstring("3 routers"))
	for _, router := range status.Lacking {
		l.recordDirect(now, router, 5)
	}
	g.Expect(l.status(now, 5, changed).Phase).To(Equal(api.PhaseInForce))
}

// TestOlderForwardedReportIsIgnored guards against lease errors from reports that other
// replicas forward late: they replace no newer report and renew no expired lease.
func TestOlderForwardedReportIsIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	l := newTestLeases(now.Add(-time.Minute))
	l.recordDirect(now, "router-1", 5)
	l.recordForwarded("router-1", 4, now.Add(-time.Second))
	l.recordForwarded("router-2", 5, now.Add(-2*leaseDuration))
	l.recordForwarded("router-3", 5, now.Add(-time.Second))
	g.Expect(l.status(now, 5, now).Unheard).To(Equal([]string{"router-2"}))
	g.Expect(l.status(now, 5, now).Phase).To(Equal(api.PhaseInForce))
	g.Expect(l.directReports(now)).To(HaveLen(1))

	// After a gap in the reports, the silent router may be live again.
	l.recordGap(now)
	g.Expect(l.status(now, 5, now).Phase).To(Equal(api.PhaseAccepted))
}
