package catalog

import (
	"encoding/json"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// entry is a resource in a catalog. Only resources other than customers are kept
// decoded, to save memory: most resources are customers, and requests need nothing
// of them but the token index.
type entry struct {
	encoded json.RawMessage
	version uint64
	// uid and spec are not set for customers.
	uid  string
	spec api.Spec
}

func newEntry(resource *api.Resource) *entry {
	encoded, err := json.Marshal(resource)
	if err != nil {
		// The specification is not valid JSON. The other fields can always be
		// encoded.
		withoutSpec := *resource
		withoutSpec.Spec = nil
		encoded, _ = json.Marshal(&withoutSpec)
	}
	return &entry{encoded: exactCopy(encoded), version: resource.ResourceVersion}
}

// exactCopy returns a copy of raw without spare capacity.
func exactCopy(raw []byte) []byte { return append(make([]byte, 0, len(raw)), raw...) }

func (e *entry) decode() (*api.Resource, error) {
	resource := &api.Resource{}
	return resource, errors.Wrap(json.Unmarshal(e.encoded, resource), "decode a resource")
}
