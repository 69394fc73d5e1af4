package placement

import (
	"slices"
	"time"
)

// SetEvacuated replaces the failure domains whose servers take no requests of any kind: no first or
// later attempt, trial or probe. Requests in progress there end undisturbed, and other servers may
// still copy prompt parts from them. returned are domains whose evacuation was withdrawn since the
// last call, also those that were never evacuated here because the router did not know of it. The
// pool keeps domains. Returned servers had no traffic, so they count as warming up.
func (p *Pool) SetEvacuated(domains, returned []string, now time.Time) {
	for _, s := range p.evacuated {
		if !slices.Contains(domains, s.Domain) && !slices.Contains(returned, s.Domain) {
			returned = append(slices.Clone(returned), s.Domain)
		}
	}
	p.evacuatedDomains = domains
	p.SetServers(p.listed, now)
	for _, domain := range returned {
		p.MarkDomainWarming(domain, now)
	}
}

// IsEvacuated reports whether the server's failure domain is evacuated.
func (p *Pool) IsEvacuated(s *Server) bool { return slices.Contains(p.evacuatedDomains, s.Domain) }

// Evacuated returns the number of listed servers that take no requests because their failure domain
// is evacuated.
func (p *Pool) Evacuated() int { return len(p.evacuated) }
