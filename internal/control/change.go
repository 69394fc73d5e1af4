package control

import (
	"encoding/json"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// keptChange is an api.Change whose resources are encoded. The encoding of a
// resource is shared by the change that made it, the next one and the index.
type keptChange struct {
	Revision  uint64          `json:"revision"`
	Time      time.Time       `json:"time"`
	Operator  string          `json:"operator"`
	RequestID string          `json:"requestId"`
	Verb      api.Verb        `json:"verb"`
	Before    json.RawMessage `json:"before,omitempty"`
	After     json.RawMessage `json:"after"`
}

func (c *keptChange) decode() *api.Change {
	return &api.Change{
		Revision: c.Revision, Time: c.Time, Operator: c.Operator, RequestID: c.RequestID, Verb: c.Verb,
		Before: decodeResource(c.Before), After: decodeResource(c.After),
	}
}

func decodeChanges(kept []*keptChange) []*api.Change {
	var out []*api.Change
	for _, change := range kept {
		out = append(out, change.decode())
	}
	return out
}

// encodedAfter returns the encoding of a change's result, that of the index
// unless the resource is gone.
func (s *Store) encodedAfter(after *api.Resource) json.RawMessage {
	if after.Deleted {
		return encodeResource(after)
	}
	return s.index.resources[after.UID].encoded
}
