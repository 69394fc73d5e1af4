package control

import (
	"encoding/json"
	"slices"

	"peridotwinch.example/peridotwinch/api"
)

// nameKey is a name of a kind in a scheme.
type nameKey struct {
	kind   api.Kind
	scheme api.Scheme
	name   string
}

// stored is a resource as the store keeps it. Decoded resources take several
// times the memory, and few are read.
type stored struct {
	encoded json.RawMessage
	kind    api.Kind
	version uint64
}

// decode returns the resource. What the store encoded can be decoded.
func (s stored) decode() *api.Resource { return decodeResource(s.encoded) }

func decodeResource(encoded json.RawMessage) *api.Resource {
	if encoded == nil {
		return nil
	}
	resource := &api.Resource{}
	if err := json.Unmarshal(encoded, resource); err != nil {
		return nil
	}
	return resource
}

func encodeResource(resource *api.Resource) json.RawMessage {
	raw, err := json.Marshal(resource)
	if err != nil {
		return nil
	}
	return append(make(json.RawMessage, 0, len(raw)), raw...)
}

// index finds resources by name and knows which refer to which.
type index struct {
	resources map[string]stored
	// names holds the UID under each name; a name in a scheme has one.
	names map[nameKey]string
	// schemes are those of the names, each once.
	schemes []api.Scheme
	// references holds the references of the resources that have any.
	references map[string][]api.Reference
}

func newIndex() *index {
	return &index{
		resources:  make(map[string]stored),
		names:      make(map[nameKey]string),
		references: make(map[string][]api.Reference),
	}
}

// keysOf returns the keys of a resource's names, with the strings that the index
// has already.
func (x *index) keysOf(resource *api.Resource) []nameKey {
	keys := make([]nameKey, 0, len(resource.Names))
	for scheme, name := range resource.Names {
		keys = append(keys, nameKey{sharedKind(resource.Kind), x.sharedScheme(scheme), name})
	}
	return keys
}

func sharedKind(kind api.Kind) api.Kind {
	if i := slices.Index(api.Kinds, kind); i >= 0 {
		return api.Kinds[i]
	}
	return kind
}

func (x *index) sharedScheme(scheme api.Scheme) api.Scheme {
	i := slices.Index(x.schemes, scheme)
	if i < 0 {
		x.schemes = append(x.schemes, scheme)
		return scheme
	}
	return x.schemes[i]
}

// add puts a resource with its encoding into the index.
func (x *index) add(resource *api.Resource, encoded json.RawMessage) {
	x.resources[resource.UID] = stored{encoded: encoded, kind: sharedKind(resource.Kind), version: resource.ResourceVersion}
	for _, key := range x.keysOf(resource) {
		x.names[key] = resource.UID
	}
	spec, err := api.DecodeSpec(resource.Kind, resource.Spec)
	if err != nil {
		return
	}
	if references := api.References(spec); len(references) > 0 {
		x.references[resource.UID] = references
	}
}

func (x *index) remove(resource *api.Resource) {
	delete(x.resources, resource.UID)
	delete(x.references, resource.UID)
	for _, key := range x.keysOf(resource) {
		if x.names[key] == resource.UID {
			delete(x.names, key)
		}
	}
}

// replace puts one resource in the place of another; either may be nil.
func (x *index) replace(before, after *api.Resource) {
	if before != nil {
		x.remove(before)
	}
	if after != nil && !after.Deleted {
		x.add(after, encodeResource(after))
	}
}

func (x *index) find(kind api.Kind, ref api.Ref) (*api.Resource, error) {
	if !slices.Contains(api.Kinds, kind) {
		return nil, api.FieldErrorf(api.CodeKindUnknown, "kind", "%q", kind)
	}
	uids := x.uidsOf(kind, ref)
	switch len(uids) {
	case 0:
		return nil, api.FieldErrorf(api.CodeResourceNotFound, "name", "%q", ref)
	case 1:
		return x.resources[uids[0]].decode(), nil
	}
	return nil, api.FieldErrorf(api.CodeNameAmbiguous, "name", "%q", ref)
}

// uidsOf returns the UIDs of the resources that ref names. A bare name stands for
// that name in any scheme.
func (x *index) uidsOf(kind api.Kind, ref api.Ref) []string {
	scheme, name := ref.Split()
	schemes := x.schemes
	if scheme != "" {
		schemes = []api.Scheme{scheme}
	}
	var out []string
	for _, scheme := range schemes {
		uid := x.names[nameKey{kind, scheme, name}]
		if uid != "" && !slices.Contains(out, uid) {
			out = append(out, uid)
		}
	}
	return out
}

// checkNames refuses names that another resource has in the same scheme.
func (x *index) checkNames(resource *api.Resource) error {
	for _, ref := range resource.Names.Refs() {
		scheme, name := ref.Split()
		uid := x.names[nameKey{resource.Kind, scheme, name}]
		if uid != "" && uid != resource.UID {
			return api.FieldErrorf(api.CodeNameTaken, "names."+string(scheme), "%q is taken", name)
		}
	}
	return nil
}

// checkOwnReferences refuses a resource that names one which does not exist.
func (x *index) checkOwnReferences(uid string) error {
	for _, reference := range x.references[uid] {
		if _, err := x.find(reference.Kind, reference.Ref); err != nil {
			failure := api.AsError(err)
			if failure.Code == api.CodeResourceNotFound {
				failure = api.Errorf(api.CodeReferenceMissing, "no %s %q", reference.Kind, reference.Ref)
			}
			failure.Field = reference.Field
			return failure
		}
	}
	return nil
}

// checkReferencesTo refuses a change of a kind after which a reference of
// another resource leads nowhere, or to more than one.
func (x *index) checkReferencesTo(kind api.Kind) error {
	for _, uid := range sortedKeys(x.references) {
		for _, reference := range x.references[uid] {
			if reference.Kind != kind {
				continue
			}
			if len(x.uidsOf(kind, reference.Ref)) != 1 {
				referring := x.resources[uid].decode()
				return api.FieldErrorf(api.CodeStillReferenced, "names", "%s %v refers to %q",
					referring.Kind, referring.Names.Refs(), reference.Ref)
			}
		}
	}
	return nil
}
