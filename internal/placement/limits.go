package placement

import (
	"cmp"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// SetPosition records this router's place among the routers that share the rates of servers.
func (p *Pool) SetPosition(position ratelimit.Position, now time.Time) {
	p.limits.SetPosition(position, now)
}

// RecordRate records what an incarnation's answer to this router stated about its rate, and
// reports whether it changes whether the server limits its rate.
func (p *Pool) RecordRate(incarnation uint64, s ratelimit.Statement) (isNews bool) {
	p.replaceRates(incarnation, s)
	return p.limits.RecordAnswer(incarnation, s)
}

// RecordPeerRate records what an incarnation stated to another router, and reports the server
// and whether it changes whether the server limits its rate. It ignores an incarnation that is
// not listed.
func (p *Pool) RecordPeerRate(incarnation uint64, s ratelimit.Statement) (server *Server, isNews bool) {
	server = p.byHash[incarnation]
	if server == nil {
		return nil, false
	}
	p.replaceRates(incarnation, s)
	return server, p.limits.RecordPeer(incarnation, s)
}

// replaceRates replaces the older limits of the other incarnations at an incarnation's address: the same
// process has named them.
func (p *Pool) replaceRates(incarnation uint64, s ratelimit.Statement) {
	server := p.byHash[incarnation]
	if server == nil {
		return
	}
	for _, hash := range server.sameAddress {
		if hash != incarnation && p.limits.IsLimited(hash) {
			p.limits.RecordPeer(hash, s)
		}
	}
}

// TakeRateReports returns the statements about rates that this router received in answers since
// the last call, by incarnation.
func (p *Pool) TakeRateReports() map[uint64]ratelimit.Statement { return p.limits.TakeReports() }

// keepMargin is the share of a server's keys around the part that its rate admits whose keys stay
// where they were sent last: a prompt that moves has to be processed or copied again.
const keepMargin = 0.1

// demandPerSecond returns the rate of the router's requests per server.
func (p *Pool) demandPerSecond(now time.Time) float64 {
	return p.sends.perSecond(now) / float64(max(1, len(p.servers)))
}

// unlimited returns the servers that do not limit their rate, or all servers if each one does.
func (p *Pool) unlimited(now time.Time) []*Server {
	if !p.limits.HasLimits(now) {
		return p.servers
	}
	var out []*Server
	for _, s := range p.servers {
		if !p.isLimited(s) {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return p.servers
	}
	return out
}

// withinRates returns the candidates for a prompt without the servers that limit their rate,
// unless no other candidate is left: a limited server serves only those of its own keys that its
// rate admits, always the same ones, so that few prompts move.
func (p *Pool) withinRates(candidates []*Server, request Request, now time.Time) []*Server {
	if !p.limits.HasLimits(now) {
		return candidates
	}
	key, _ := request.Key()
	home := p.homeServer(candidates, request, now)
	out := make([]*Server, 0, len(candidates))
	for _, s := range candidates {
		share, limited := p.keyShare(s, now)
		if !limited || s == home && p.admitsKey(s, share, key, now) {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}

// homeServer returns the server that ranks first for the key among the candidates and those that
// are no candidates because this router's share of their rate is used up.
func (p *Pool) homeServer(candidates []*Server, request Request, now time.Time) *Server {
	key, _ := request.Key()
	class := p.classOf(request)
	home := slices.MaxFunc(candidates, func(a, b *Server) int { return cmp.Compare(a.rank(key, class), b.rank(key, class)) })
	for _, s := range p.servers {
		if s.rank(key, class) <= home.rank(key, class) || slices.Contains(request.Exclude, s.ID) {
			continue
		}
		if _, blocked := p.rateAvailableAt(s, now); blocked {
			home = s
		}
	}
	return home
}

// admitsKey reports whether the key belongs to the share, from 0 to 1, of a limited server's keys that
// the router sends to it.
func (p *Pool) admitsKey(s *Server, share float64, key uint64, now time.Time) bool {
	if share == 0 {
		// It is this router's turn to ask the server whether it still limits its rate.
		return true
	}
	if p.history.lastServer(key, now) == s.ID {
		share += keepMargin
	} else if share < 1 {
		share -= keepMargin
	}
	const buckets = 1 << 16
	return float64(mix(s.idHash^s.Hash, key)%buckets)/buckets < share
}
