package control

import (
	"slices"

	"peridotwinch.example/peridotwinch/api"
)

// nameKey is a name of a kind in a scheme; the empty scheme stands for any.
type nameKey struct {
	kind   api.Kind
	scheme api.Scheme
	name   string
}

// index finds resources by name and knows which refer to which.
type index struct {
	resources map[string]*api.Resource
	// names holds the UIDs under each name; a name in a scheme has one.
	names map[nameKey][]string
	// references holds the references of the resources that have any.
	references map[string][]api.Reference
}

func newIndex() *index {
	return &index{
		resources:  make(map[string]*api.Resource),
		names:      make(map[nameKey][]string),
		references: make(map[string][]api.Reference),
	}
}

func keysOf(resource *api.Resource) []nameKey {
	keys := make([]nameKey, 0, 2*len(resource.Names))
	for scheme, name := range resource.Names {
		keys = append(keys, nameKey{resource.Kind, scheme, name}, nameKey{resource.Kind, "", name})
	}
	return keys
}

func (x *index) add(resource *api.Resource) {
	x.resources[resource.UID] = resource
	for _, key := range keysOf(resource) {
		if !slices.Contains(x.names[key], resource.UID) {
			x.names[key] = append(x.names[key], resource.UID)
		}
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
	for _, key := range keysOf(resource) {
		uids := slices.DeleteFunc(x.names[key], func(uid string) bool { return uid == resource.UID })
		if len(uids) == 0 {
			delete(x.names, key)
			continue
		}
		x.names[key] = uids
	}
}

// replace puts one resource in the place of another; either may be nil.
func (x *index) replace(before, after *api.Resource) {
	if before != nil {
		x.remove(before)
	}
	if after != nil && !after.Deleted {
		x.add(after)
	}
}

func (x *index) find(kind api.Kind, ref api.Ref) (*api.Resource, error) {
	if !slices.Contains(api.Kinds, kind) {
		return nil, api.FieldErrorf(api.CodeKindUnknown, "kind", "%q", kind)
	}
	scheme, name := ref.Split()
	uids := x.names[nameKey{kind, scheme, name}]
	switch len(uids) {
	case 0:
		return nil, api.FieldErrorf(api.CodeResourceNotFound, "name", "%q", ref)
	case 1:
		return x.resources[uids[0]], nil
	}
	return nil, api.FieldErrorf(api.CodeNameAmbiguous, "name", "%q", ref)
}

// checkNames refuses names that another resource has in the same scheme.
func (x *index) checkNames(resource *api.Resource) error {
	for _, ref := range resource.Names.Refs() {
		scheme, name := ref.Split()
		for _, uid := range x.names[nameKey{resource.Kind, scheme, name}] {
			if uid != resource.UID {
				return api.FieldErrorf(api.CodeNameTaken, "names."+string(scheme), "%q is taken", name)
			}
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
			if _, err := x.find(kind, reference.Ref); err != nil {
				return api.FieldErrorf(api.CodeStillReferenced, "names", "%s %v refers to %q",
					x.resources[uid].Kind, x.resources[uid].Names.Refs(), reference.Ref)
			}
		}
	}
	return nil
}
