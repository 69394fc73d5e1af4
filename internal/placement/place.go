// Package placement chooses the backend server of a request from the state that one
// router has: the servers listed by control, the load that servers report with their
// answers, and the router's own requests in flight. It does no I/O, starts no
// goroutine and reads no clock.
package placement

import (
	"math"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/withdrawal"
)

// Server is a backend server with this router's state of it.
type Server struct {
	ServerInfo
	// InFlight is the number of the router's own requests in flight on the server.
	InFlight int

	// Choice is why the server was last chosen, for the log.
	Choice Choice

	load Load
	// loadUnreported means that load was received with an answer and has not been
	// returned by TakeLoadReports yet.
	loadUnreported bool
	sentAt         []time.Time
	health         health
	lastAnswer     time.Time
	lastProbe      time.Time
	idHash         uint64
	addressHash    uint64
	// sameAddress holds the hashes of the incarnations that are listed at the server's
	// address, including its own.
	sameAddress []uint64
	// lostAt is when the server closed a connection early or could not be reached, until
	// the router reaches it again.
	lostAt time.Time
	// lostWithDomain is set if lostAt is the first answer of the server's failure domain after an outage.
	lostWithDomain bool
	// servesShort means that short prompts prefer the server if prompts are separated.
	servesShort bool
}

const (
	// A prompt moves to its next server if the load exceeds loadBoundFactor times
	// the mean load plus loadAllowance requests. The users' platform allows twice
	// the mean plus three. Load reports are a second late: with 1.4 and 2.0 a fleet
	// of 80 routers exceeded that limit for 3.4% of its requests (decision 604).
	loadBoundFactor = 1.2
	loadAllowance   = 1.5
	// maxLoadAge is the age up to which a load report counts toward the mean. Loads
	// are exchanged with control six times in this period, so an older report is
	// stale.
	maxLoadAge = 3 * time.Second
	// loadDecayTime is the time constant with which a reported load decays to the
	// mean. The load peak behind a single prompt lasts some seconds.
	loadDecayTime = 4 * time.Second
	// minKnownLoads is the number of servers with a fresh load report that a mean
	// requires.
	minKnownLoads = 3
	// crossDomainMS is the additional round-trip time in milliseconds of a request
	// to another failure domain; one way takes 4 ms on the users' sites.
	crossDomainMS = 9.0
	// defaultFirstByteMS is the time to the first byte in milliseconds that is
	// assumed while a pool has no measurements.
	defaultFirstByteMS = 20.0
	// slownessThreshold is the ratio of a server's event interval to the median from
	// which the server counts as slow. Servers on shared machines are 2.5 times
	// slower for moments.
	slownessThreshold = 2.0
	// silentGracePeriod is the time after its last answer for which a silent server
	// is still used: about two announcement intervals.
	silentGracePeriod = 3 * time.Second
	// probeInterval is the minimum time between two probes of a server, which only
	// set up a connection. A connection takes up to 350 ms to fail.
	probeInterval = 400 * time.Millisecond
)

// Pool is one router's view of the servers of a pool. It is not safe for concurrent
// use.
type Pool struct {
	hasPrefixCache bool
	servers        []*Server
	byID           map[string]*Server
	byHash         map[uint64]*Server
	// drainingAddresses maps the IDs of draining servers, from which others may
	// still copy, to their addresses.
	drainingAddresses map[string]string
	// listed is control's latest list.
	listed []ServerInfo
	// evacuatedDomains are the failure domains whose servers take no requests; evacuated holds
	// these servers, with this router's state of them, by ID.
	evacuatedDomains []string
	evacuated        map[string]*Server
	history          *sendHistory
	shares           *keyShares
	classes          promptClasses
	reach            reach
	mean             fleetMean
	// withdrawals holds what servers stated in their answers, by incarnation.
	withdrawals withdrawal.Book[uint64]
	// limits holds this router's shares of the rates that servers limit, by incarnation.
	limits ratelimit.Book
	// usedUp is the number of servers that the last call of eligible left out for their rates.
	usedUp int
	// warmingUp is the number of servers that it left out for their warm-up.
	warmingUp    int
	warmupEvents []WarmupEvent
	// sends counts the router's requests to all servers.
	sends decayingCount
	// listedAt is when control's list was last set.
	listedAt time.Time
}

