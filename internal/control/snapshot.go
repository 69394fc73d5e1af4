package control

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// storeSnapshot is the JSON encoding of a store.
type storeSnapshot struct {
	Revision  uint64            `json:"revision"`
	Resources []json.RawMessage `json:"resources"`
	Changes   []*encodedChange  `json:"changes"`
	Outcomes  []*Outcome        `json:"outcomes"`

	RouteTable *routetable.Document `json:"routeTable,omitempty"`
	TableAudit []TableChange        `json:"tableAudit,omitempty"`

	Evacuations evacuation.State `json:"evacuations"`
}

// Snapshot implements replica.StateMachine. It encodes the state item by item, because
// encoding it as a whole would hold several copies in memory.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &snapshotWriter{}
	out.buf.Grow(s.snapshotBytes())
	out.write(`{"revision":`)
	out.encode(s.revision)
	out.write(`,"resources":[`)
	for i, uid := range sortedKeys(s.index.resources) {
		out.writeItem(i, s.index.resources[uid].encoded)
	}
	out.write(`],"changes":[`)
	for i, change := range s.changes {
		out.writeItem(i, change)
	}
	out.write(`],"outcomes":[`)
	for i, outcome := range s.outcomes {
		out.writeItem(i, outcome)
	}
	out.write(`],"routeTable":`)
	out.encode(s.routeTable)
	out.write(`,"tableAudit":`)
	out.encode(s.tableAudit)
	out.write(`,"evacuations":`)
	out.encode(&s.evacuations)
	out.write(`}`)
	return out.buf.Bytes(), errors.Wrap(out.err, "encode a snapshot of the store")
}

const (
	// changeOverheadBytes is the approximate size of an encoded change without its
	// resources.
	changeOverheadBytes = 200
	// estimatedOutcomeBytes is the approximate size of an encoded outcome.
	estimatedOutcomeBytes = 160
)

// snapshotBytes returns an upper estimate of the size of a snapshot's resources, changes
// and outcomes.
func (s *Store) snapshotBytes() int {
	size := len(s.outcomes) * estimatedOutcomeBytes
	for _, resource := range s.index.resources {
		size += len(resource.encoded) + 1
	}
	for _, change := range s.changes {
		size += len(change.Before) + len(change.After) + changeOverheadBytes
	}
	return size
}

// snapshotWriter writes JSON incrementally; err is the first encoding error.
type snapshotWriter struct {
	buf bytes.Buffer
	err error
}

func (w *snapshotWriter) write(text string) { w.buf.WriteString(text) }

func (w *snapshotWriter) encode(value any) {
	raw, err := json.Marshal(value)
	if err != nil && w.err == nil {
		w.err = err
	}
	w.buf.Write(raw)
}

// writeItem writes the i-th value of an array, with a comma before all but the first.
func (w *snapshotWriter) writeItem(i int, value any) {
	if i > 0 {
		w.write(",")
	}
	if encoded, ok := value.(json.RawMessage); ok {
		w.buf.Write(encoded)
		return
	}
	w.encode(value)
}

// Restore implements replica.StateMachine. An error leaves the store unchanged.
func (s *Store) Restore(raw []byte) error {
	snapshot := &storeSnapshot{}
	if err := json.Unmarshal(raw, snapshot); err != nil {
		return errors.Wrap(err, "decode a snapshot of the store")
	}
	restored := newIndex()
	shared := make(encodingInterner)
	for _, encoded := range snapshot.Resources {
		resource := &api.Resource{}
		if err := json.Unmarshal(encoded, resource); err != nil {
			return errors.Wrap(err, "decode a resource of the snapshot")
		}
		restored.add(resource, shared.intern(encoded))
	}
	for _, change := range snapshot.Changes {
		change.Before, change.After = shared.intern(change.Before), shared.intern(change.After)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.changes, s.outcomes, s.index = snapshot.Revision, snapshot.Changes, snapshot.Outcomes, restored
	s.routeTable, s.tableAudit, s.evacuations = snapshot.RouteTable, snapshot.TableAudit, snapshot.Evacuations
	s.outcomeByRequestID = make(map[string]*Outcome, len(s.outcomes))
	for _, outcome := range s.outcomes {
		s.outcomeByRequestID[outcome.RequestID] = outcome
	}
	s.notify()
	return nil
}

// encodingInterner returns one copy for equal encodings, which saves memory.
type encodingInterner map[string]json.RawMessage

func (s encodingInterner) intern(encoded json.RawMessage) json.RawMessage {
	if encoded == nil {
		return nil
	}
	if existing, ok := s[string(encoded)]; ok {
		return existing
	}
	copied := append(make(json.RawMessage, 0, len(encoded)), encoded...)
	s[string(copied)] = copied
	return copied
}
