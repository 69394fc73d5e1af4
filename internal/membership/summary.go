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

// loadStep is the share of a pool's slots by which its load must change before a new
// summary is sent.
const loadStep = 1.0 / 16

// PoolSummary is the summary of a pool in another failure domain.
type PoolSummary struct {
	Domain  string
	Pool    api.Ref
	Servers int
	Slots   int
	Load    int
	// Callers lists the callers' addresses of the failure domain's routers.
	Callers []string
}

// outgoingSummary holds the last summary of this failure domain for others.
type outgoingSummary struct{ last *memberpb.DomainSummary }

// update returns the summary for the pools, which are sorted by name. It returns the
// last summary if no pool has changed, or only loads by less than a step.
func (o *outgoingSummary) update(domain string, pools []*memberpb.PoolSummary) *memberpb.DomainSummary {
	if o.last == nil || hasChanged(o.last.GetPools(), pools) {
		o.last = &memberpb.DomainSummary{FailureDomain: domain, Pools: pools, Version: versionOf(domain, pools)}
	}
	return o.last
}

func hasChanged(before, after []*memberpb.PoolSummary) bool {
	return !slices.EqualFunc(before, after, func(a, b *memberpb.PoolSummary) bool {
		if a.GetPool() != b.GetPool() || a.GetServers() != b.GetServers() || a.GetSlots() != b.GetSlots() {
			return false
		}
		difference := max(a.GetLoad(), b.GetLoad()) - min(a.GetLoad(), b.GetLoad())
		return float64(difference) < max(loadStep*float64(b.GetSlots()), 1)
	})
}

// versionOf returns a hash of a summary. It is never zero, because zero stands for no
// accepted version.
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

// summary returns the summary of this failure domain for others.
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

// summarySource is the kind of router that sent a summary.
type summarySource int

const (
	// fromDomain is a router of the summarized failure domain itself.
	fromDomain summarySource = iota
	// fromPeer is a router of this failure domain that relays the summary.
	fromPeer
)

// domainSummary is the newest summary of a failure domain.
type domainSummary struct {
	receivedAt time.Time
	source     summarySource
	summary    *memberpb.DomainSummary
}

// recordSummaries records summaries of other failure domains and returns the unknown
// versions.
func (s *Service) recordSummaries(now time.Time, summaries *memberpb.Summaries, source summarySource) []uint64 {
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
	for domain, stored := range s.summaries {
		if stored.summary.GetVersion() == version {
			s.summaries[domain] = domainSummary{receivedAt: now, source: source, summary: stored.summary}
			return true
		}
	}
	return false
}

// relayedSummary is a summary of another failure domain that a peer has accepted.
type relayedSummary struct {
	version    uint64
	receivedAt time.Time
}

// summariesFor returns the summaries to relay to a router of this failure domain. It
// relays only summaries that this router received from the summarized failure domain
// itself, so that they do not circulate.
func (s *Service) summariesFor(peer *peerLink) *memberpb.Summaries {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out *memberpb.Summaries
	for domain, stored := range s.summaries {
		relayed := peer.relayed[domain]
		if stored.source != fromDomain || !stored.receivedAt.After(relayed.receivedAt) {
			continue
		}
		if out == nil {
			out = &memberpb.Summaries{}
		}
		appendSummary(out, stored.summary, relayed.version)
	}
	return out
}

// recordRelayed records the summaries that a router of this failure domain has
// accepted.
func (s *Service) recordRelayed(peer *peerLink, sent *memberpb.Summaries, unknown []uint64) {
	if sent == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := slices.Clone(sent.GetUnchanged())
	for _, summary := range sent.GetChanged() {
		versions = append(versions, summary.GetVersion())
	}
	for domain, stored := range s.summaries {
		version := stored.summary.GetVersion()
		switch {
		case slices.Contains(unknown, version):
			delete(peer.relayed, domain)
		case slices.Contains(versions, version):
			peer.relayed[domain] = relayedSummary{version: version, receivedAt: stored.receivedAt}
		}
	}
}

// Summaries returns the unexpired summaries of other failure domains' pools, by domain
// and pool.
func (s *Service) Summaries() []PoolSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []PoolSummary
	for _, remote := range s.remotes {
		stored := s.summaries[remote.domain]
		if now.Sub(stored.receivedAt) > MaxSummaryAge {
			continue
		}
		callers := remote.callers()
		for _, pool := range stored.summary.GetPools() {
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