// NewPool returns an empty pool. hasPrefixCache means that its servers generate
// tokens and keep the parts of prompts in a prefix cache.
func NewPool(hasPrefixCache bool) *Pool {
	return &Pool{
		hasPrefixCache: hasPrefixCache, byID: make(map[string]*Server), drainingAddresses: make(map[string]string),
		history: newSendHistory(), shares: newKeyShares(), reach: newReach(),
	}
}

// Choose returns the server that a request is sent to, or nil if no server may take
// it now. A server may take a request while its estimated load is below its slots.
func (p *Pool) Choose(request Request, now time.Time) *Server {
	s := p.choose(request, now)
	if s != nil && !p.withdrawals.IsEmpty() {
		s.Choice.Leaving, s.Choice.Paused = p.Withdrawn(now)
	}
	if s != nil {
		s.Choice.RateUsedUp, s.Choice.WarmingUp, s.Choice.Evacuated = p.usedUp, p.warmingUp, len(p.evacuated)
	}
	return s
}

func (p *Pool) choose(request Request, now time.Time) *Server {
	if p.hasPrefixCache {
		// Requests without a prompt go to the quickest server, so there is no demand for each one.
		p.limits.SetDemand(p.demandPerSecond(now))
	}
	eligible := p.eligible(request, now)
	switch {
	case len(eligible) == 0:
		return nil
	case len(eligible) == 1 && eligible[0].Choice.Reason == ReasonTrial && eligible[0].health.lastTrial.Equal(now):
		return eligible[0]
	}
	if _, ok := request.Key(); ok && p.hasPrefixCache {
		return p.chooseByPrompt(eligible, request, now)
	}
	return p.chooseByLatency(eligible, request, now)
}

// eligible returns the servers that may take the request. Suspect servers are
// eligible only if no other server is, or if the request tests whether one has
// recovered. If all servers are suspect, suspicion does not distinguish them, so
// all are eligible.
func (p *Pool) eligible(request Request, now time.Time) []*Server {
	var suspect []*Server
	healthy := make([]*Server, 0, len(p.servers))
	p.usedUp, p.warmingUp = 0, 0
	mean := p.meanFailureShare()
	for _, s := range p.servers {
		if slices.Contains(request.Exclude, s.ID) || s.isFull(now) || p.withheld(s, now) {
			continue
		}
		if p.isSuspect(s, mean, now) {
			suspect = append(suspect, s)
			continue
		}
		healthy = append(healthy, s)
	}
	if len(healthy) == 0 {
		return suspect
	}
	if s := p.trialServer(suspect, request, now); s != nil {
		return []*Server{s}
	}
	return healthy
}

// trialServer returns a suspect server if the request should test whether it has
// recovered, or nil. Unreachable servers are tested by probes without a request
// (ServersToProbe). A request that has already failed elsewhere is not delayed
// further by a trial.
func (p *Pool) trialServer(suspect []*Server, request Request, now time.Time) *Server {
	if !request.Retryable || len(request.Exclude) > 0 {
		return nil
	}
	for _, s := range suspect {
		if s.isReachable(now) && !p.reachability(s.Domain).isUnreachable(now) && s.health.isTrialDue(now) {
			s.health.lastTrial = now
			return s.recordChoice(ReasonTrial, now)
		}
	}
	return nil
}

// isSuspect reports whether requests should avoid the server.
func (p *Pool) isSuspect(s *Server, mean float64, now time.Time) bool {
	return !s.isReachable(now) || s.health.isSuspect(now, mean) || p.reachability(s.Domain).isUnreachable(now)
}

// isReachable reports whether connections to the server are expected to succeed.
func (s *Server) isReachable(now time.Time) bool {
	if s.Silent && now.Sub(s.lastAnswer) > silentGracePeriod {
		return false
	}
	return s.health.connectFailures == 0
}

