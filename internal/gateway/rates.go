package gateway

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// SetPosition records this router's place among the routers that share the rates of servers.
func (g *Gateway) SetPosition(position ratelimit.Position) { g.pools.setPosition(position) }

// TakeRateStatements returns what servers stated in answers about their rates since the last
// call, by the servers' hashes: those of servers that limit their rate, or did until some seconds
// ago.
func (g *Gateway) TakeRateStatements() map[uint64]ratelimit.Statement {
	out := make(map[uint64]ratelimit.Statement)
	for _, p := range g.pools.list() {
		p.takeRateReports(out)
	}
	return out
}

// RecordPeerRateStatements records what servers stated to any router about their rates, by the
// servers' hashes.
func (g *Gateway) RecordPeerRateStatements(statements map[uint64]ratelimit.Statement) {
	for _, p := range g.pools.list() {
		for _, news := range p.recordPeerRates(statements) {
			g.logRate(news.server, news.Statement, "router")
		}
	}
}

// recordRate records what an answer states about the server's rate and its warm-up.
func (c *call) recordRate(lease *lease, answer Answer) {
	lease.recordWarming(answer.Warming)
	if !answer.RateStated {
		return
	}
	statement := answer.Rate
	statement.StatedAt = time.Now()
	if lease.recordRate(statement) {
		c.gateway.logRate(rateServer{id: lease.id, address: lease.address}, statement, "answer")
	}
}

// rateServer identifies a server in a log line about its rate.
type rateServer struct{ id, address string }

func (g *Gateway) logRate(server rateServer, s ratelimit.Statement, source string) {
	line := g.log.Info().Str("server", server.id).Str("address", server.address).Str("source", source)
	if s.Limited {
		line.Float64("requestsPerSecond", s.PerSecond).Msg("backend server limits its request rate")
		return
	}
	line.Msg("backend server no longer limits its request rate")
}

// setPosition applies the router's place to all pools and to those that are created later.
func (p *pools) setPosition(position ratelimit.Position) {
	p.mu.Lock()
	if p.position.Count == 0 {
		p.positionedAt = time.Now()
	}
	p.position = position
	p.mu.Unlock()
	for _, found := range p.list() {
		found.mu.Lock()
		found.servers.SetPosition(position, time.Now())
		found.mu.Unlock()
	}
}

func (p *pool) takeRateReports(out map[uint64]ratelimit.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash, statement := range p.servers.TakeRateReports() {
		out[hash] = statement
	}
}

// rateNews is a statement that changes whether a server limits its rate.
type rateNews struct {
	server rateServer
	ratelimit.Statement
}

func (p *pool) recordPeerRates(statements map[uint64]ratelimit.Statement) (news []rateNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash, statement := range statements {
		s, isNews := p.servers.RecordPeerRate(hash, statement)
		if isNews {
			news = append(news, rateNews{rateServer{id: s.ID, address: s.Address}, statement})
		}
	}
	if len(news) > 0 {
		p.grantQueued(time.Now())
	}
	return news
}

// recordRate records what the server stated about its rate, and reports whether that changes
// whether it limits its rate.
func (l *lease) recordRate(statement ratelimit.Statement) (isNews bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	isNews = l.pool.servers.RecordRate(l.hash, statement)
	if isNews {
		l.pool.refuseQueued(statement.StatedAt)
	}
	return isNews
}

// limited returns how many servers limit their rate, and for how many of them the router's share
// is used up.
func (p *pool) limited() (limited, usedUp int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers.Limited(time.Now())
}
