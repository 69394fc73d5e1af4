package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxUnboundedPool is the number of servers up to which all unreachable servers of a pool are probed
	// each probeInterval: each server's own probe shows when it is back after its failure domain.
	maxUnboundedPool = 500
	// probeBurst and probesPerSecond bound the probes of a larger pool. Without a bound, a router with
	// 1,000 unreachable servers opens 2,500 connections per second, which delays its own requests
	// and the servers, so that more of them look unreachable.
	probeBurst      = 64
	probesPerSecond = 40.0
	// domainSampleSize is the number of servers that are probed per probeInterval in an unreachable
	// failure domain, beside those that have refused a connection: the first answer of any server
	// ends the state.
	domainSampleSize = 8
	// minIgnoredSilent and minIgnoredShare are the number of servers of a pool, and their share,
	// from which silence is ignored if no failure domain has most of the silent servers: control
	// is then overloaded or not running. Fewer servers can fail together.
	minIgnoredSilent = 200
	minIgnoredShare  = 0.05
	// maxDomainShare is the share of the silent servers that one failure domain has if it is lost
	// or cut off from control.
	maxDomainShare = 0.8
	// maxTwoDomainsShare is the share of the silent servers that two failure domains have if both are
	// lost, and minOtherDomainsShare the share of the servers that the other domains need for this to count:
	// with fewer, they may have few silent servers by chance.
	maxTwoDomainsShare   = 0.95
	minOtherDomainsShare = 0.1
)

// reach is what a router knows about the reachability of a pool's servers.
type reach struct {
	domains map[string]*reachability
	// probesLeft is the number of probes that may be sent at refilledAt.
	probesLeft float64
	refilledAt time.Time
	// ignoredSilence is the number of servers whose silence is ignored.
	ignoredSilence int
}

func newReach() reach { return reach{domains: make(map[string]*reachability), probesLeft: probeBurst} }

// IgnoredSilence returns the number of servers that control lists as silent and that are used all
// the same, because too many are silent at the same time.
func (p *Pool) IgnoredSilence() int { return p.reach.ignoredSilence }

// withoutIgnoredSilence returns the servers without their silence if it is ignored. The router's own
// connections still show which servers are unreachable.
func (p *Pool) withoutIgnoredSilence(infos []ServerInfo) []ServerInfo {
	p.reach.ignoredSilence = 0
	if len(infos) <= maxUnboundedPool {
		return infos
	}
	silent, servers, silentIn := 0, make(map[string]int), make(map[string]int)
	for i := range infos {
		servers[infos[i].Domain]++
		if infos[i].Silent {
			silent++
			silentIn[infos[i].Domain]++
		}
	}
	if silent < minIgnoredSilent || float64(silent) < minIgnoredShare*float64(len(infos)) || areDomainsLost(servers, silentIn, len(infos), silent) {
		return infos
	}
	p.reach.ignoredSilence = silent
	out := slices.Clone(infos)
	for i := range out {
		out[i].Silent = false
	}
	return out
}

// areDomainsLost reports whether one failure domain has most of the silent servers, or two have nearly all
// of them. servers and silentIn are the numbers by domain, all and silent their sums.
func areDomainsLost(servers, silentIn map[string]int, all, silent int) bool {
	domains := slices.SortedFunc(maps.Keys(servers), func(a, b string) int { return cmp.Or(silentIn[b]-silentIn[a], cmp.Compare(a, b)) })
	if float64(silentIn[domains[0]]) > maxDomainShare*float64(silent) {
		return true
	}
	if len(domains) <= 2 {
		return false
	}
	inTwo, others := silentIn[domains[0]]+silentIn[domains[1]], all-servers[domains[0]]-servers[domains[1]]
	return float64(inTwo) >= maxTwoDomainsShare*float64(silent) && float64(others) >= minOtherDomainsShare*float64(all)
}

// ServersToProbe returns the unreachable servers that are due for a probe of whether
// they are reachable again, and counts each as probed. A server is probed at most
// once per probeInterval. In a large pool, those that refused a connection come first, and of several the one
// whose last probe was longest ago.
func (p *Pool) ServersToProbe(now time.Time) []*Server {
	var failed, silent []*Server
	inDomain := make(map[string][]*Server)
	for _, s := range p.servers {
		domainLost := p.reachability(s.Domain).isUnreachable(now)
		awaitsContact := p.awaitsContact(s, now)
		if !domainLost && s.isReachable(now) && !awaitsContact || now.Sub(s.lastProbe) < probeInterval || p.isPaused(s, now) {
			continue
		}
		switch {
		case s.health.connectFailures > 0 || awaitsContact && !s.lostWithDomain:
			failed = append(failed, s)
		case domainLost:
			inDomain[s.Domain] = append(inDomain[s.Domain], s)
		default:
			silent = append(silent, s)
		}
	}
	if len(failed)+len(silent)+len(inDomain) == 0 {
		return nil
	}
	budget, isSmall := p.reach.refill(now), len(p.servers) <= maxUnboundedPool
	if isSmall {
		budget = len(p.servers)
	}
	out := leastRecentlyProbed(failed, budget)
	for domain, servers := range inDomain {
		sample := len(servers)
		if !isSmall {
			sample = min(p.reach.sample(domain, now), budget-len(out))
		}
		out = append(out, leastRecentlyProbed(servers, sample)...)
	}
	out = append(out, leastRecentlyProbed(silent, budget-len(out))...)
	for _, s := range out {
		s.lastProbe = now
	}
	p.reach.probesLeft = max(p.reach.probesLeft-float64(len(out)), 0)
	return out
}

// refill returns how many probes may be sent at now.
func (r *reach) refill(now time.Time) int {
	if !r.refilledAt.IsZero() {
		r.probesLeft = min(probeBurst, r.probesLeft+probesPerSecond*max(now.Sub(r.refilledAt), 0).Seconds())
	}
	r.refilledAt = now
	return int(r.probesLeft)
}

// sample returns how many further servers of an unreachable domain may be probed at now.
func (r *reach) sample(domain string, now time.Time) int {
	d := r.domains[domain]
	if now.Sub(d.sampledAt) < probeInterval {
		return 0
	}
	d.sampledAt = now
	return domainSampleSize
}

// leastRecentlyProbed returns the n servers whose last probes are longest ago.
func leastRecentlyProbed(servers []*Server, n int) []*Server {
	if len(servers) <= n {
		return servers
	}
	slices.SortStableFunc(servers, func(a, b *Server) int { return a.lastProbe.Compare(b.lastProbe) })
	return servers[:max(n, 0)]
}
