package control

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// leaseDuration is how long a router's lease lasts after its report.
	leaseDuration = 3 * time.Second
	// inForceTimeout is the time after a change at which it counts as failed unless it is
	// in force.
	inForceTimeout = 30 * time.Second
)

// routerReport is the newest report of a router.
type routerReport struct {
	revision uint64
	at       time.Time
	// direct is set if the router reported to this replica, not to another one.
	direct bool
}

// leases tracks the lease and the applied revision of each router. It is safe for concurrent
// use.
type leases struct {
	routers []settings.Peer

	mu sync.Mutex
	// lastGap is the last time at which this replica may have missed reports.
	lastGap time.Time
	reports map[string]routerReport
	// watchers receive a value when the applied revision of a router changes.
	watchers map[chan struct{}]struct{}
}

func newLeases(routers []settings.Peer, now time.Time) *leases {
	return &leases{
		routers: routers, lastGap: now,
		reports: make(map[string]routerReport), watchers: make(map[chan struct{}]struct{}),
	}
}

// recordGap records that the replica may have missed reports until now.
func (l *leases) recordGap(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastGap = now
}

// recordDirect records a report received from the router itself and returns whether the
// revision differs from that of the router's last report.
func (l *leases) recordDirect(now time.Time, instance string, revision uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.reports[instance]
	l.set(instance, routerReport{revision: revision, at: now, direct: true})
	return last.revision != revision
}

// recordForwarded records a report that another replica received at the given time. It
// ignores a report that is not newer than the recorded one.
func (l *leases) recordForwarded(instance string, revision uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.reports[instance].at) {
		l.set(instance, routerReport{revision: revision, at: at})
	}
}

func (l *leases) set(instance string, next routerReport) {
	last := l.reports[instance]
	l.reports[instance] = next
	if next.revision == last.revision {
		return
	}
	for changed := range l.watchers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// subscribe returns a channel that receives a value after the applied revision of a router
// has changed, and a function that ends the subscription.
func (l *leases) subscribe() (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers[changed] = struct{}{}
	return changed, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watchers, changed)
	}
}

// directReports returns the reports with a live lease that this replica received from the
// routers themselves.
func (l *leases) directReports(now time.Time) map[string]routerReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]routerReport)
	for instance, r := range l.reports {
		if r.direct && now.Sub(r.at) <= leaseDuration {
			out[instance] = r
		}
	}
	return out
}

// routerStatus returns the status of all routers of the settings.
func (l *leases) routerStatus(now time.Time) []api.RouterStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []api.RouterStatus
	for _, router := range l.routers {
		r, reported := l.reports[router.Instance]
		out = append(out, api.RouterStatus{
			Instance: router.Instance, FailureDomain: router.FailureDomain,
			Revision: r.revision, Heard: reported && now.Sub(r.at) <= leaseDuration,
		})
	}
	return out
}

// status returns the rollout status of a revision that was committed at changedAt.
func (l *leases) status(now time.Time, revision uint64, changedAt time.Time) *api.Status {
	status := &api.Status{}
	lowestByDomain := make(map[string]uint64)
	liveRouters := 0
	for _, router := range l.routerStatus(now) {
		if !router.Heard {
			status.Unheard = append(status.Unheard, router.Instance)
			continue
		}
		liveRouters++
		if router.Revision < revision {
			status.Lacking = append(status.Lacking, router.Instance)
		}
		if lowest, ok := lowestByDomain[router.FailureDomain]; !ok || router.Revision < lowest {
			lowestByDomain[router.FailureDomain] = router.Revision
		}
	}
	status.FailureDomains = domainStatus(lowestByDomain)
	status.Phase, status.Reason = l.phase(now, status, liveRouters, changedAt)
	return status
}

// phase returns whether a change is accepted, in force or failed. A change is in force once at
// least one router has a live lease and every router with a live lease has applied the change.
// Within leaseDuration of a gap in the reports, a router without a report may still be live;
// until then the change counts neither as in force nor as failed.
func (l *leases) phase(now time.Time, status *api.Status, liveRouters int, changedAt time.Time) (phase api.Phase, reason string) {
	l.mu.Lock()
	collecting := now.Sub(l.lastGap) <= leaseDuration && len(status.Unheard) > 0
	l.mu.Unlock()
	if liveRouters > 0 && len(status.Lacking) == 0 && !collecting {
		return api.PhaseInForce, ""
	}
	if collecting || changedAt.IsZero() || now.Sub(changedAt) <= inForceTimeout {
		return api.PhaseAccepted, ""
	}
	if liveRouters == 0 {
		return api.PhaseFailed, fmt.Sprintf("no router has a live lease %s after the change", inForceTimeout)
	}
	return api.PhaseFailed, fmt.Sprintf("%d routers with a live lease have not applied the change within %s", len(status.Lacking), inForceTimeout)
}

func domainStatus(lowestByDomain map[string]uint64) []api.DomainStatus {
	var out []api.DomainStatus
	for domain, revision := range lowestByDomain {
		out = append(out, api.DomainStatus{FailureDomain: domain, Revision: revision})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].FailureDomain < out[j].FailureDomain })
	return out
}
