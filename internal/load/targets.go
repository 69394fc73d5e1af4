package load

import (
	"fmt"
	"net/netip"
	"slices"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Targets names the processes that a run sends to and watches.
type Targets struct {
	Routers  []RouterTarget  `json:"routers"`
	Backends []BackendTarget `json:"backends,omitempty"`
}

// RouterTarget is a router that takes requests.
type RouterTarget struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Callers takes requests, and Platform answers metrics; an empty Platform is
	// not watched.
	Callers  string `json:"callers"`
	Platform string `json:"platform,omitempty"`
}

// BackendTarget is a stand-in backend server whose load is sampled.
type BackendTarget struct {
	Name string `json:"name"`
	// Group names the servers that share a mean load: one pool of a failure domain.
	Group   string `json:"group"`
	Address string `json:"address"`
}

// ReadTargets reads and checks a file of targets.
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

// Validate returns every fault of the targets. Only loopback addresses may be
// sent to.
func (t *Targets) Validate() settings.Errors {
	v := &validator{}
	v.check(len(t.Routers) > 0, "routers", "at least one is needed")
	for i, router := range t.Routers {
		v.loopback(fmt.Sprintf("routers[%d].callers", i), router.Callers)
		if router.Platform != "" {
			v.loopback(fmt.Sprintf("routers[%d].platform", i), router.Platform)
		}
	}
	for i, backend := range t.Backends {
		v.loopback(fmt.Sprintf("backends[%d].address", i), backend.Address)
	}
	return v.errs
}

func (v *validator) loopback(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		v.errs = append(v.errs, api.FieldErrorf(api.CodeLoadMixInvalid, field, "not an IP address and port: %q", address))
		return
	}
	v.check(parsed.Addr().IsLoopback(), field, "not a loopback address: %q", address)
}

// domains returns the failure domains of the routers in order.
func (t *Targets) domains() []string {
	var out []string
	for _, router := range t.Routers {
		out = append(out, router.FailureDomain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// inDomain returns the routers of a failure domain.
func (t *Targets) inDomain(domain string) []RouterTarget {
	var out []RouterTarget
	for _, router := range t.Routers {
		if router.FailureDomain == domain {
			out = append(out, router)
		}
	}
	return out
}
