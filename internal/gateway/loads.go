package gateway

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/placement"
)

// takeLoadReports adds to out the loads that servers reported in answers since the last call.
func (p *pool) takeLoadReports(out map[uint64]fleetsync.ServerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash, load := range p.servers.TakeLoadReports() {
		out[hash] = fleetsync.ServerLoad{Requests: load.Running + load.Waiting, ReportedAt: load.At}
	}
}

// recordPeerLoads records loads that servers reported to other routers.
func (p *pool) recordPeerLoads(loads map[uint64]fleetsync.ServerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash, load := range loads {
		p.servers.RecordPeerLoad(hash, placement.Load{Running: load.Requests, At: load.ReportedAt})
	}
	p.grantQueued(time.Now())
}
