package fleetview

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/registry"
)

// initialPeriod is the time from the first event of the first stream in which servers do not count as
// started just now: if control has started with the router, it receives the running servers gradually.
const initialPeriod = unconfirmedRetention

// appearedAt returns when this router learned of the incarnation of a received record, or zero if it
// has had it since the initial period: any of those servers may have started long ago. A later stream may
// list servers that started while the router followed no source. The caller holds mu.
func (v *View) appearedAt(e registry.Entry, now time.Time) time.Time {
	known, ok := v.servers[e.ID]
	switch {
	case ok && known.StartedMS == e.StartedMS:
		return known.AppearedAt
	case now.Sub(v.firstFollowedAt) < initialPeriod:
		return time.Time{}
	}
	return now
}
