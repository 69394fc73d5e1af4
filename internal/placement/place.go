// Package placement chooses the backend server of a request from what one router
// knows: the servers that control names, what they tell of their load with their
// answers, and the router's own requests on them. It does no I/O, starts no
// goroutine and reads no clock.
package placement

import (
	"math"
	"slices"
	"time"
)

// PromptPart is a part of a prompt, shared by requests or a request's own.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	// Parts are those of a prompt in order; none for requests without a prompt.
	Parts []PromptPart
	// Exclude are servers that the request was sent to before.
	Exclude []string
	// Domain is the failure domain of the router.
	Domain string
	// Repeatable requests may show whether a suspect server has recovered.
	Repeatable bool
}

// Key returns the part by which a prompt is placed: the last one that it shares
// with others, because whatever comes before that part is kept with it.
func (r *Request) Key() (uint64, bool) {
	switch n := len(r.Parts); n {
	case 0:
		return 0, false
	case 1:
		return r.Parts[0].ID, true
	default:
		return r.Parts[n-2].ID, true
	}
}

// ServerInfo is what control tells of a server.
type ServerInfo struct {
	ID      string
	Address string
	Domain  string
	Slots   int
	// Silent servers have not announced themselves for some time.
	Silent bool
	// Hash identifies the incarnation of the server.
	Hash uint64
	// Draining servers take no new request; others may still copy from them.
	Draining bool
}

// Server is a backend server with what the router knows of it.
type Server struct {
	ServerInfo
	// InFlight counts the router's own requests on the server.
	InFlight int

	// Choice tells why the server was chosen last, for the log.
	Choice Choice

	load Load
	// isNew says that load came with an answer and was not reported yet.
	isNew    bool
	sentAt   []time.Time
	health   health
	answered time.Time
	probed   time.Time
	hash     uint64
}

// Constants of the choice.
const (
	// loadBound and loadAllowance, in means and in requests, are the load from which a
	// prompt goes to its next server. The users' platform allows twice the mean and
	// three; loads are known a second late, and with 1.4 and 2.0 a fleet of 80 routers
	// was over that for 3.4% of its requests (decision 604).
	loadBound     = 1.2
	loadAllowance = 1.5
	// loadKept is the age up to which a load counts for the mean: six exchanges of
	// loads with control would have brought a newer one.
	loadKept = 3 * time.Second
	// loadFades is the time in which a load that was told loses most of its meaning:
	// a crowd behind one prompt lasts some seconds.
	loadFades = 4 * time.Second
	// leastKnown is the number of servers whose load has to be known for a mean.
	leastKnown = 3
	// otherDomainMS is what a request to another failure domain takes longer, there
	// and back, in milliseconds: 4 ms one way on the users' sites.
	otherDomainMS = 9.0
	// defaultLatency is used before anything is known of a pool, in milliseconds.
	defaultLatency = 20.0
	// slowFrom is how much slower than usual a server's streams are before that
	// counts: machines shared with others are 2.5 times slower for moments.
	slowFrom = 2.0
	// silentTrust is how long after its last answer a server is used that no
	// longer announces itself: about as long as two of its announcements take.
	silentTrust = 3 * time.Second
	// probePause is the pause between two connections that only tell whether a
	// server can be reached; a connection takes up to 350 ms to fail.
	probePause = 400 * time.Millisecond
)

// Pool is the servers of a pool as one router sees them. It is not safe for
// concurrent use.
type Pool struct {
	engine  bool
	servers []*Server
	byID    map[string]*Server
	// leaving has the addresses of the servers that others may still copy from.
	leaving map[string]string
	homes   *homes
	shares  *shares
	domains map[string]*reach
}

// NewPool returns an empty pool; engine says that its servers generate tokens and
// keep the parts of prompts.
func NewPool(engine bool) *Pool {
	return &Pool{
		engine: engine, byID: make(map[string]*Server), leaving: make(map[string]string),
		homes: newHomes(), shares: newShares(), domains: make(map[string]*reach),
	}
}

