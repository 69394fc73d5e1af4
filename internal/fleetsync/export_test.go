package fleetsync

import (
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// IsSynced reports whether the service accepts router streams as far as synchronization goes.
func (s *Service) IsSynced() bool { return s.isSynced() }

// StateOf returns the state of a server, or 0 if the registry does not have the server.
func (p *publisher) StateOf(id string) registry.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, _ := p.table.Get(id)
	return e.State
}

// Admit admits a router as if it had subscribed.
func (p *publisher) Admit(instance string) {
	p.decide(&fleetpb.FollowRequest{Instance: instance})
}
