package load

import (
	"fmt"
	"net/netip"
	"slices"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Targets lists the routers that receive requests and the backend servers whose
// load is sampled.
type Targets struct {
	Routers  []RouterTarget  `json:"routers"`
	Backends []BackendTarget `json:"backends,omitempty"`
}

// RouterTarget is a router that receives requests.
type RouterTarget struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Callers is the address for requests, and Platform the address for metrics. If
	// Platform is empty, the metrics are not read.
	Callers  string `json:"callers"`
	Platform string `json:"platform,omitempty"`
}

// BackendTarget is a fake backend server whose load is sampled.
type BackendTarget struct {
	Name string `json:"name"`
	// Group names the servers whose mean load is compared: those of one pool in one
	// failure domain.
	Group   string `json:"group"`
	Address string `json:"address"`
}

// ReadTargets reads and validates a targets file. The error lists every invalid
// field.
func ReadTargets(path string) (*Targets, error) {
	targets := &Targets{}
	if err := readJSON(path, targets); err != nil {
		return nil, err
	}
	if errs := targets.Validate(); len(errs) > 0 {
		return nil, errs
	}
	return targets, nil
}

// Validate returns one error per invalid field of the targets. It accepts only
// loopback addresses.
func (t *Targets) Validate() settings.Errors {
	v := &validator{}
	v.check(len(t.Routers) > 0, "routers", "must not be empty")
	for i, router := range t.Routers {
		v.checkLoopback(fmt.Sprintf("routers[%d].callers", i), router.Callers)
		if router.Platform != "" {
			v.checkLoopback(fmt.Sprintf("routers[%d].platform", i), router.Platform)
		}
	}
	for i, backend := range t.Backends {
		v.checkLoopback(fmt.Sprintf("backends[%d].address", i), backend.Address)
	}
	return v.errs
}

func (v *validator) checkLoopback(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		v.errs = append(v.errs, api.FieldErrorf(api.CodeLoadMixInvalid, field, "must be an IP address and port: %q", address))
		return
	}
	v.check(parsed.Addr().IsLoopback(), field, "must be a loopback address: %q", address)
}

// domains returns the sorted failure domains of the routers.
func (t *Targets) domains() []string {
	var out []string
	for _, router := range t.Routers {
		out = append(out, router.FailureDomain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// routersInDomain returns the routers of a failure domain.
func (t *Targets) routersInDomain(domain string) []RouterTarget {
	var out []RouterTarget
	for _, router := range t.Routers {
		if router.FailureDomain == domain {
			out = append(out, router)
		}
	}
	return out
}
