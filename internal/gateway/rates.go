package gateway

import "peridotwinch.example/peridotwinch/internal/ratelimit"

// TakeRateStatements returns the statements on rate limits that were received in answers since
// the last call, by the servers' hashes.
func (g *Gateway) TakeRateStatements() map[uint64]ratelimit.Statement { return nil }

// RecordPeerRateStatements records the statements that other routers received, by the servers'
// hashes.
func (g *Gateway) RecordPeerRateStatements(map[uint64]ratelimit.Statement) {}

// SetPosition records the position of this router among all routers.
func (g *Gateway) SetPosition(ratelimit.Position) {}
