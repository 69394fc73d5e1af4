package control

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// maxRetainedChanges limits the changes that the store retains for watches and the audit
// trail, and the request IDs whose outcomes it retains.
const maxRetainedChanges = 4096

// Store is the state machine of the replicated log. It holds the resources of all kinds at a
// revision and the route table. It is safe for concurrent use.
//
// Apply is deterministic: equal logs result in equal states. The text of an error that Apply
// returns is part of the state, because a snapshot contains the outcomes.
type Store struct {
	mu       sync.Mutex
	revision uint64
	index    *index
	changes  []*encodedChange
	// outcomes holds the retained outcomes in the order of the log.
	outcomes           []*Outcome
	outcomeByRequestID map[string]*Outcome
	watchers           map[chan struct{}]struct{}
	// routeTable is nil before the first one; tableAudit holds its newest replacements in
	// the order of the log.
	routeTable *routetable.Document
	tableAudit []TableChange
	// evacuations holds the evacuated failure domains.
	evacuations evacuation.State
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{
		index:              newIndex(),
		outcomeByRequestID: make(map[string]*Outcome),
		watchers:           make(map[chan struct{}]struct{}),
	}
}

// Apply implements replica.StateMachine.
func (s *Store) Apply(raw []byte) []byte {
	command := &Command{}
	outcome := &Outcome{}
	if err := json.Unmarshal(raw, command); err != nil {
		outcome.Error = api.Errorf(api.CodeInternal, "decode a command: %v", err)
	} else if command.Verb == api.VerbReplace {
		s.replaceTable(command)
		return []byte(`{}`)
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
	if recorded := s.outcomeByRequestID[command.RequestID]; recorded != nil {
		if recorded.Digest == digest {
			return s.withResource(recorded)
		}
		return &Outcome{Error: api.FieldErrorf(api.CodeRequestIDReused, "requestId", "%q", command.RequestID)}
	}
	outcome := &Outcome{RequestID: command.RequestID, Digest: digest}
	if command.Evacuation != nil {
		outcome.Error = s.applyEvacuation(command)
	} else if change, err := s.applyChange(command); err != nil {
		outcome.Error = api.AsError(err)
	} else {
		outcome.Revision = change.Revision
	}
	s.recordOutcome(outcome)
	return s.withResource(outcome)
}

// withResource returns an outcome with the resource that the command resulted in, taken from
// the change of the outcome's revision. It returns the outcome of a rejected command unchanged.
func (s *Store) withResource(outcome *Outcome) *Outcome {
	if outcome.Revision == 0 {
		return outcome
	}
	complete := *outcome
	complete.Resource = decodeResource(s.changeAt(outcome.Revision).After)
	return &complete
}

func (s *Store) recordOutcome(outcome *Outcome) {
	s.outcomes = append(s.outcomes, outcome)
	s.outcomeByRequestID[outcome.RequestID] = outcome
	if len(s.outcomes) > maxRetainedChanges {
		delete(s.outcomeByRequestID, s.outcomes[0].RequestID)
		s.outcomes = s.outcomes[1:]
	}
}

// applyChange executes a command whose request ID has no retained outcome. An error leaves
// the resources and the revision unchanged.
func (s *Store) applyChange(command *Command) (*encodedChange, error) {
	before, err := s.index.find(command.Kind, command.Ref)
	if err != nil && (command.Verb == api.VerbDelete || api.AsError(err).Code != api.CodeResourceNotFound) {
		return nil, err
	}
	if err := checkVersion(command, before); err != nil {
		return nil, err
	}
	after := command.result(before)
	after.ResourceVersion = s.revision + 1
	var encodedBefore json.RawMessage
	if before != nil {
		encodedBefore = s.index.resources[before.UID].encoded
	}
	if err := s.updateIndex(before, after, command.Ref); err != nil {
		return nil, err
	}
	s.revision++
	change := &encodedChange{
		Revision: s.revision, Time: command.Time, Operator: command.Operator, RequestID: command.RequestID,
		Verb: command.Verb, Before: encodedBefore, After: s.encodedAfter(after),
	}
	s.changes = append(s.changes, change)
	if len(s.changes) > maxRetainedChanges {
		s.changes = s.changes[1:]
	}
	s.notify()
	return change, nil
}

// checkVersion is the comparison of compare-and-set. A write carries the version of the
// resource that it replaces, zero for a resource that does not exist. Version zero of a
// deletion matches any version.
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

// result returns the resource that the command results in; before is nil for a new resource.
func (c *Command) result(before *api.Resource) *api.Resource {
	if c.Verb == api.VerbDelete {
		deleted := *before
		deleted.Deleted = true
		return &deleted
	}
	resource := &api.Resource{Kind: c.Kind, UID: c.UID, Names: c.Names, Spec: c.Spec}
	if before != nil {
		resource.UID = before.UID
	}
	return resource
}

// updateIndex replaces before by after in the index. An error leaves the index unchanged.
func (s *Store) updateIndex(before, after *api.Resource, ref api.Ref) error {
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

// List returns all resources of a kind in ascending order of their versions; the empty kind
// means all kinds.
func (s *Store) List(kind api.Kind) *api.ResourceList {
	encoded, revision := s.Encoded(kind)
	list := &api.ResourceList{Revision: revision, Items: make([]*api.Resource, 0, len(encoded))}
	for _, raw := range encoded {
		list.Items = append(list.Items, decodeResource(raw))
	}
	return list
}

// Encoded returns the resources that List returns, each encoded as JSON, and the current
// revision.
func (s *Store) Encoded(kind api.Kind) ([]json.RawMessage, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storedResource
	for _, resource := range s.index.resources {
		if kind == "" || resource.kind == kind {
			found = append(found, resource)
		}
	}
	slices.SortFunc(found, func(a, b storedResource) int { return cmp.Compare(a.version, b.version) })
	out := make([]json.RawMessage, 0, len(found))
	for _, resource := range found {
		out = append(out, resource.encoded)
	}
	return out, s.revision
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changes returns the changes above a revision and the current revision. The error has
// CodeRevisionGone if the store no longer retains some of them.
func (s *Store) Changes(above uint64) ([]*api.Change, uint64, error) {
	encoded, revision, err := s.changesAbove(above)
	return decodeChanges(encoded), revision, err
}

func (s *Store) changesAbove(above uint64) ([]*encodedChange, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.revision - uint64(len(s.changes))
	if above < oldest {
		return nil, s.revision, api.FieldErrorf(api.CodeRevisionGone, "revision", "the store no longer retains changes up to %d", oldest)
	}
	if above >= s.revision {
		return nil, s.revision, nil
	}
	return slices.Clone(s.changes[above-oldest:]), s.revision, nil
}

// oldestRevision returns the revision above which the store retains all changes.
func (s *Store) oldestRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision - uint64(len(s.changes))
}

// RetainedChanges returns all changes that the store retains and the current revision.
func (s *Store) RetainedChanges() ([]*api.Change, uint64) {
	s.mu.Lock()
	encoded, revision := slices.Clone(s.changes), s.revision
	s.mu.Unlock()
	return decodeChanges(encoded), revision
}

// ChangedAt returns the time of the change with a revision, or the zero time if the store no
// longer retains it.
func (s *Store) ChangedAt(revision uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change := s.changeAt(revision); change != nil {
		return change.Time
	}
	return time.Time{}
}

// changeAt returns the change with a revision, or nil if the store does not retain it.
func (s *Store) changeAt(revision uint64) *encodedChange {
	oldest := s.revision - uint64(len(s.changes))
	if revision <= oldest || revision > s.revision {
		return nil
	}
	return s.changes[revision-oldest-1]
}

// Subscribe returns a channel that receives a value after changes of the resources, the route
// table or the evacuated domains, and a function that ends the subscription. The channel has a buffer of one, so
// changes in quick succession may result in one value.
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

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
