package control

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// keptChanges bounds the changes that the store keeps for watches and the audit
// trail, and the request IDs that it remembers.
const keptChanges = 4096

// Store is the state machine of the replicated log: the resources of all kinds
// at a revision. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	index    *index
	changes  []*api.Change
	// outcomes are in the order of the log, and by request ID.
	outcomes  []*Outcome
	byRequest map[string]*Outcome
	watchers  map[chan struct{}]struct{}
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{
		index:     newIndex(),
		byRequest: make(map[string]*Outcome),
		watchers:  make(map[chan struct{}]struct{}),
	}
}

// Apply implements replica.StateMachine.
func (s *Store) Apply(raw []byte) []byte {
	command := &Command{}
	outcome := &Outcome{}
	if err := json.Unmarshal(raw, command); err != nil {
		outcome.Error = api.Errorf(api.CodeInternal, "decode a command: %v", err)
	} else {
		outcome = s.apply(command)
	}
	out, err := json.Marshal(outcome)
	if err != nil {
		return []byte(`{}`)
	}
	return out
}

func (s *Store) apply(command *Command) *Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := command.digest()
	if first := s.byRequest[command.RequestID]; first != nil {
		if first.Digest == digest {
			return first
		}
		return &Outcome{Error: api.FieldErrorf(api.CodeRequestIDReused, "requestId", "%q", command.RequestID)}
	}
	outcome := &Outcome{RequestID: command.RequestID, Digest: digest}
	change, err := s.change(command)
	if err != nil {
		outcome.Error = api.AsError(err)
	} else {
		outcome.Revision = change.Revision
		outcome.Resource = change.After
	}
	s.remember(outcome)
	return outcome
}

func (s *Store) remember(outcome *Outcome) {
	s.outcomes = append(s.outcomes, outcome)
	s.byRequest[outcome.RequestID] = outcome
	if len(s.outcomes) > keptChanges {
		delete(s.byRequest, s.outcomes[0].RequestID)
		s.outcomes = s.outcomes[1:]
	}
}

// change carries out a command that was not seen before.
func (s *Store) change(command *Command) (*api.Change, error) {
	before, err := s.index.find(command.Kind, command.Ref)
	if err != nil && (command.Verb == api.VerbDelete || api.AsError(err).Code != api.CodeResourceNotFound) {
		return nil, err
	}
	if err := checkVersion(command, before); err != nil {
		return nil, err
	}
	after := command.after(before)
	if err := s.checkChange(before, after, command.Ref); err != nil {
		return nil, err
	}
	s.revision++
	after.ResourceVersion = s.revision
	change := &api.Change{
		Revision: s.revision, Time: command.Time, Operator: command.Operator, RequestID: command.RequestID,
		Verb: command.Verb, Before: before, After: after,
	}
	s.changes = append(s.changes, change)
	if len(s.changes) > keptChanges {
		s.changes = s.changes[1:]
	}
	s.notify()
	return change, nil
}

// checkVersion compares and sets: a write names the version that it replaces,
// zero for a resource that does not exist. A deletion at zero takes any version.
func checkVersion(command *Command, before *api.Resource) error {
	var current uint64
	if before != nil {
		current = before.ResourceVersion
	}
	anyVersion := command.Verb == api.VerbDelete && command.ResourceVersion == 0
	if command.ResourceVersion == current || anyVersion {
		return nil
	}
	return api.FieldErrorf(api.CodeVersionConflict, "resourceVersion", "%d, and the resource is at %d", command.ResourceVersion, current)
}

// after returns the resource as the command leaves it.
func (c *Command) after(before *api.Resource) *api.Resource {
	if c.Verb == api.VerbDelete {
		gone := *before
		gone.Deleted = true
		return &gone
	}
	resource := &api.Resource{Kind: c.Kind, UID: c.UID, Names: c.Names, Spec: c.Spec}
	if before != nil {
		resource.UID = before.UID
	}
	return resource
}

