package fleetsync

import (
	"sync"

	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// keptTables is how many former route tables a replica keeps to tell routers what has
// changed: a storm of changes makes some ten of them while a link is busy. One of 250
// routes takes 5 KB.
const keptTables = 12

// tables keeps the newest route tables and the deltas to the newest one, so that a
// change to many routers is compared once and takes little of the link.
type tables struct {
	mu     sync.Mutex
	recent []*routetable.Document
	// deltas lead to the newest document, by the generation of their base.
	deltas map[uint64]*fleetpb.Delta
}

// event adds to an event what brings a router of the given generation to the newest
// table: a delta where its base is kept and that is worth it, or the whole table.
func (t *tables) event(newest *routetable.Document, generation uint64, event *fleetpb.FollowEvent) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(newest)
	delta, err := t.delta(generation)
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

// note takes the newest table.
func (t *tables) note(newest *routetable.Document) {
	if n := len(t.recent); n > 0 && t.recent[n-1].Generation >= newest.Generation {
		return
	}
	t.recent = append(t.recent, newest)
	if len(t.recent) > keptTables {
		t.recent = t.recent[1:]
	}
	t.deltas = make(map[uint64]*fleetpb.Delta)
}

// delta returns the delta from a generation, or nil where its table is not kept.
func (t *tables) delta(generation uint64) (*fleetpb.Delta, error) {
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
