package gateway

import (
	"context"
	"time"

	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/placement"
)

// probeTarget is an unreachable server that is due for a probe.
type probeTarget struct {
	*placement.Server
	// id and address are copies: the pool's mutex guards the fields of Server.
	id, address string
}

// serversToProbe returns the unreachable servers that are due for a probe.
func (p *pool) serversToProbe(now time.Time) (targets []probeTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers.ServersToProbe(now) {
		targets = append(targets, probeTarget{Server: s, id: s.ID, address: s.Address})
	}
	return targets
}

// probe opens connections to unreachable servers. It puts no request at risk and costs
// the server no work.
func (g *Gateway) probe(ctx context.Context, now time.Time) {
	for _, p := range g.pools.list() {
		for _, target := range p.serversToProbe(now) {
			go func() {
				if err := g.client.Probe(ctx, target.address); err != nil {
					p.recordConnectFailure(target.Server)
					return
				}
				g.log.Info().Str("server", target.id).Str("address", target.address).Msg("connection to server restored")
				p.recordConnectSuccess(target.Server)
			}()
		}
	}
}

// isServerDown opens a connection to the server of a lease and reports whether nothing accepts it, which it
// records.
func (l *lease) isServerDown(ctx context.Context, client *backend.Client) bool {
	if err := client.Probe(ctx, l.address); !backend.IsServerDown(err) {
		return false
	}
	l.pool.recordConnectFailure(l.Server)
	return true
}
