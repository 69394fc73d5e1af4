package fleetsync

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// mergeReport merges a follower's report, and returns a response with the follower's numbering.
func (p *publisher) mergeReport(request *fleetpb.ReportRequest, now time.Time) *fleetpb.ReportResponse {
	p.loads.merge(request.GetLoads(), now)
	p.coordinator.offer(request.GetSlotAddress(), now)
	from := origin{relation: relationFollower, follower: request.GetInstance()}
	p.recordStatements(fromRateStatements(request.GetStatements(), now), from, now)
	p.mu.Lock()
	before := p.subtrees.Sum(relay.Applied{}, now).Routers
	p.subtrees.Record(request.GetInstance(), fromSubtree(request.GetSubtree()), now)
	isNews := p.subtrees.Sum(relay.Applied{}, now).Routers != before
	numbering := p.subtrees.Part(p.numbering(now), request.GetInstance(), now)
	p.mu.Unlock()
	if isNews {
		p.onReportNews()
	}
	return &fleetpb.ReportResponse{Numbering: toNumbering(numbering)}
}

// recordStatements merges statements and forwards what is news.
func (p *publisher) recordStatements(received map[uint64]ratelimit.Statement, from origin, now time.Time) {
	newer, isNews := p.statements.merge(received, from, now)
	if len(newer) > 0 && from != originSelf && p.onStatements != nil {
		p.onStatements(newer)
	}
	if !isNews {
		return
	}
	p.mu.Lock()
	p.notifyChanged()
	p.mu.Unlock()
	if from != originUpstream {
		p.onReportNews()
	}
}

// toNumbering returns the message for a numbering, or nil if it is unknown.
func toNumbering(n relay.Numbering) *fleetpb.Numbering {
	if !n.IsValid() {
		return nil
	}
	return &fleetpb.Numbering{First: uint32(n.First), Length: uint32(n.Length), Count: uint32(n.Count)}
}

// fromNumbering returns the numbering of a message, or the zero value if the message has none or
// an invalid one.
func fromNumbering(message *fleetpb.Numbering) relay.Numbering {
	n := relay.Numbering{First: int(message.GetFirst()), Length: int(message.GetLength()), Count: int(message.GetCount())}
	if !n.IsValid() {
		return relay.Numbering{}
	}
	return n
}