func (p *Pool) meanFailureShare() float64 {
	sum := 0.0
	for _, s := range p.servers {
		sum += s.health.failureShare
	}
	return sum / math.Max(1, float64(len(p.servers)))
}

// isFull reports whether the server's estimated load leaves no free slot.
func (s *Server) isFull(now time.Time) bool {
	return s.Slots > 0 && s.estimatedLoad(now) >= float64(s.Slots)
}

// chooseByPrompt returns the server that rendezvous hashing ranks first for the
// prompt's key and class, or the next one in that order whose load is within the load bound.
// The order is the same on every router, so a prompt's parts are processed only once
// for all routers. The requests of a hot key, whose load exceeds what one server can
// take, are spread over the first few servers of the order by lastPart, the prompt's
// last part.
func (p *Pool) chooseByPrompt(candidates []*Server, request Request, now time.Time) *Server {
	key, _ := request.Key()
	class := p.classOf(request)
	lastPart := request.Parts[len(request.Parts)-1].ID
	candidates = p.withinRates(candidates, request, now)
	order := newRanking(candidates, func(s *Server) uint64 { return s.rank(key, class) })
	first := 0
	if n := min(p.shares.serversNeeded(key, len(p.servers), now), len(candidates)); n > 1 {
		first = int(mix(key, lastPart) % uint64(n))
	}
	reason := ReasonWarm
	if first > 0 {
		reason = ReasonHot
	}
	bounds, known := p.loadBounds(class, now)
	if !known {
		return order.at(first).recordChoice(reason, now).recordClass(key, class, 0)
	}
	median := medianMS(p.servers, func(s *Server) *decayingAverage { return &s.health.eventInterval }, 1)
	hasLimits := p.limits.HasLimits(now)
	for i := range candidates {
		s := order.at((first + i) % len(candidates))
		mean, bound := bounds.of(s)
		// A slow server holds its streams for longer, so its load counts in
		// proportion. While other servers limit their rates, the rest has more load, which
		// makes its events slower too.
		slowness := math.Max(1, s.health.eventInterval.estimate(median, now)/median)
		if slowness < slownessThreshold || hasLimits {
			slowness = 1
		}
		if s.expectedLoad(mean, now)*slowness > bound {
			reason = ReasonNext
			continue
		}
		return s.recordChoice(reason, now).recordClass(key, class, bound)
	}
	s := order.at(first)
	return s.recordChoice(ReasonAllLoaded, now).recordClass(key, class, bounds.bound[s.part()])
}

// chooseByLatency returns the server with the lowest expected time to the first
// byte.
func (p *Pool) chooseByLatency(candidates []*Server, request Request, now time.Time) *Server {
	var best *Server
	bestCost := math.Inf(1)
	median := medianMS(p.servers, func(s *Server) *decayingAverage { return &s.health.firstByte }, defaultFirstByteMS)
	for _, s := range candidates {
		cost := s.expectedMS(request, s.health.firstByte.estimate(median, now))
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best.recordChoice(ReasonQuickest, now)
}

// expectedMS returns the expected time in milliseconds to the server's answer, given
// its estimated time to the first byte.
func (s *Server) expectedMS(request Request, firstByteMS float64) float64 {
	slots := math.Max(1, float64(s.Slots))
	cost := firstByteMS * (1 + float64(s.InFlight)/slots)
	if s.Domain != request.Domain {
		cost += crossDomainMS
	}
	return cost
}

// RecordEventInterval records the mean time between two events of a stream on the
// server.
func (p *Pool) RecordEventInterval(s *Server, interval time.Duration, now time.Time) {
	s.health.eventInterval.record(milliseconds(interval), now)
}

// RecordResult records that a request has left the server, and its result.
func (p *Pool) RecordResult(s *Server, result Result, now time.Time) {
	s.InFlight = max(s.InFlight-1, 0)
	switch result.Kind {
	case ResultUnknown:
	case ResultLost, ResultUnreachable:
		p.recordLoss(s, result.ByRouter, now)
	default:
		s.lastAnswer = now
		p.recordDomainAnswer(s.Domain, now)
		p.recordAnswerAfterOutage(s, now)
	}
	s.health.record(result, now)
}
