// Package control keeps the declared resources, answers the resource API and
// streams changes to the routers.
package control

import (
	"slices"
	"sort"
	"sync"

	"github.com/google/uuid"

	"peridotwinch.example/peridotwinch/api"
)

// Store holds the resources of all kinds at a revision. It is safe for
// concurrent use.
type Store struct {
	schemes []api.Scheme

	mu        sync.Mutex
	revision  uint64
	resources map[string]*api.Resource
	history   []change
	watchers  map[chan struct{}]struct{}
}

// change is one resource as it was set at a revision.
type change struct {
	revision uint64
	resource *api.Resource
}

// NewStore returns an empty store at revision 0.
func NewStore(schemes []api.Scheme) *Store {
	return &Store{
		schemes:   schemes,
		resources: make(map[string]*api.Resource),
		watchers:  make(map[chan struct{}]struct{}),
	}
}

// Put creates or replaces the resource that ref names.
func (s *Store) Put(ref api.Ref, resource *api.Resource) (*api.Resource, error) {
	if errs := resource.Validate(s.schemes); len(errs) > 0 {
		return nil, errs[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, err := s.find(resource.Kind, ref)
	if err != nil && api.AsError(err).Code != api.CodeResourceNotFound {
		return nil, err
	}
	if err := checkVersion(existing, resource.ResourceVersion); err != nil {
		return nil, err
	}
	if err := s.checkNames(resource, existing); err != nil {
		return nil, err
	}
	next := *resource
	next.UID = uuid.NewString()
	if existing != nil {
		next.UID = existing.UID
	}
	s.commit(&next)
	return &next, nil
}

func checkVersion(existing *api.Resource, version uint64) error {
	var current uint64
	if existing != nil {
		current = existing.ResourceVersion
	}
	if version != current && version != 0 {
		return api.FieldErrorf(api.CodeVersionConflict, "resourceVersion", "%d, and the resource is at %d", version, current)
	}
	return nil
}

func (s *Store) checkNames(resource, existing *api.Resource) error {
	for _, other := range s.resources {
		if other.Kind != resource.Kind || (existing != nil && other.UID == existing.UID) {
			continue
		}
		for scheme, name := range resource.Names {
			if other.Names[scheme] == name {
				return api.FieldErrorf(api.CodeNameTaken, "names."+string(scheme), "%q is taken", name)
			}
		}
	}
	return nil
}

// Delete removes the resource that ref names.
func (s *Store) Delete(kind api.Kind, ref api.Ref, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, err := s.find(kind, ref)
	if err != nil {
		return err
	}
	if err := checkVersion(existing, version); err != nil {
		return err
	}
	gone := *existing
	gone.Deleted = true
	s.commit(&gone)
	return nil
}

// Get returns the resource that ref names.
func (s *Store) Get(kind api.Kind, ref api.Ref) (*api.Resource, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(kind, ref)
}

// List returns all resources of a kind, oldest change first.
func (s *Store) List(kind api.Kind) *api.ResourceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &api.ResourceList{Revision: s.revision, Items: []*api.Resource{}}
	for _, resource := range s.resources {
		if resource.Kind == kind {
			list.Items = append(list.Items, resource)
		}
	}
	sort.Slice(list.Items, func(i, j int) bool {
		return list.Items[i].ResourceVersion < list.Items[j].ResourceVersion
	})
	return list
}

// Changes returns the resources changed above a revision and the current revision.
func (s *Store) Changes(above uint64) ([]*api.Resource, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*api.Resource
	for _, c := range s.history {
		if c.revision > above {
			out = append(out, c.resource)
		}
	}
	return out, s.revision
}

// Subscribe returns a channel that gets a value after each change, and a
// function that ends the subscription.
func (s *Store) Subscribe() (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[changed] = struct{}{}
	return changed, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, changed)
	}
}

func (s *Store) commit(resource *api.Resource) {
	s.revision++
	resource.ResourceVersion = s.revision
	resource.Status = nil
	if resource.Deleted {
		delete(s.resources, resource.UID)
	} else {
		s.resources[resource.UID] = resource
	}
	s.history = append(s.history, change{s.revision, resource})
	for changed := range s.watchers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

func (s *Store) find(kind api.Kind, ref api.Ref) (*api.Resource, error) {
	if !slices.Contains(api.Kinds, kind) {
		return nil, api.FieldErrorf(api.CodeKindUnknown, "kind", "%q", kind)
	}
	scheme, name := ref.Split()
	var found *api.Resource
	for _, resource := range s.resources {
		if resource.Kind != kind || !hasName(resource, scheme, name) {
			continue
		}
		if found != nil {
			return nil, api.FieldErrorf(api.CodeNameAmbiguous, "name", "%q", ref)
		}
		found = resource
	}
	if found == nil {
		return nil, api.FieldErrorf(api.CodeResourceNotFound, "name", "%q", ref)
	}
	return found, nil
}

func hasName(resource *api.Resource, scheme api.Scheme, name string) bool {
	if scheme != "" {
		return resource.Names[scheme] == name
	}
	for _, other := range resource.Names {
		if other == name {
			return true
		}
	}
	return false
}
