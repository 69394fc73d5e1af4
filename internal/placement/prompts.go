package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/internal/prefill"
)

// classSalt makes a server's class independent of its rank for any key.
const classSalt = 0x5bd1e9955bd1e995

// longDensity is the share of the long prompts that rank first on a server of short prompts and are
// sent to it. With 0, long prompts use only a part of the fleet's prefix caches: a tenth to a third
// more tokens were prefilled. With 0.7, twice as many short prompts were late as with 0.5
// (decision 615).
const longDensity = 0.5

// overflowFactor is the multiple of the pool's load bound up to which a server is used that has the
// load usual for its part of the pool. Servers of short prompts have more requests each; with the
// pool's bound and a part of a quarter, half of the short prompts moved at three times the mean
// load of the simulation. With 1.6, a part with
// almost all of the load would have kept it.
const overflowFactor = 1.3

// Tokens returns the number of tokens of the prompt.
func (r *Request) Tokens() (sum int) {
	for _, part := range r.Parts {
		sum += part.Tokens
	}
	return sum
}

// promptClasses separates the long prompts of a pool from its short ones.
type promptClasses struct {
	// balance is nil if prompts are not separated.
	balance *prefill.Balance
	// servers is the list for which Server.servesShort was computed, with shortServers of them.
	servers      []*Server
	shortServers int
}

// SeparatePrompts makes long and short prompts prefer different servers (decision 615). It has
// no effect on a pool without a prefix cache.
func (p *Pool) SeparatePrompts() {
	if p.hasPrefixCache {
		p.classes.balance = &prefill.Balance{}
	}
}

// PromptClasses returns the number of servers that short prompts prefer and the number of tokens
// from which a prompt is long; both are 0 if prompts are not separated.
func (p *Pool) PromptClasses() (shortServers, boundary int) {
	if p.classes.balance == nil {
		return 0, 0
	}
	return p.classes.balance.ShortServers(len(p.servers)), p.classes.balance.Boundary()
}

// classOf returns the class of the request's prompt.
func (p *Pool) classOf(request Request) prefill.Class {
	if p.classes.balance == nil {
		return prefill.ClassNone
	}
	class := p.classes.balance.ClassOf(request.Tokens(), len(p.servers))
	if class != prefill.ClassNone {
		p.classes.divide(p.servers)
	}
	return class
}

// divide selects the servers that short prompts prefer, the same ones on all routers. A server
// that is added or removed changes the class of at most one other.
func (c *promptClasses) divide(servers []*Server) {
	n := c.balance.ShortServers(len(servers))
	if c.shortServers == n && len(c.servers) == len(servers) && &c.servers[0] == &servers[0] {
		return
	}
	c.servers, c.shortServers = servers, n
	byHash := slices.SortedFunc(slices.Values(servers), func(a, b *Server) int {
		return cmp.Compare(mix(a.idHash, classSalt), mix(b.idHash, classSalt))
	})
	for i, s := range byHash {
		s.servesShort = i < n
	}
}

// prefers reports whether prompts with the key and class prefer the server.
func (s *Server) prefers(key uint64, class prefill.Class) bool {
	const buckets = 1 << 16
	switch {
	case class == prefill.ClassNone || s.servesShort == (class == prefill.ClassShort):
		return true
	case class == prefill.ClassLong:
		return float64(mix(s.idHash^classSalt, key)%buckets) < longDensity*buckets
	}
	return false
}

// rank returns the server's rank for prompts with the key and class; the highest is first in
// their order. All servers of the class rank above the others.
func (s *Server) rank(key uint64, class prefill.Class) uint64 {
	rank := mix(s.idHash, key) >> 1
	if s.prefers(key, class) {
		rank |= 1 << 63
	}
	return rank
}

// loadBounds are the mean load of the servers, to which old load reports decay, and the load above
// which a server is passed over: of the servers that long prompts prefer, then of those that short
// ones prefer.
type loadBounds struct{ mean, bound [2]float64 }

// loadBounds returns false if too few loads are known.
func (p *Pool) loadBounds(class prefill.Class, now time.Time) (b loadBounds, known bool) {
	servers := p.unlimited(now)
	mean, known := p.meanLoad(servers, now)
	bound := loadBoundFactor*mean + loadAllowance
	b = loadBounds{mean: [2]float64{mean, mean}, bound: [2]float64{bound, bound}}
	if class == prefill.ClassNone || !known {
		return b, known
	}
	var parts [2][]*Server
	for _, s := range servers {
		parts[s.part()] = append(parts[s.part()], s)
	}
	for i, part := range parts {
		if partMean, partKnown := p.meanLoad(part, now); partKnown {
			b.mean[i] = partMean
			b.bound[i] = math.Min(loadBoundFactor*partMean+loadAllowance, overflowFactor*bound)
		}
	}
	return b, true
}

// of returns the mean and the bound for the server.
func (b *loadBounds) of(s *Server) (mean, bound float64) { return b.mean[s.part()], b.bound[s.part()] }

// part returns the index of the server's part of the pool.
func (s *Server) part() int {
	if s.servesShort {
		return 1
	}
	return 0
}
