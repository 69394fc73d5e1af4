package control

import (
	"sort"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// leaseTerm is how long a router's report counts.
const leaseTerm = 3 * time.Second

// report is the newest report of a router.
type report struct {
	revision uint64
	at       time.Time
}

// leases tracks which revision each router applies. It is safe for concurrent use.
type leases struct {
	routers []settings.Peer

	mu      sync.Mutex
	reports map[string]report
}

func newLeases(routers []settings.Peer) *leases {
	return &leases{routers: routers, reports: make(map[string]report)}
}

func (l *leases) record(now time.Time, instance string, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[instance] = report{revision: revision, at: now}
}

// status tells how far a revision has spread.
func (l *leases) status(now time.Time, revision uint64) *api.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := &api.Status{Phase: api.PhaseInForce}
	lowest := make(map[string]uint64)
	for _, router := range l.routers {
		r, known := l.reports[router.Instance]
		if !known || now.Sub(r.at) > leaseTerm {
			status.Unheard = append(status.Unheard, router.Instance)
			continue
		}
		if r.revision < revision {
			status.Phase = api.PhaseAccepted
			status.Lacking = append(status.Lacking, router.Instance)
		}
		if low, ok := lowest[router.FailureDomain]; !ok || r.revision < low {
			lowest[router.FailureDomain] = r.revision
		}
	}
	for domain, low := range lowest {
		status.FailureDomains = append(status.FailureDomains, api.DomainStatus{FailureDomain: domain, Revision: low})
	}
	sort.Slice(status.FailureDomains, func(i, j int) bool {
		return status.FailureDomains[i].FailureDomain < status.FailureDomains[j].FailureDomain
	})
	return status
}