// SetServers replaces the servers that control knows. What is known of those that
// stay is kept.
func (p *Pool) SetServers(infos []ServerInfo) {
	servers := make([]*Server, 0, len(infos))
	byID := make(map[string]*Server, len(infos))
	clear(p.leaving)
	for _, info := range infos {
		if info.Draining {
			p.leaving[info.ID] = info.Address
			continue
		}
		s := p.byID[info.ID]
		if s == nil || s.Address != info.Address {
			s = &Server{hash: hashString(info.ID)}
		}
		s.ServerInfo = info
		servers = append(servers, s)
		byID[info.ID] = s
	}
	slices.SortFunc(servers, func(a, b *Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	p.servers, p.byID = servers, byID
}

// Size returns the number of servers.
func (p *Pool) Size() int { return len(p.servers) }

// Choose returns the server that a request goes to, or nil where none takes it
// now. A server has room while it has a free slot as far as is known.
func (p *Pool) Choose(request Request, now time.Time) *Server {
	usable := p.usable(request, now)
	switch {
	case len(usable) == 0:
		return nil
	case len(usable) == 1 && usable[0].Choice.Reason == ReasonTrial && usable[0].health.tried.Equal(now):
		return usable[0]
	}
	if key, ok := request.Key(); ok && p.engine {
		return p.warmest(usable, key, request.Parts[len(request.Parts)-1].ID, now)
	}
	return p.quickest(usable, request, now)
}

// usable returns the servers that may take the request. Where all of them are
// under suspicion, suspicion says nothing, and all are usable.
func (p *Pool) usable(request Request, now time.Time) []*Server {
	var sound, suspect []*Server
	mean := p.meanFailures()
	for _, s := range p.servers {
		if slices.Contains(request.Exclude, s.ID) || s.isFull(now) {
			continue
		}
		if p.isSuspect(s, mean, now) {
			suspect = append(suspect, s)
			continue
		}
		sound = append(sound, s)
	}
	if len(sound) == 0 {
		return suspect
	}
	if s := p.trial(suspect, request, now); s != nil {
		return []*Server{s}
	}
	return sound
}

// trial returns the suspect server to which the request goes to show whether it has
// recovered, or nil. Servers out of reach are left to connections without a request
// (ServersToProbe), and a request that was sent in vain before has waited enough.
func (p *Pool) trial(suspect []*Server, request Request, now time.Time) *Server {
	if !request.Repeatable || len(request.Exclude) > 0 {
		return nil
	}
	for _, s := range suspect {
		if s.isReachable(now) && !p.reach(s.Domain).isCut(now) && s.health.mayTry(now) {
			s.health.tried = now
			return s.chosen(ReasonTrial, now)
		}
	}
	return nil
}

// isSuspect reports whether the server is better left alone.
func (p *Pool) isSuspect(s *Server, mean float64, now time.Time) bool {
	return !s.isReachable(now) || s.health.isSuspect(now, mean) || p.reach(s.Domain).isCut(now)
}

// isReachable reports whether nothing speaks against a connection to the server.
func (s *Server) isReachable(now time.Time) bool {
	if s.Silent && now.Sub(s.answered) > silentTrust {
		return false
	}
	return s.health.lost == 0
}

func (p *Pool) meanFailures() float64 {
	sum := 0.0
	for _, s := range p.servers {
		sum += s.health.failures
	}
	return sum / math.Max(1, float64(len(p.servers)))
}

// isFull reports whether the server has no free slot as far as is known.
func (s *Server) isFull(now time.Time) bool {
	return s.Slots > 0 && s.estimate(now) >= float64(s.Slots)
}

// warmest returns the first server in the order of the prompt's key that is not
// loaded far above the mean. Every router has the same order, so that a prompt's
// parts are read once for all of them. A key that asks for more than a server can
// take gets the first few servers of its order; own, the prompt's last part, tells
// which of them.
func (p *Pool) warmest(usable []*Server, key, own uint64, now time.Time) *Server {
	slices.SortFunc(usable, func(a, b *Server) int {
		x, y := mix(a.hash, key), mix(b.hash, key)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	first := 0
	if n := min(p.shares.servers(key, len(p.servers), now), len(usable)); n > 1 {
		first = int(mix(key, own) % uint64(n))
	}
	reason := ReasonWarm
	if first > 0 {
		reason = ReasonHot
	}
	mean, known := p.meanLoad(now)
	if !known {
		return usable[first].chosen(reason, now)
	}
	bound := loadBound*mean + loadAllowance
	pace := usual(p.servers, func(s *Server) *speed { return &s.health.pace }, 1)
	for i := range usable {
		s := usable[(first+i)%len(usable)]
		// A slow server holds its streams the longer: its load counts as much more.
		slowness := math.Max(1, s.health.pace.likely(pace, now)/pace)
		if slowness < slowFrom {
			slowness = 1
		}
		if s.likely(mean, now)*slowness > bound {
			reason = ReasonNext
			continue
		}
		return s.chosen(reason, now)
	}
	return usable[first].chosen(ReasonAllLoaded, now)
}

// quickest returns the server with the least time to expect.
func (p *Pool) quickest(usable []*Server, request Request, now time.Time) *Server {
	var best *Server
	bestCost := math.Inf(1)
	latency := usual(p.servers, func(s *Server) *speed { return &s.health.latency }, defaultLatency)
	for _, s := range usable {
		cost := s.expected(request, s.health.latency.likely(latency, now))
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best.chosen(ReasonQuickest, now)
}

// expected returns the time in milliseconds after which the server would answer,
// given its latency.
func (s *Server) expected(request Request, latency float64) float64 {
	slots := math.Max(1, float64(s.Slots))
	cost := latency * (1 + float64(s.InFlight)/slots)
	if s.Domain != request.Domain {
		cost += otherDomainMS
	}
	return cost
}

// RecordEventInterval notes the mean time between two events of a stream on the server.
func (p *Pool) RecordEventInterval(s *Server, interval time.Duration, now time.Time) {
	s.health.pace.note(milliseconds(interval), now)
}

// RecordResult notes that a request has left the server.
func (p *Pool) RecordResult(s *Server, result Result, now time.Time) {
	s.InFlight = max(s.InFlight-1, 0)
	switch result.Kind {
	case ResultUnknown:
	case ResultLost, ResultUnreachable:
		p.reach(s.Domain).lost(s.ID, now)
	default:
		s.answered = now
		p.reach(s.Domain).answered()
	}
	s.health.note(result, now)
}

// ServersToProbe returns the servers for which a connection would tell whether they
// can be reached again, each at most every probePause.
func (p *Pool) ServersToProbe(now time.Time) []*Server {
	var out []*Server
	for _, s := range p.servers {
		if (!s.isReachable(now) || p.reach(s.Domain).isCut(now)) && now.Sub(s.probed) >= probePause {
			s.probed = now
			out = append(out, s)
		}
	}
	return out
}

// RecordConnectFailure notes that a connection to the server could not be set up, so that a
// failure domain stays out of use for as long as it is cut off.
func (p *Pool) RecordConnectFailure(s *Server, now time.Time) {
	s.health.lost++
	p.reach(s.Domain).lost(s.ID, now)
}

// RecordConnectSuccess notes that a connection to the server could be set up.
func (p *Pool) RecordConnectSuccess(s *Server, now time.Time) {
	s.answered = now
	s.health.lost = 0
	s.health.pausedUntil = time.Time{}
	p.reach(s.Domain).answered()
}

func (p *Pool) reach(domain string) *reach {
	r := p.domains[domain]
	if r == nil {
		r = &reach{}
		p.domains[domain] = r
	}
	return r
}
