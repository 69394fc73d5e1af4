package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"

	"peridotwinch.example/peridotwinch/internal/jsonx"
)

// Kind is a kind of resource, as in the path of the resource API.
type Kind string

// Kinds of resources.
const (
	KindFleets        Kind = "fleets"
	KindPools         Kind = "pools"
	KindCustomers     Kind = "customers"
	KindModelVersions Kind = "modelversions"
	KindIntents       Kind = "intents"
)

// Kinds lists all kinds. A resource refers only to resources of kinds that precede its own.
var Kinds = []Kind{KindFleets, KindPools, KindCustomers, KindModelVersions, KindIntents}

// CheckKind returns CodeKindUnknown if the kind does not exist.
func CheckKind(kind Kind) error {
	_, err := newSpec(kind)
	return err
}

// Scheme is one of the naming schemes that the settings declare.
type Scheme string

// Names maps each naming scheme of a resource to the resource's name in that scheme.
type Names map[Scheme]string

// Ref is a reference to a resource: "scheme:name", or a bare name if it is unique across schemes.
type Ref string

// Split returns the scheme, which is empty for a bare name, and the name.
func (r Ref) Split() (Scheme, string) {
	scheme, name, found := strings.Cut(string(r), ":")
	if !found {
		return "", string(r)
	}
	return Scheme(scheme), name
}

// Refs returns a reference for each name, sorted.
func (n Names) Refs() []Ref {
	refs := make([]Ref, 0, len(n))
	for scheme, name := range n {
		refs = append(refs, Ref(fmt.Sprintf("%s:%s", scheme, name)))
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i] < refs[j] })
	return refs
}

// Phase is the phase of the rollout of a change.
type Phase string

// Phases of a change.
const (
	PhaseAccepted Phase = "accepted"
	PhaseInForce  Phase = "in_force"
	PhaseFailed   Phase = "failed"
)

// Status is the rollout status of a resource's last change.
type Status struct {
	Phase          Phase          `json:"phase"`
	Reason         string         `json:"reason,omitempty"`
	FailureDomains []DomainStatus `json:"failureDomains,omitempty"`
	// Lacking lists the routers with a live lease that have not applied the change.
	Lacking []string `json:"lacking,omitempty"`
	// Unheard lists the routers without a live lease.
	Unheard []string `json:"unheard,omitempty"`
}

// DomainStatus is the lowest revision in use at the routers of a failure domain.
type DomainStatus struct {
	FailureDomain string `json:"failureDomain"`
	Revision      uint64 `json:"revision"`
}

// Resource is a declared resource with its names and specification.
type Resource struct {
	Kind            Kind            `json:"kind"`
	UID             string          `json:"uid,omitempty"`
	Names           Names           `json:"names"`
	ResourceVersion uint64          `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage `json:"spec"`
	Status          *Status         `json:"status,omitempty"`
	Deleted         bool            `json:"deleted,omitempty"`
}

// Spec is the typed specification of a resource.
type Spec interface {
	// Validate returns an error for each field that is not valid.
	Validate() []*Error
}

// HasName reports whether ref names the resource.
func (r *Resource) HasName(ref Ref) bool {
	scheme, name := ref.Split()
	if scheme != "" {
		return r.Names[scheme] == name
	}
	for _, other := range r.Names {
		if other == name {
			return true
		}
	}
	return false
}

// MaxNames is the maximum number of names of a resource.
const MaxNames = 3

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 128

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)

// Validate returns an error for each name that is not valid or has an undeclared scheme, and
// for each field of the specification that is not valid.
func (r *Resource) Validate(schemes []Scheme) []*Error {
	var errs []*Error
	errs = append(errs, r.validateNames(schemes)...)
	spec, err := newSpec(r.Kind)
	if err != nil {
		return append(errs, AsError(err))
	}
	if err := jsonx.DecodeKnown(bytes.NewReader(r.Spec), spec); err != nil {
		return append(errs, TextError(CodeResourceInvalid, "spec", err))
	}
	return append(errs, spec.Validate()...)
}

func (r *Resource) validateNames(schemes []Scheme) []*Error {
	if len(r.Names) == 0 {
		return []*Error{invalidField("names", "at least one name is required")}
	}
	if len(r.Names) > MaxNames {
		return []*Error{invalidField("names", "more than %d names", MaxNames)}
	}
	declared := make(map[Scheme]bool, len(schemes))
	for _, scheme := range schemes {
		declared[scheme] = true
	}
	var errs []*Error
	for scheme, name := range r.Names {
		field := fmt.Sprintf("names.%s", scheme)
		if !declared[scheme] {
			errs = append(errs, invalidField(field, "unknown scheme; nameSchemes of the settings does not list it"))
		}
		if len(name) > MaxNameLength || !namePattern.MatchString(name) {
			errs = append(errs, invalidField(field, "not a valid name: %q", name))
		}
	}
	return errs
}

func invalidField(field, format string, args ...any) *Error {
	return FieldErrorf(CodeResourceInvalid, field, format, args...)
}

// DecodeSpec decodes the specification of a resource that control has accepted, in this or an earlier
// version, and refuses unknown fields. It fails with CodeKindUnknown or CodeResourceInvalid.
func DecodeSpec(kind Kind, raw json.RawMessage) (Spec, error) {
	spec, err := newSpec(kind)
	if err != nil {
		return nil, err
	}
	if err := jsonx.DecodeAcceptedKnown(raw, spec); err != nil {
		return nil, invalidField("spec", "%v", err)
	}
	return spec, nil
}

func newSpec(kind Kind) (Spec, error) {
	switch kind {
	case KindFleets:
		return &FleetSpec{}, nil
	case KindPools:
		return &PoolSpec{}, nil
	case KindCustomers:
		return &CustomerSpec{}, nil
	case KindModelVersions:
		return &ModelVersionSpec{}, nil
	case KindIntents:
		return &IntentSpec{}, nil
	}
	return nil, FieldErrorf(CodeKindUnknown, "kind", "unknown kind %q", kind)
}
