package fleetsync

import (
	"sync"

	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// maxRecentTables is how many recent route tables a replica keeps as bases for deltas: a burst
// of changes creates about ten tables while a link is busy. A table of 250 routes takes 5 KB.
const maxRecentTables = 12

// tableHistory keeps the most recent route tables and caches deltas to the newest one, so that
// a delta for many routers is computed once and takes little bandwidth.
type tableHistory struct {
	mu     sync.Mutex
	recent []*routetable.Document
	// deltas holds the deltas to the newest document by the generation of their base.
	deltas map[uint64]*fleetpb.Delta
}

// fillEvent adds the newest table to an event for a router that has the given generation: as
// a delta if its base is kept and the edits are smaller than half of the table, otherwise as
// the full document.
func (t *tableHistory) fillEvent(newest *routetable.Document, generation uint64, event *fleetpb.FollowEvent) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(newest)
	delta, err := t.deltaFrom(generation)
	if err != nil {
		return err
	}
	if delta != nil && len(delta.GetEdits()) < len(newest.Source)/2 {
		event.Delta = delta
		return nil
	}
	event.Document = toDocument(newest)
	return nil
}

// add appends the newest table and discards the deltas to its predecessor.
func (t *tableHistory) add(newest *routetable.Document) {
	if n := len(t.recent); n > 0 && t.recent[n-1].Generation >= newest.Generation {
		return
	}
	t.recent = append(t.recent, newest)
	if len(t.recent) > maxRecentTables {
		t.recent = t.recent[1:]
	}
	t.deltas = make(map[uint64]*fleetpb.Delta)
}

// deltaFrom returns the delta from a generation to the newest table, or nil if that
// generation's table is not kept; the caller holds mu.
func (t *tableHistory) deltaFrom(generation uint64) (*fleetpb.Delta, error) {
	if delta := t.deltas[generation]; delta != nil {
		return delta, nil
	}
	newest := t.recent[len(t.recent)-1]
	for _, base := range t.recent {
		if base.Generation != generation || base == newest {
			continue
		}
		delta, err := routetable.NewDelta(base, newest)
		if err != nil {
			return nil, err
		}
		t.deltas[generation] = toDelta(delta)
		return t.deltas[generation], nil
	}
	return nil, nil
}
