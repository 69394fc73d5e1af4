package fleetview

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/registry"
)

// appearedAt returns when this router learned of the incarnation of a received record, or zero if it
// has had it since the first event of its first stream, which lists all servers: any of them may have
// started long ago. A later stream may list servers that started while the router followed no source.
// The caller holds mu.
func (v *View) appearedAt(e registry.Entry, isInitial bool, now time.Time) time.Time {
	known, ok := v.servers[e.ID]
	switch {
	case ok && known.StartedMS == e.StartedMS:
		return known.AppearedAt
	case isInitial:
		return time.Time{}
	}
	return now
}
