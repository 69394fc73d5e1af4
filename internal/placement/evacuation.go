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

// inUseShare returns the share of the listed servers that are in no evacuated domain. The load bound is
// relative to the mean of all servers: without evacuated ones the mean rises, and with it the excess of
// the most loaded server over all servers' mean.
func (p *Pool) inUseShare() float64 {
	return float64(len(p.servers)) / float64(max(1, len(p.servers)+len(p.evacuated)))
}

// Evacuated returns the number of listed servers that take no requests because their failure domain
// is evacuated.
func (p *Pool) Evacuated() int { return len(p.evacuated) }
