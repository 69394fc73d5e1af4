package control

import (
	"encoding/json"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// encodedChange is an api.Change with encoded resources. The change that wrote a resource,
// the next change of that resource and the index share one encoding, which saves memory.
type encodedChange struct {
	Revision  uint64          `json:"revision"`
	Time      time.Time       `json:"time"`
	Operator  string          `json:"operator"`
	RequestID string          `json:"requestId"`
	Verb      api.Verb        `json:"verb"`
	Before    json.RawMessage `json:"before,omitempty"`
	After     json.RawMessage `json:"after"`
}

func (c *encodedChange) decode() *api.Change {
	return &api.Change{
		Revision: c.Revision, Time: c.Time, Operator: c.Operator, RequestID: c.RequestID, Verb: c.Verb,
		Before: decodeResource(c.Before), After: decodeResource(c.After),
	}
}

func decodeChanges(changes []*encodedChange) []*api.Change {
	var out []*api.Change
	for _, change := range changes {
		out = append(out, change.decode())
	}
	return out
}

// encodedAfter returns the encoding of the resource that a change results in: the encoding
// in the index, or a new one for a deleted resource.
func (s *Store) encodedAfter(after *api.Resource) json.RawMessage {
	if after.Deleted {
		return encodeResource(after)
	}
	return s.index.resources[after.UID].encoded
}
