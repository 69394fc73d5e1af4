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
	// leaseTerm is how long a router's report counts.
	leaseTerm = 3 * time.Second
	// inForceDeadline is the time after which a change that a live router still
	// lacks has failed.
	inForceDeadline = 30 * time.Second
)

// report is the newest report of a router.
type report struct {
	revision uint64
	at       time.Time
	// direct says that this replica heard the router itself.
	direct bool
}

// leases tracks which revision each router applies. It is safe for concurrent use.
type leases struct {
	routers []settings.Peer

	mu      sync.Mutex
	since   time.Time
	reports map[string]report
	// watchers are signalled when a router applies a new revision.
	watchers map[chan struct{}]struct{}
}

func newLeases(routers []settings.Peer, now time.Time) *leases {
	return &leases{
		routers: routers, since: now,
		reports: make(map[string]report), watchers: make(map[chan struct{}]struct{}),
	}
}

// restart notes that the replica may have missed reports up to now.
func (l *leases) restart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = now
}

// report takes a router's own report, and reports whether its revision is new.
func (l *leases) report(now time.Time, instance string, revision uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.reports[instance]
	l.set(instance, report{revision: revision, at: now, direct: true})
	return last.revision != revision
}

// record takes a report that another replica heard.
func (l *leases) record(instance string, revision uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.reports[instance].at) {
		l.set(instance, report{revision: revision, at: at})
	}
}

func (l *leases) set(instance string, next report) {
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

// subscribe returns a channel that gets a value after a router has applied a
// new revision, and a function that ends the subscription.
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

// heard returns the live reports that this replica heard itself.
func (l *leases) heard(now time.Time) map[string]report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]report)
	for instance, r := range l.reports {
		if r.direct && now.Sub(r.at) <= leaseTerm {
			out[instance] = r
		}
	}
	return out
}

// routerStatus describes all routers of the settings.
func (l *leases) routerStatus(now time.Time) []api.RouterStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []api.RouterStatus
	for _, router := range l.routers {
		r, known := l.reports[router.Instance]
		out = append(out, api.RouterStatus{
			Instance: router.Instance, FailureDomain: router.FailureDomain,
			Revision: r.revision, Heard: known && now.Sub(r.at) <= leaseTerm,
		})
	}
	return out
}

// status tells how far a revision that was set at a time has spread.
func (l *leases) status(now time.Time, revision uint64, changed time.Time) *api.Status {
	status := &api.Status{}
	lowest := make(map[string]uint64)
	heard := 0
	for _, router := range l.routerStatus(now) {
		if !router.Heard {
			status.Unheard = append(status.Unheard, router.Instance)
			continue
		}
		heard++
		if router.Revision < revision {
			status.Lacking = append(status.Lacking, router.Instance)
		}
		if low, ok := lowest[router.FailureDomain]; !ok || router.Revision < low {
			lowest[router.FailureDomain] = router.Revision
		}
	}
	status.FailureDomains = domainStatus(lowest)
	status.Phase, status.Reason = l.phase(now, status, heard, changed)
	return status
}

// phase decides between accepted, in force and failed. While this replica may
// not have heard all live routers yet, silent ones count as lacking.
func (l *leases) phase(now time.Time, status *api.Status, heard int, changed time.Time) (phase api.Phase, reason string) {
	l.mu.Lock()
	settling := now.Sub(l.since) <= leaseTerm && len(status.Unheard) > 0
	l.mu.Unlock()
	if heard > 0 && len(status.Lacking) == 0 && !settling {
		return api.PhaseInForce, ""
	}
	if settling || changed.IsZero() || now.Sub(changed) <= inForceDeadline {
		return api.PhaseAccepted, ""
	}
	if heard == 0 {
		return api.PhaseFailed, fmt.Sprintf("no router was heard within %s", inForceDeadline)
	}
	return api.PhaseFailed, fmt.Sprintf("%d routers have not applied it within %s", len(status.Lacking), inForceDeadline)
}

func domainStatus(lowest map[string]uint64) []api.DomainStatus {
	var out []api.DomainStatus
	for domain, low := range lowest {
		out = append(out, api.DomainStatus{FailureDomain: domain, Revision: low})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].FailureDomain < out[j].FailureDomain })
	return out
}
