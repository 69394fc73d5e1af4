// Package evacuation holds the set of failure domains whose backend servers receive no further
// requests, as part of the replicated state of control. It does no I/O and reads no clock.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// maxRetainedChanges limits the audit trail, because every snapshot contains it.
const maxRetainedChanges = 256

// Set is the evacuated failure domains at a revision, which rises with each change.
type Set struct {
	Revision uint64
	// Domains are sorted.
	Domains []string
	// Returned has the domains whose evacuation was withdrawn last, with the revision of the
	// withdrawal; nil if there are none.
	Returned map[string]uint64
}

// ReturnedSince returns the domains, sorted, whose evacuation was withdrawn after a revision. A
// router that was cut off during the whole evacuation knows of it only by this.
func (s *Set) ReturnedSince(revision uint64) (domains []string) {
	for _, name := range slices.Sorted(maps.Keys(s.Returned)) {
		if s.Returned[name] > revision {
			domains = append(domains, name)
		}
	}
	return domains
}

// Order is an operator's order on one failure domain.
type Order struct {
	Domain string `json:"domain"`
	// Evacuate is false if the order withdraws an evacuation.
	Evacuate bool `json:"evacuate"`
	// Base is the number of orders on the domain that the replica had read before it proposed
	// this one.
	Base uint64 `json:"base"`
	// RequestID is the operator's request ID; it may be empty.
	RequestID string `json:"requestId,omitempty"`
}

// Change is an order that changed the set, as the audit trail lists it.
type Change struct {
	Revision  uint64    `json:"revision"`
	Time      time.Time `json:"time"`
	Operator  string    `json:"operator"`
	RequestID string    `json:"requestId"`
	Domain    string    `json:"domain"`
	Evacuate  bool      `json:"evacuate"`
}

// State is the replicated state. The zero value has no evacuated domain.
type State struct {
	Revision uint64 `json:"revision"`
	// Domains holds the state of each domain on which an order was given.
	Domains map[string]Domain `json:"domains,omitempty"`
	// Changes are the newest changes of the set in ascending order of revision.
	Changes []Change `json:"changes,omitempty"`
}

// Domain is the state of one failure domain.
type Domain struct {
	Evacuated bool `json:"evacuated"`
	// Revision, Since and Operator are of the last change.
	Revision uint64    `json:"revision"`
	Since    time.Time `json:"since"`
	Operator string    `json:"operator"`
	// Orders is the number of orders on the domain, including those that changed nothing.
	Orders uint64 `json:"orders"`
}

// Apply applies an order. It returns false, and changes nothing, if another order on the domain
// was applied since the order's base was read. An order that is in force already leaves the set
// as it is, but counts as an order: otherwise an earlier order with the same base, which its
// caller has abandoned, could still be applied after this one was acknowledged.
func (s *State) Apply(order Order, change Change) bool {
	domain := s.Domains[order.Domain]
	if domain.Orders != order.Base {
		return false
	}
	if s.Domains == nil {
		s.Domains = make(map[string]Domain)
	}
	isChange := domain.Evacuated != order.Evacuate
	domain.Orders++
	if isChange {
		domain.Evacuated, domain.Revision, domain.Since, domain.Operator = order.Evacuate, s.Revision+1, change.Time, change.Operator
	}
	s.Domains[order.Domain] = domain
	if !isChange {
		return true
	}
	s.Revision++
	change.Revision, change.Domain, change.Evacuate = s.Revision, order.Domain, order.Evacuate
	if order.RequestID != "" {
		change.RequestID = order.RequestID
	}
	// The slice is cloned because readers may hold the previous one.
	s.Changes = append(slices.Clone(s.Changes), change)
	if len(s.Changes) > maxRetainedChanges {
		s.Changes = s.Changes[1:]
	}
	return true
}

// Set returns the evacuated and the returned domains.
func (s *State) Set() *Set {
	out := &Set{Revision: s.Revision}
	for _, name := range slices.Sorted(maps.Keys(s.Domains)) {
		switch domain := s.Domains[name]; {
		case domain.Evacuated:
			out.Domains = append(out.Domains, name)
		case domain.Revision > 0:
			if out.Returned == nil {
				out.Returned = make(map[string]uint64)
			}
			out.Returned[name] = domain.Revision
		}
	}
	return out
}
