package gateway

import (
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// SetEvacuated replaces the failure domains whose servers receive no requests. returned are those
// whose evacuation was withdrawn since the last call.
func (g *Gateway) SetEvacuated(domains, returned []string) { g.pools.setEvacuated(domains, returned) }

// setEvacuated applies the evacuated domains to all pools and to those that are created later.
func (p *pools) setEvacuated(domains, returned []string) {
	p.mu.Lock()
	p.recordReturned(domains, returned, time.Now())
	p.evacuated = domains
	p.mu.Unlock()
	for _, found := range p.list() {
		found.mu.Lock()
		now := time.Now()
		found.servers.SetEvacuated(domains, returned, now)
		found.serveQueued(now)
		found.mu.Unlock()
	}
}

// recordReturned records which domains have returned when domains replace the evacuated ones; mu is
// held.
func (p *pools) recordReturned(domains, returned []string, now time.Time) {
	for _, domain := range slices.Concat(p.evacuated, returned) {
		p.returnedAt[domain] = now
	}
	for _, domain := range domains {
		delete(p.returnedAt, domain)
	}
}

// checkNotEmpty returns an error if the pool has no server that may take a request:
// CodeDomainEvacuated if evacuations are among the reasons, otherwise CodeNoBackendServer; mu is
// held.
func (p *pool) checkNotEmpty(now time.Time) error {
	if p.servers.Size() > 0 {
		return nil
	}
	leaving, _ := p.servers.Withdrawn(now)
	if evacuated := p.servers.Evacuated(); evacuated > 0 {
		return api.Errorf(api.CodeDomainEvacuated, "the pool has no ready server; %d are in evacuated failure domains, %d have stated that they are leaving", evacuated, leaving)
	}
	return api.Errorf(api.CodeNoBackendServer, "the pool has no ready server; %d have stated that they are leaving", leaving)
}

// refuseEvacuated ends the wait of all queued requests if the servers that are left are in
// evacuated domains: an evacuation lasts for longer than a request may wait. mu is held.
func (p *pool) refuseEvacuated() {
	if p.servers.Size() > 0 || p.servers.Evacuated() == 0 {
		return
	}
	for _, w := range slices.Clone(p.queue) {
		p.queue.remove(w)
		w.granted <- grant{}
	}
}

// evacuatedServers returns how many servers are in evacuated failure domains.
func (g *Gateway) evacuatedServers() (count int) {
	for _, p := range g.pools.list() {
		p.mu.Lock()
		count += p.servers.Evacuated()
		p.mu.Unlock()
	}
	return count
}
