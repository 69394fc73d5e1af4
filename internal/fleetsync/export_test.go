package fleetsync

import (
	"context"
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
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

// Revision returns the revision of the registry.
func (p *publisher) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Revision()
}

// SequenceOf returns the sequence number of a server's record, or 0.
func (p *publisher) SequenceOf(id string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, _ := p.table.Get(id)
	return e.Sequence
}

// Admit admits a router as if it had subscribed. The router leaves when release is called.
func (p *publisher) Admit(instance string) (release func()) {
	verdict := p.decide(&fleetpb.FollowRequest{Instance: instance})
	return func() { p.release(verdict.ID) }
}

// DifferingRecords calls differingRecords.
func (p *publisher) DifferingRecords(request *fleetpb.FollowRequest, now time.Time) ([]registry.Entry, []uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.differingRecords(request.GetBucketDigests(), now)
}

// StatementCache is the cache of statements on rate limits.
type StatementCache = statementCache

// Origins of statements.
var (
	OriginSelf     = originSelf
	OriginUpstream = originUpstream
)

// OriginFollower returns the origin of a follower's statements.
func OriginFollower(instance string) origin {
	return origin{relation: relationFollower, follower: instance}
}

// NewStatementCache returns an empty cache.
func NewStatementCache() *StatementCache { return newStatementCache() }

// Merge calls merge.
func (c *statementCache) Merge(received map[uint64]ratelimit.Statement, from origin, now time.Time) (map[uint64]ratelimit.Statement, bool) {
	return c.merge(received, from, now)
}

// Changes calls changes.
func (c *statementCache) Changes(cursor statementCursor, newsOnly bool, to origin, now time.Time) (map[uint64]ratelimit.Statement, statementCursor) {
	return c.changes(cursor, newsOnly, to, now)
}

// StatementCursor is a position in a cache.
type StatementCursor = statementCursor

// MaxStatements is the capacity of a cache.
const MaxStatements = maxStatements

// ToRateStatements and FromRateStatements convert statements to messages and back; ToNumbering
// converts a numbering.
var (
	ToRateStatements   = toRateStatements
	FromRateStatements = fromRateStatements
	ToNumbering        = toNumbering
)

// KnowsRouters calls knowsRouters.
func (s *Service) KnowsRouters(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knowsRouters(now)
}

// SentLiveness holds the announcement times that a replica was last sent.
type SentLiveness = sentLiveness

// Due calls due.
func (t sentLiveness) Due(announcedAt map[uint64]time.Time, now time.Time) map[uint64]time.Time {
	return t.due(announcedAt, now)
}

// Record calls record.
func (t sentLiveness) Record(sent, announcedAt map[uint64]time.Time) { t.record(sent, announcedAt) }

// ShareRequestTo returns the next request with a digest to another replica.
func (s *Service) ShareRequestTo(address string) *fleetpb.ShareRequest {
	for _, p := range s.otherReplicas() {
		if p.client.Address() == address {
			request, _, _, _ := s.newShareRequest(p, true)
			return request
		}
	}
	return nil
}

// ExpireSelections makes the next report or digest select the loads anew.
func (s *Service) ExpireSelections() {
	for _, selection := range []*loadSelection{&s.routerSelection, &s.replicaSelection} {
		selection.mu.Lock()
		selection.selectedAt = time.Time{}
		selection.mu.Unlock()
	}
}

// Expire calls expire.
func (s *Service) Expire(now time.Time) { s.expire(now) }

// ShareAllWithDigest sends all other replicas a digest.
func (s *Service) ShareAllWithDigest(ctx context.Context) int { return s.shareAll(ctx, true) }

// PoolLoads holds the sums of the loads that other processes have sent.
type PoolLoads = poolLoads

// NewPoolLoads calls newPoolLoads.
var NewPoolLoads = newPoolLoads

// Record calls record.
func (p *poolLoads) Record(sender string, loads map[string]PoolLoad, now time.Time) {
	p.record(sender, loads, now)
}

// Senders returns the number of senders whose sums are kept.
func (p *poolLoads) Senders() int { return len(p.bySender) }

// ByPoolCapacity returns for how many loads byPool allocates memory.
func (p *publisher) ByPoolCapacity(loads map[uint64]ServerLoad) (capacity int) {
	var list []hashedLoad
	for hash, load := range loads {
		list = append(list, hashedLoad{hash: hash, requests: load.Requests})
	}
	for _, grouped := range p.byPool(list) {
		capacity += cap(grouped)
	}
	return capacity
}

// LoadSelection is the selection of the loads of a large pool.
type LoadSelection struct{ selection loadSelection }

// Choose returns the selected loads, of a pool whose servers are those of hashes in this order. The load
// of the server with the hash h was reported h ms before the newest.
func (l *LoadSelection) Choose(hashes []uint64, requests map[uint64]int, now time.Time) map[uint64]ServerLoad {
	loads := make([]hashedLoad, 0, len(hashes))
	for _, hash := range hashes {
		loads = append(loads, hashedLoad{hash, requests[hash], time.Duration(hash) * time.Millisecond})
	}
	l.selection.choose(map[string][]hashedLoad{"pool-a": loads}, now)
	return l.selection.loads
}
