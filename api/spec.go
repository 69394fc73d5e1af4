package api

import (
	"encoding/hex"
	"fmt"
	"slices"
)

// Protocol is the protocol of the backend servers of a pool.
type Protocol string

// Protocols of backend servers.
const (
	ProtocolChat    Protocol = "chat"
	ProtocolService Protocol = "service"
)

// Class is a scheduling class: short work is scheduled before long work.
type Class string

// Classes of work.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Reference is a field of a specification that refers to another resource.
type Reference struct {
	Field string
	Kind  Kind
	Ref   Ref
}

// References returns the fields of a specification that refer to other resources.
func References(spec Spec) []Reference {
	var references []Reference
	switch s := spec.(type) {
	case *PoolSpec:
		references = []Reference{{"spec.fleet", KindFleets, s.Fleet}}
	case *ModelVersionSpec:
		references = []Reference{{"spec.pool", KindPools, s.Pool}}
	case *IntentSpec:
		references = []Reference{{"spec.modelVersion", KindModelVersions, s.ModelVersion}, {"spec.pool", KindPools, s.Pool}}
	}
	return slices.DeleteFunc(references, func(r Reference) bool { return r.Ref == "" })
}

// FleetSpec groups pools that share a load bound.
type FleetSpec struct {
	// LoadBound is the maximum load of a server as a multiple of the mean load, at least 1, or
	// 0 if not set.
	LoadBound float64 `json:"loadBound,omitempty"`
}

// Validate implements Spec.
func (s *FleetSpec) Validate() []*Error { return validateLoadBound(s.LoadBound) }

// PoolSpec declares a pool of backend servers.
type PoolSpec struct {
	Fleet    Ref      `json:"fleet,omitempty"`
	Protocol Protocol `json:"protocol"`
	// LoadBound overrides the load bound of the fleet.
	LoadBound float64 `json:"loadBound,omitempty"`
	// IdempotentMethods lists the HTTP methods of a plain service that may be retried.
	IdempotentMethods []string `json:"idempotentMethods,omitempty"`
}

// Validate implements Spec.
func (s *PoolSpec) Validate() []*Error {
	errs := validateLoadBound(s.LoadBound)
	if s.Protocol != ProtocolChat && s.Protocol != ProtocolService {
		errs = append(errs, invalidField("spec.protocol", "must be %q or %q, not %q", ProtocolChat, ProtocolService, s.Protocol))
	}
	return errs
}

func validateLoadBound(bound float64) []*Error {
	if bound != 0 && bound < 1 {
		return []*Error{invalidField("spec.loadBound", "must be at least 1: %v", bound)}
	}
	return nil
}

// CustomerSpec declares a customer.
type CustomerSpec struct {
	// TokenDigests are the SHA-256 digests, in hexadecimal, of the customer's bearer tokens.
	TokenDigests []string `json:"tokenDigests"`
	// Weight is the customer's relative share under contention; zero means 1.
	Weight int `json:"weight,omitempty"`
}

const sha256Bytes = 32

// Validate implements Spec.
func (s *CustomerSpec) Validate() []*Error {
	var errs []*Error
	if len(s.TokenDigests) == 0 {
		errs = append(errs, invalidField("spec.tokenDigests", "at least one digest is required"))
	}
	for i, digest := range s.TokenDigests {
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != sha256Bytes {
			errs = append(errs, invalidField(fmt.Sprintf("spec.tokenDigests[%d]", i), "not a SHA-256 digest in hexadecimal"))
		}
	}
	if s.Weight < 0 {
		errs = append(errs, invalidField("spec.weight", "must not be negative: %d", s.Weight))
	}
	return errs
}

// ModelVersionSpec declares a version of a model that a pool serves.
type ModelVersionSpec struct {
	Pool Ref `json:"pool"`
	// Model is the name of the model at the backend servers.
	Model string `json:"model"`
	// Deterministic is true if equal requests get equal answers, so that a broken stream may be
	// resumed on another backend server.
	Deterministic bool `json:"deterministic,omitempty"`
}

// Validate implements Spec.
func (s *ModelVersionSpec) Validate() []*Error {
	var errs []*Error
	if s.Pool == "" {
		errs = append(errs, invalidField("spec.pool", "missing"))
	}
	if s.Model == "" {
		errs = append(errs, invalidField("spec.model", "missing"))
	}
	return errs
}

// IntentSpec declares how requests under a name are routed.
type IntentSpec struct {
	// ModelVersion or Pool is the target; exactly one must be set.
	ModelVersion Ref   `json:"modelVersion,omitempty"`
	Pool         Ref   `json:"pool,omitempty"`
	Class        Class `json:"class,omitempty"`
	// NonIdempotent is true if requests run at most once and are never retried.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// DeadlineMS is the deadline for the first byte of the answer, in milliseconds; zero means
	// none.
	DeadlineMS int `json:"deadlineMs,omitempty"`
}

// Validate implements Spec.
func (s *IntentSpec) Validate() []*Error {
	var errs []*Error
	if (s.ModelVersion == "") == (s.Pool == "") {
		errs = append(errs, invalidField("spec.modelVersion", "exactly one of modelVersion and pool is required"))
	}
	if s.Class != "" && s.Class != ClassShort && s.Class != ClassLong {
		errs = append(errs, invalidField("spec.class", "must be %q or %q, not %q", ClassShort, ClassLong, s.Class))
	}
	if s.DeadlineMS < 0 {
		errs = append(errs, invalidField("spec.deadlineMs", "must not be negative: %d", s.DeadlineMS))
	}
	return errs
}
