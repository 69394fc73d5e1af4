package fleetview

import (
	"slices"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// setConfirmed marks the servers of this router as confirmed by the followed replica, except those
// that the first event of its stream names as unknown, or that are in buckets of records that differ:
// all records of such a bucket follow. The caller holds mu.
func (v *View) setConfirmed(event *fleetpb.FollowEvent) {
	differing := make(map[uint32]bool, len(event.GetDiffering()))
	for _, bucket := range event.GetDiffering() {
		differing[bucket] = true
	}
	v.confirmed = make(map[string]bool, len(v.servers))
	for id := range v.servers {
		v.confirmed[id] = !differing[fleetsync.BucketOf(id)] && !slices.Contains(event.GetUnknown(), registry.HashID(id))
	}
}
