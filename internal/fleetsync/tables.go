package fleetsync

import (
	"sync"

	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// maxRecentTables is how many recent route tables a process keeps as bases for deltas: a burst
// of changes creates about ten tables while a link is busy. A table of 250 routes takes 5 KB.
const maxRecentTables = 12

// TableVersion is one generation of the route table.
type TableVersion struct {
	Generation uint64
	// Document returns the whole table.
	Document func() (*routetable.Document, error)
	// Delta is the delta from which a router has built the table, or nil. Routers pass it
	// on as received.
	Delta *fleetpb.Delta
}

// NewTableVersion returns the version of a document.
func NewTableVersion(d *routetable.Document) *TableVersion {
	return &TableVersion{Generation: d.Generation, Document: func() (*routetable.Document, error) { return d, nil }}
}

// tableHistory keeps the most recent route tables and caches deltas to the newest one, so that
// a delta for many routers is computed once and takes little bandwidth.
type tableHistory struct {
	// receivedOnly is set on routers: they pass on deltas as received, and keep no table
	// but the newest.
	receivedOnly bool

	mu     sync.Mutex
	recent []*TableVersion
	// deltas holds the computed deltas to the newest table by the generation of their base.
	deltas map[uint64]*fleetpb.Delta
}

// fillEvent adds the newest table to an event for a router that has the given generation: as
// a delta if its base is kept and the edits are smaller than half of the table, otherwise as
// the full document. It returns the generation that the router has after the event: with a
// received delta this may be an earlier one than the newest.
func (t *tableHistory) fillEvent(newest *TableVersion, generation uint64, event *fleetpb.FollowEvent) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(newest)
	if delta := t.receivedDelta(generation); delta != nil {
		event.Delta = delta
		return delta.GetGeneration(), nil
	}
	document, err := newest.Document()
	if err != nil {
		return 0, err
	}
	delta, err := t.deltaFrom(generation)
	if err != nil {
		return 0, err
	}
	if delta != nil && len(delta.GetEdits()) < len(document.Source)/2 {
		event.Delta = delta
		return newest.Generation, nil
	}
	event.Document = toDocument(document)
	return newest.Generation, nil
}

// record adds a table that routers may later need deltas to.
func (t *tableHistory) record(newest *TableVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(newest)
}

// add appends the newest table and discards the computed deltas to its predecessor; the
// caller holds mu.
func (t *tableHistory) add(newest *TableVersion) {
	n := len(t.recent)
	if n > 0 && t.recent[n-1].Generation >= newest.Generation {
		return
	}
	if t.receivedOnly && n > 0 {
		// Only the delta is needed; a table takes 0.4 MB in the largest known deployment.
		t.recent[n-1] = &TableVersion{Generation: t.recent[n-1].Generation, Delta: t.recent[n-1].Delta}
	}
	t.recent = append(t.recent, newest)
	if len(t.recent) > maxRecentTables {
		t.recent = t.recent[1:]
	}
	t.deltas = make(map[uint64]*fleetpb.Delta)
}

// receivedDelta returns the received delta from a generation, or nil if there is none or no
// unbroken sequence of deltas leads from it to the newest table; the caller holds mu.
func (t *tableHistory) receivedDelta(generation uint64) *fleetpb.Delta {
	for i, version := range t.recent {
		if version.Delta.GetBase() != generation || version.Delta == nil {
			continue
		}
		for j := i + 1; j < len(t.recent); j++ {
			if t.recent[j].Delta == nil || t.recent[j].Delta.GetBase() != t.recent[j-1].Generation {
				return nil
			}
		}
		return version.Delta
	}
	return nil
}

// deltaFrom returns the delta from a generation to the newest table, or nil if that
// generation's table is not kept; the caller holds mu.
func (t *tableHistory) deltaFrom(generation uint64) (*fleetpb.Delta, error) {
	if delta := t.deltas[generation]; delta != nil {
		return delta, nil
	}
	newest := t.recent[len(t.recent)-1]
	for _, base := range t.recent {
		if base.Generation != generation || base == newest || base.Document == nil {
			continue
		}
		from, err := base.Document()
		if err != nil {
			return nil, err
		}
		to, err := newest.Document()
		if err != nil {
			return nil, err
		}
		delta, err := routetable.NewDelta(from, to)
		if err != nil {
			return nil, err
		}
		t.deltas[generation] = toDelta(delta)
		return t.deltas[generation], nil
	}
	return nil, nil
}
