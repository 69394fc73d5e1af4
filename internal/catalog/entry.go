package catalog

import (
	"encoding/json"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// entry is a resource as the catalog keeps it. Most resources are customers, of
// which requests need no more than the tokens, so that only the others are kept
// decoded.
type entry struct {
	encoded json.RawMessage
	version uint64
	// uid and spec are set except for customers.
	uid  string
	spec api.Spec
}

func newEntry(resource *api.Resource) *entry {
	encoded, err := json.Marshal(resource)
	if err != nil {
		// The specification is no JSON; the names and the UID always are.
		lean := *resource
		lean.Spec = nil
		encoded, _ = json.Marshal(&lean)
	}
	return &entry{encoded: clip(encoded), version: resource.ResourceVersion}
}

// clip copies bytes into a slice without spare room.
func clip(raw []byte) []byte { return append(make([]byte, 0, len(raw)), raw...) }

func (e *entry) decode() (*api.Resource, error) {
	resource := &api.Resource{}
	return resource, errors.Wrap(json.Unmarshal(e.encoded, resource), "decode a resource")
}
