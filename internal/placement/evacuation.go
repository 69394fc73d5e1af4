package placement

import (
	"slices"
	"time"
)

// SetEvacuated replaces the failure domains whose servers take no requests of any kind: no first or
// later attempt, trial or probe. Requests in progress there end undisturbed, and other servers may
// still copy prompt parts from them. The pool keeps domains.
func (p *Pool) SetEvacuated(domains []string, now time.Time) {
	var returned []string
	for id, s := range p.evacuated {
		if !slices.Contains(domains, s.Domain) {
			returned = append(returned, id)
		}
	}
	p.evacuatedDomains = domains
	p.SetServers(p.listed, now)
	if len(returned) == 0 || p.onReturn == nil {
		return
	}
	slices.Sort(returned)
	servers := make([]*Server, 0, len(returned))
	for _, id := range returned {
		if s := p.byID[id]; s != nil {
			servers = append(servers, s)
		}
	}
	p.onReturn(servers, now)
}

// OnReturn sets the function that SetEvacuated calls, before any request is placed, with the listed
// servers of domains whose evacuation has ended. Such servers had no traffic, so they may warm up.
func (p *Pool) OnReturn(returned func(servers []*Server, now time.Time)) { p.onReturn = returned }

// Evacuated returns the number of listed servers that take no requests because their failure domain
// is evacuated.
func (p *Pool) Evacuated() int { return len(p.evacuated) }
