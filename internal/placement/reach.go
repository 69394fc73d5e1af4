package placement

import "time"

const (
	// minLostServers is the number of servers of a failure domain that have to be
	// lost, without an answer from the domain in between, before the whole domain
	// counts as unreachable.
	minLostServers = 2
	// lossWindow is the time for which such losses count.
	lossWindow = 3 * time.Second
)

// reachability is the state of a failure domain derived from this router's
// connections.
type reachability struct {
	lostServers []string
	// firstLostAt and lostAt are the times of the first and of the last of these losses.
	firstLostAt, lostAt time.Time
	// sampledAt is when a sample of the domain's servers was last probed.
	sampledAt time.Time
}

func (r *reachability) recordLoss(id string, now time.Time) {
	if now.Sub(r.lostAt) > lossWindow {
		r.lostServers = nil
	}
	if len(r.lostServers) == 0 {
		r.firstLostAt = now
	}
	r.lostAt = now
	for _, lostID := range r.lostServers {
		if lostID == id {
			return
		}
	}
	r.lostServers = append(r.lostServers, id)
}

func (r *reachability) recordAnswer() { r.lostServers = r.lostServers[:0] }

// isUnreachable reports whether the whole failure domain is probably unreachable.
func (r *reachability) isUnreachable(now time.Time) bool {
	return len(r.lostServers) >= minLostServers && now.Sub(r.lostAt) < lossWindow
}

// RecordConnectFailure records that a connection to the server could not be set up.
// Failed probes keep an unreachable failure domain out of use.
func (p *Pool) RecordConnectFailure(s *Server, now time.Time) {
	s.health.connectFailures++
	p.recordLoss(s, now)
}

// RecordConnectSuccess records that a connection to the server was set up.
func (p *Pool) RecordConnectSuccess(s *Server, now time.Time) {
	p.recordContact(s, now)
	s.lastAnswer = now
	s.health.connectFailures = 0
	s.health.pausedUntil = time.Time{}
	p.recordDomainAnswer(s.Domain, now)
	p.recordAnswerAfterOutage(s, now)
}

func (p *Pool) reachability(domain string) *reachability {
	r := p.reach.domains[domain]
	if r == nil {
		r = &reachability{}
		p.reach.domains[domain] = r
	}
	return r
}
