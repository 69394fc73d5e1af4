package api

import (
	"encoding/hex"
	"fmt"
	"slices"
)

// Protocol is what the backend servers of a pool speak.
type Protocol string

// Protocols of backend servers.
const (
	ProtocolChat    Protocol = "chat"
	ProtocolService Protocol = "service"
)

// Class orders work: short work goes ahead of long work.
type Class string

// Classes of work.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Reference is a field that names another resource.
type Reference struct {
	Field string
	Kind  Kind
	Ref   Ref
}

// References returns the fields of a specification that name other resources.
func References(spec Spec) []Reference {
	var all []Reference
	switch s := spec.(type) {
	case *PoolSpec:
		all = []Reference{{"spec.fleet", KindFleets, s.Fleet}}
	case *ModelVersionSpec:
		all = []Reference{{"spec.pool", KindPools, s.Pool}}
	case *IntentSpec:
		all = []Reference{{"spec.modelVersion", KindModelVersions, s.ModelVersion}, {"spec.pool", KindPools, s.Pool}}
	}
	return slices.DeleteFunc(all, func(r Reference) bool { return r.Ref == "" })
}

// FleetSpec groups pools that share a load bound.
type FleetSpec struct {
	// LoadBound is the multiple of the mean load that no server exceeds.
	LoadBound float64 `json:"loadBound,omitempty"`
}

// Validate implements Spec.
func (s *FleetSpec) Validate() []*Error { return validateLoadBound(s.LoadBound) }

// PoolSpec declares a pool of backend servers.
type PoolSpec struct {
	Fleet    Ref      `json:"fleet,omitempty"`
	Protocol Protocol `json:"protocol"`
	// LoadBound overrides that of the fleet.
	LoadBound float64 `json:"loadBound,omitempty"`
	// IdempotentMethods lists the HTTP methods of a plain service that may be repeated.
	IdempotentMethods []string `json:"idempotentMethods,omitempty"`
}

// Validate implements Spec.
func (s *PoolSpec) Validate() []*Error {
	errs := validateLoadBound(s.LoadBound)
	if s.Protocol != ProtocolChat && s.Protocol != ProtocolService {
		errs = append(errs, invalidField("spec.protocol", "neither %q nor %q: %q", ProtocolChat, ProtocolService, s.Protocol))
	}
	return errs
}

func validateLoadBound(bound float64) []*Error {
	if bound != 0 && bound < 1 {
		return []*Error{invalidField("spec.loadBound", "below 1: %v", bound)}
	}
	return nil
}

// CustomerSpec declares a customer.
type CustomerSpec struct {
	// TokenDigests are the SHA-256 digests, in hexadecimal, of the bearer tokens.
	TokenDigests []string `json:"tokenDigests"`
	// Weight is the customer's share under contention; zero counts as 1.
	Weight int `json:"weight,omitempty"`
}

const sha256Bytes = 32

// Validate implements Spec.
func (s *CustomerSpec) Validate() []*Error {
	var errs []*Error
	if len(s.TokenDigests) == 0 {
		errs = append(errs, invalidField("spec.tokenDigests", "at least one is needed"))
	}
	for i, digest := range s.TokenDigests {
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != sha256Bytes {
			errs = append(errs, invalidField(fmt.Sprintf("spec.tokenDigests[%d]", i), "not a SHA-256 digest in hexadecimal"))
		}
	}
	if s.Weight < 0 {
		errs = append(errs, invalidField("spec.weight", "below 0: %d", s.Weight))
	}
	return errs
}

// ModelVersionSpec declares a version of a model that a pool serves.
type ModelVersionSpec struct {
	Pool Ref `json:"pool"`
	// Model is the name that backend servers know the model by.
	Model string `json:"model"`
	// Deterministic says that equal requests give equal answers, so that a
	// broken stream may be continued on another backend server.
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
	// ModelVersion or Pool is the target; exactly one is set.
	ModelVersion Ref   `json:"modelVersion,omitempty"`
	Pool         Ref   `json:"pool,omitempty"`
	Class        Class `json:"class,omitempty"`
	// NonIdempotent says that requests run at most once and are never repeated.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// DeadlineMS bounds the time to the first byte, in milliseconds; zero means none.
	DeadlineMS int `json:"deadlineMs,omitempty"`
}

// Validate implements Spec.
func (s *IntentSpec) Validate() []*Error {
	var errs []*Error
	if (s.ModelVersion == "") == (s.Pool == "") {
		errs = append(errs, invalidField("spec.modelVersion", "exactly one of modelVersion and pool is needed"))
	}
	if s.Class != "" && s.Class != ClassShort && s.Class != ClassLong {
		errs = append(errs, invalidField("spec.class", "neither %q nor %q: %q", ClassShort, ClassLong, s.Class))
	}
	if s.DeadlineMS < 0 {
		errs = append(errs, invalidField("spec.deadlineMs", "below 0: %d", s.DeadlineMS))
	}
	return errs
}