// checkChange puts the change into the index, or leaves the index as it was.
func (s *Store) checkChange(before, after *api.Resource, ref api.Ref) error {
	if before == nil && !after.HasName(ref) {
		return api.FieldErrorf(api.CodeResourceInvalid, "names", "%q is none of them", ref)
	}
	if err := s.index.checkNames(after); err != nil && !after.Deleted {
		return err
	}
	s.index.replace(before, after)
	err := s.index.checkOwnReferences(after.UID)
	if err == nil {
		err = s.index.checkReferencesTo(after.Kind)
	}
	if err != nil {
		s.index.replace(after, before)
	}
	return err
}

func (s *Store) notify() {
	for changed := range s.watchers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// Get returns the resource that ref names.
func (s *Store) Get(kind api.Kind, ref api.Ref) (*api.Resource, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.find(kind, ref)
}

// List returns all resources of a kind, oldest change first; the empty kind
// stands for all kinds.
func (s *Store) List(kind api.Kind) *api.ResourceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &api.ResourceList{Revision: s.revision, Items: []*api.Resource{}}
	for _, resource := range s.index.resources {
		if kind == "" || resource.Kind == kind {
			list.Items = append(list.Items, resource)
		}
	}
	sort.Slice(list.Items, func(i, j int) bool {
		return list.Items[i].ResourceVersion < list.Items[j].ResourceVersion
	})
	return list
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changes returns the changes above a revision and the current revision, or
// CodeRevisionGone where some of them are no longer kept.
func (s *Store) Changes(above uint64) ([]*api.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.revision - uint64(len(s.changes))
	if above < oldest {
		return nil, s.revision, api.FieldErrorf(api.CodeRevisionGone, "revision", "changes up to %d are no longer kept", oldest)
	}
	if above >= s.revision {
		return nil, s.revision, nil
	}
	return slices.Clone(s.changes[above-oldest:]), s.revision, nil
}

// KeptChanges returns all changes that are kept and the current revision.
func (s *Store) KeptChanges() ([]*api.Change, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes), s.revision
}

// ChangeAt returns the change of a revision, or nil where it is no longer kept.
func (s *Store) ChangeAt(revision uint64) *api.Change {
	changes, _, err := s.Changes(revision - 1)
	if err != nil || len(changes) == 0 {
		return nil
	}
	return changes[0]
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

// storeSnapshot is the encoded state of a store.
type storeSnapshot struct {
	Revision  uint64          `json:"revision"`
	Resources []*api.Resource `json:"resources"`
	Changes   []*api.Change   `json:"changes"`
	Outcomes  []*Outcome      `json:"outcomes"`
}

// Snapshot implements replica.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &storeSnapshot{Revision: s.revision, Changes: s.changes}
	for _, outcome := range s.outcomes {
		// The resource of a success stands in the change of its revision.
		lean := *outcome
		lean.Resource = nil
		snapshot.Outcomes = append(snapshot.Outcomes, &lean)
	}
	for _, uid := range sortedKeys(s.index.resources) {
		snapshot.Resources = append(snapshot.Resources, s.index.resources[uid])
	}
	raw, err := json.Marshal(snapshot)
	return raw, errors.Wrap(err, "encode the store")
}

// Restore implements replica.StateMachine.
func (s *Store) Restore(raw []byte) error {
	snapshot := &storeSnapshot{}
	if err := json.Unmarshal(raw, snapshot); err != nil {
		return errors.Wrap(err, "decode the store")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.changes, s.outcomes = snapshot.Revision, snapshot.Changes, snapshot.Outcomes
	s.index = newIndex()
	for _, resource := range snapshot.Resources {
		s.index.add(resource)
	}
	s.byRequest = make(map[string]*Outcome, len(s.outcomes))
	for _, outcome := range s.outcomes {
		if outcome.Revision > 0 {
			outcome.Resource = s.changes[len(s.changes)-1-int(s.revision-outcome.Revision)].After
		}
		s.byRequest[outcome.RequestID] = outcome
	}
	s.notify()
	return nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
