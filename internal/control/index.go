package control

import (
	"encoding/json"
	"slices"

	"peridotwinch.example/peridotwinch/api"
)

// nameKey identifies a resource by kind, name scheme and name.
type nameKey struct {
	kind   api.Kind
	scheme api.Scheme
	name   string
}

// storedResource is an encoded resource with its kind and version. The store keeps resources
// encoded, because decoded ones take several times the memory and few are read.
type storedResource struct {
	encoded json.RawMessage
	kind    api.Kind
	version uint64
}

// decode returns the resource. Decoding cannot fail, because the store encoded it.
func (s storedResource) decode() *api.Resource { return decodeResource(s.encoded) }

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

// index holds the resources by UID, their names and the references between them.
type index struct {
	resources map[string]storedResource
	// names maps each name to the UID of its resource. A name is unique within its kind and
	// scheme.
	names map[nameKey]string
	// schemes holds the distinct schemes of the names.
	schemes []api.Scheme
	// references maps the UID of a resource to its references; resources without references
	// have no entry.
	references map[string][]api.Reference
}

func newIndex() *index {
	return &index{
		resources:  make(map[string]storedResource),
		names:      make(map[nameKey]string),
		references: make(map[string][]api.Reference),
	}
}

// keysOf returns the keys of a resource's names. Kinds and schemes are interned to save
// memory.
func (x *index) keysOf(resource *api.Resource) []nameKey {
	keys := make([]nameKey, 0, len(resource.Names))
	for scheme, name := range resource.Names {
		keys = append(keys, nameKey{internKind(resource.Kind), x.internScheme(scheme), name})
	}
	return keys
}

func internKind(kind api.Kind) api.Kind {
	if i := slices.Index(api.Kinds, kind); i >= 0 {
		return api.Kinds[i]
	}
	return kind
}

func (x *index) internScheme(scheme api.Scheme) api.Scheme {
	i := slices.Index(x.schemes, scheme)
	if i < 0 {
		x.schemes = append(x.schemes, scheme)
		return scheme
	}
	return x.schemes[i]
}

// add adds a resource with its encoding. A spec that cannot be decoded adds no references.
func (x *index) add(resource *api.Resource, encoded json.RawMessage) {
	x.resources[resource.UID] = storedResource{encoded: encoded, kind: internKind(resource.Kind), version: resource.ResourceVersion}
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

// replace removes before and adds after. Either may be nil, and a deleted resource is not
// added.
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

// uidsOf returns the UIDs of the resources that ref names. A name without a scheme matches
// that name in every scheme.
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

// checkNames returns CodeNameTaken if another resource of the same kind has one of the names
// in the same scheme.
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

// checkOwnReferences returns an error unless each reference of a resource names exactly one
// resource: CodeReferenceMissing for none, CodeNameAmbiguous for more than one.
func (x *index) checkOwnReferences(uid string) error {
	for _, reference := range x.references[uid] {
		if _, err := x.find(reference.Kind, reference.Ref); err != nil {
			apiErr := api.AsError(err)
			if apiErr.Code == api.CodeResourceNotFound {
				apiErr = api.Errorf(api.CodeReferenceMissing, "no %s %q", reference.Kind, reference.Ref)
			}
			apiErr.Field = reference.Field
			return apiErr
		}
	}
	return nil
}

// checkReferencesTo returns CodeStillReferenced unless each reference to a resource of the
// kind names exactly one resource.
func (x *index) checkReferencesTo(kind api.Kind) error {
	for _, uid := range sortedKeys(x.references) {
		for _, reference := range x.references[uid] {
			if reference.Kind != kind {
				continue
			}
			if len(x.uidsOf(kind, reference.Ref)) != 1 {
				referrer := x.resources[uid].decode()
				return api.FieldErrorf(api.CodeStillReferenced, "names", "%s %v refers to %q",
					referrer.Kind, referrer.Names.Refs(), reference.Ref)
			}
		}
	}
	return nil
}
