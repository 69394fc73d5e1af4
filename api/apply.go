package api

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
)

// applyAttempts is the maximum number of attempts of Apply if each conflicts with another write.
const applyAttempts = 10

// Apply creates or replaces a resource, whatever its version, and returns the stored
// resource. It writes nothing if the stored resource already has the names and the
// specification. If resource has a resourceVersion, Apply replaces only that version. It fails
// with CodeVersionConflict if that version is not the current one, or if 10 attempts in
// sequence conflicted with other writes.
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

// declares reports whether r and other have the same names and specification.
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
