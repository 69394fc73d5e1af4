package placement

import (
	"slices"
	"time"
)

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
	// losses are all lost connections, serverLosses those without the ones that this
	// router ended.
	losses, serverLosses domainLosses
	// sampledAt is when a sample of the domain's servers was last probed.
	sampledAt time.Time
}

// domainLosses are the servers of a failure domain to which connections were lost
// without an answer from the domain in between.
type domainLosses struct {
	servers []string
	// firstAt and lastAt are the times of the first and of the last of these losses.
	firstAt, lastAt time.Time
}

func (l *domainLosses) record(id string, now time.Time) {
	if now.Sub(l.lastAt) > lossWindow {
		l.servers = nil
	}
	if len(l.servers) == 0 {
		l.firstAt = now
	}
	l.lastAt = now
	if !slices.Contains(l.servers, id) {
		l.servers = append(l.servers, id)
	}
}

// areOfDomain reports whether the losses are probably those of the whole failure domain.
func (l *domainLosses) areOfDomain(now time.Time) bool {
	return len(l.servers) >= minLostServers && now.Sub(l.lastAt) < lossWindow
}

func (r *reachability) recordAnswer() {
	r.losses.servers, r.serverLosses.servers = r.losses.servers[:0], r.serverLosses.servers[:0]
}

// isUnreachable reports whether the whole failure domain is probably unreachable.
func (r *reachability) isUnreachable(now time.Time) bool { return r.losses.areOfDomain(now) }

// mayHaveRestarted reports whether the failure domain was unreachable for so long that
// its processes may have restarted.
func (r *reachability) mayHaveRestarted(now time.Time) bool {
	return r.serverLosses.areOfDomain(now) && now.Sub(r.serverLosses.firstAt) >= domainOutage
}

// RecordConnectFailure records that a connection to the server could not be set up.
// Failed probes keep an unreachable failure domain out of use.
func (p *Pool) RecordConnectFailure(s *Server, now time.Time) {
	s.health.connectFailures++
	p.recordLoss(s, false, now)
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
