package api

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
)

// applyAttempts bounds how often Apply reads again after another write.
const applyAttempts = 10

// Apply brings a resource to the declared names and specification, whatever its
// version, and leaves it alone where it has them. A resource that carries a
// resourceVersion replaces only that version.
func (c *Client) Apply(ctx context.Context, resource *Resource) (*Resource, error) {
	if resource.ResourceVersion != 0 {
		return c.Put(ctx, resource.Names.Refs()[0], resource, "")
	}
	var err error
	for range applyAttempts {
		var stored *Resource
		stored, err = c.applyOnce(ctx, resource)
		if err == nil || AsError(err).Code != CodeVersionConflict {
			return stored, err
		}
	}
	return nil, err
}

func (c *Client) applyOnce(ctx context.Context, resource *Resource) (*Resource, error) {
	refs := resource.Names.Refs()
	for _, ref := range refs {
		existing, err := c.Get(ctx, resource.Kind, ref)
		if err != nil && AsError(err).Code == CodeResourceNotFound {
			continue
		}
		if err != nil {
			return nil, err
		}
		if existing.declares(resource) {
			return existing, nil
		}
		next := *resource
		next.ResourceVersion = existing.ResourceVersion
		return c.Put(ctx, ref, &next, "")
	}
	return c.Put(ctx, refs[0], resource, "")
}

// declares reports whether r has the names and specification of another resource.
func (r *Resource) declares(other *Resource) bool {
	return maps.Equal(r.Names, other.Names) && bytes.Equal(compact(r.Spec), compact(other.Spec))
}

func compact(raw json.RawMessage) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, raw); err != nil {
		return raw
	}
	return out.Bytes()
}
