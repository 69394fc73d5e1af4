package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
)

// loadStep is the share of a pool's slots by which its load must have moved
// before it is told again.
const loadStep = 1.0 / 16

// PoolSummary is the load of a pool in another failure domain.
type PoolSummary struct {
	Domain  string
	Pool    api.Ref
	Servers int
	Slots   int
	Load    int
	// Callers lists the callers' addresses of the failure domain's routers.
	Callers []string
}

// outgoingSummary is what this failure domain tells others of itself.
type outgoingSummary struct{ told *memberpb.DomainSummary }

// update returns what to tell now that the pools are these, sorted by name: the
// same as before unless they have moved by a step.
func (o *outgoingSummary) update(domain string, pools []*memberpb.PoolSummary) *memberpb.DomainSummary {
	if o.told == nil || hasMoved(o.told.GetPools(), pools) {
		o.told = &memberpb.DomainSummary{FailureDomain: domain, Pools: pools, Version: versionOf(domain, pools)}
	}
	return o.told
}

func hasMoved(before, after []*memberpb.PoolSummary) bool {
	return !slices.EqualFunc(before, after, func(a, b *memberpb.PoolSummary) bool {
		if a.GetPool() != b.GetPool() || a.GetServers() != b.GetServers() || a.GetSlots() != b.GetSlots() {
			return false
		}
		moved := max(a.GetLoad(), b.GetLoad()) - min(a.GetLoad(), b.GetLoad())
		return float64(moved) < max(loadStep*float64(b.GetSlots()), 1)
	})
}

// versionOf hashes a summary; it is never zero.
func versionOf(domain string, pools []*memberpb.PoolSummary) uint64 {
	raw := []byte(domain)
	for _, pool := range pools {
		raw = append(append(raw, 0), pool.GetPool()...)
		raw = binary.BigEndian.AppendUint32(append(raw, 0), pool.GetServers())
		raw = binary.BigEndian.AppendUint32(raw, pool.GetSlots())
		raw = binary.BigEndian.AppendUint32(raw, pool.GetLoad())
	}
	return max(xxhash.Sum64(raw), 1)
}

// summary returns what to tell other failure domains of this one.
func (s *Service) summary(now time.Time) *memberpb.DomainSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Advance(now)
	var pools []*memberpb.PoolSummary
	for _, server := range s.table.Servers() {
		if server.State == api.ServerServing {
			pools = addToPools(pools, &server)
		}
	}
	slices.SortFunc(pools, func(a, b *memberpb.PoolSummary) int { return cmp.Compare(a.GetPool(), b.GetPool()) })
	return s.outgoing.update(s.domain, pools)
}

func addToPools(pools []*memberpb.PoolSummary, server *Server) []*memberpb.PoolSummary {
	i := slices.IndexFunc(pools, func(p *memberpb.PoolSummary) bool { return p.GetPool() == string(server.Pool) })
	if i < 0 {
		pools = append(pools, &memberpb.PoolSummary{Pool: string(server.Pool)})
		i = len(pools) - 1
	}
	pools[i].Servers++
	pools[i].Slots += uint32(server.Slots)
	pools[i].Load += uint32(server.Load)
	return pools
}

// summarySource tells whom a summary came from.
type summarySource int

const (
	// fromDomain is the failure domain itself.
	fromDomain summarySource = iota
	// fromPeer is a router of this failure domain that passes it on.
	fromPeer
)

// domainSummary is the newest summary of a failure domain.
type domainSummary struct {
	receivedAt time.Time
	source     summarySource
	summary    *memberpb.DomainSummary
}

// hearSummaries takes summaries of other failure domains and returns the
// versions that are not known.
func (s *Service) hearSummaries(now time.Time, summaries *memberpb.Summaries, source summarySource) []uint64 {
	for _, summary := range summaries.GetChanged() {
		s.summaries[summary.GetFailureDomain()] = domainSummary{receivedAt: now, source: source, summary: summary}
	}
	var unknown []uint64
	for _, version := range summaries.GetUnchanged() {
		if !s.confirmSummary(now, version, source) {
			unknown = append(unknown, version)
		}
	}
	return unknown
}

func (s *Service) confirmSummary(now time.Time, version uint64, source summarySource) bool {
	for domain, known := range s.summaries {
		if known.summary.GetVersion() == version {
			s.summaries[domain] = domainSummary{receivedAt: now, source: source, summary: known.summary}
			return true
		}
	}
	return false
}

// relayedSummary is what a router of this failure domain was told of another.
type relayedSummary struct {
	version    uint64
	receivedAt time.Time
}

// summariesFor returns what a router of this failure domain has yet to hear of
// the others: only what they told this router themselves, so that nothing goes
// round.
func (s *Service) summariesFor(peer *peerLink) *memberpb.Summaries {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out *memberpb.Summaries
	for domain, known := range s.summaries {
		relayed := peer.relayed[domain]
		if known.source != fromDomain || !known.receivedAt.After(relayed.receivedAt) {
			continue
		}
		if out == nil {
			out = &memberpb.Summaries{}
		}
		addSummary(out, known.summary, relayed.version)
	}
	return out
}

// summariesTaken notes what a router of this failure domain has taken.
func (s *Service) summariesTaken(peer *peerLink, told *memberpb.Summaries, unknown []uint64) {
	if told == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := slices.Clone(told.GetUnchanged())
	for _, summary := range told.GetChanged() {
		versions = append(versions, summary.GetVersion())
	}
	for domain, known := range s.summaries {
		version := known.summary.GetVersion()
		switch {
		case slices.Contains(unknown, version):
			delete(peer.relayed, domain)
		case slices.Contains(versions, version):
			peer.relayed[domain] = relayedSummary{version: version, receivedAt: known.receivedAt}
		}
	}
}

// Summaries returns the fresh summaries of other failure domains' pools, by
// domain and pool.
func (s *Service) Summaries() []PoolSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []PoolSummary
	for _, remote := range s.remotes {
		known := s.summaries[remote.domain]
		if now.Sub(known.receivedAt) > SummaryAge {
			continue
		}
		callers := remote.callers()
		for _, pool := range known.summary.GetPools() {
			out = append(out, PoolSummary{
				Domain: remote.domain, Pool: api.Ref(pool.GetPool()), Callers: callers,
				Servers: int(pool.GetServers()), Slots: int(pool.GetSlots()), Load: int(pool.GetLoad()),
			})
		}
	}
	slices.SortFunc(out, func(a, b PoolSummary) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

func (r *remoteLink) callers() []string {
	var out []string
	for _, router := range r.routers {
		out = append(out, router.callers)
	}
	return out
}
