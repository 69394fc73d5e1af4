package placement

import (
	"slices"
	"time"
)

// SetEvacuated replaces the failure domains whose servers take no requests of any kind: no first or
// later attempt, trial or probe. Requests in progress there end undisturbed, and other servers may
// still copy prompt parts from them. returned are domains whose evacuation was withdrawn since the
// last call, also those that were never evacuated here because the router did not know of it. The
// pool keeps domains.
func (p *Pool) SetEvacuated(domains, returned []string, now time.Time) {
	for _, s := range p.evacuated {
		if !slices.Contains(domains, s.Domain) && !slices.Contains(returned, s.Domain) {
			returned = append(slices.Clone(returned), s.Domain)
		}
	}
	p.evacuatedDomains = domains
	p.SetServers(p.listed, now)
	if p.onReturn == nil {
		return
	}
	var servers []*Server
	for _, s := range p.servers {
		if slices.Contains(returned, s.Domain) {
			servers = append(servers, s)
		}
	}
	if len(servers) > 0 {
		p.onReturn(servers, now)
	}
}

// OnReturn sets the function that SetEvacuated calls, before any request is placed, with the listed
// servers of domains whose evacuation has ended. Such servers had no traffic, so they may warm up.
func (p *Pool) OnReturn(returned func(servers []*Server, now time.Time)) { p.onReturn = returned }

// Evacuated returns the number of listed servers that take no requests because their failure domain
// is evacuated.
func (p *Pool) Evacuated() int { return len(p.evacuated) }
