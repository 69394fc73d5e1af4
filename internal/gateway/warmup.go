package gateway

import (
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// maxWithheldSends bounds the sends of a request that are given up for warm-ups. Whole failure domains
// start together, so a request may meet several servers of which the router learns only then.
const maxWithheldSends = 8

// Reasons for which a request is not written after its server was chosen.
var (
	errWarmingUp = errors.New("the server is warming up and this router may not send it a request now")
	errEvacuated = errors.New("the failure domain of the server is evacuated")
)

// SetWarmup sets by how much servers that are warming up may get more requests than the rate that
// their pool states. It must be called before the gateway serves.
func (g *Gateway) SetWarmup(overage, slack float64) {
	g.pools.warmup = ratelimit.Warmup{Overage: overage, Slack: slack}
}

// warmupOf returns how the servers of a pool warm up.
func (p *pools) warmupOf(config *routetable.Pool) ratelimit.Warmup {
	w := p.warmup
	if config != nil {
		w.PerSecond, w.Duration = config.WarmupPerSecond, config.WarmupTime
	}
	return w
}

func (p *pool) setWarmup(w ratelimit.Warmup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers.SetWarmup(w, time.Now())
}

// confirmSend is called before the request is written to a connection. It returns errWarmingUp if the
// router has learned since the choice that the server is warming up, and has no share free, and
// errEvacuated if it has learned that the server's domain is evacuated.
func (l *lease) confirmSend(info backend.ConnInfo) error {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	reserved := l.reserved
	l.reserved = false
	connection := placement.Connection{New: info.New, LostIdle: info.LostIdle}
	now := time.Now()
	confirmed := l.pool.servers.ConfirmSend(l.Server, connection, reserved, now)
	// A new connection may have shown that the server is warming up.
	l.pool.refuseQueued(now)
	switch {
	case confirmed:
		return nil
	case l.pool.servers.IsEvacuated(l.Server):
		return errEvacuated
	}
	return errWarmingUp
}

// cancelReservation ends the reservation if the request was not sent; mu is held.
func (l *lease) cancelReservation() {
	if l.reserved {
		l.pool.servers.CancelSend(l.Server)
		l.reserved = false
	}
}

// recordWarming records the remaining time of a warm-up that an answer states.
func (l *lease) recordWarming(remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := time.Now()
	l.pool.servers.RecordWarming(l.hash, remaining, now)
	l.pool.refuseQueued(now)
}

// handleWithheldSend handles a request that was not sent, for errWarmingUp or errEvacuated. It does not
// count as a send.
func (c *call) handleWithheldSend(lease *lease, err error) *failure {
	lease.release(placement.Result{Kind: placement.ResultUnknown})
	c.gateway.metrics.sendsWithheld.Inc()
	c.logAttempt(lease).Err(err).Msg("request not sent")
	c.withheldSends++
	if c.withheldSends <= maxWithheldSends {
		c.sends--
	} else {
		c.exclude = append(c.exclude, lease.id)
	}
	return &failure{err: api.Errorf(api.CodeOverloaded, "%s: %v", lease.id, err), notRun: true, unsent: true, withheld: true}
}

// logWarmups logs the warm-ups that the router has learned of since the last call.
func (g *Gateway) logWarmups() {
	for _, p := range g.pools.list() {
		for _, event := range p.takeWarmupEvents() {
			g.log.Info().Str("server", event.ID).Str("address", event.Address).Str("source", event.Source).
				Time("until", event.Until).Msg("backend server is warming up")
		}
	}
}

func (p *pool) takeWarmupEvents() []placement.WarmupEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers.TakeWarmupEvents()
}

// warmingServers returns how many servers are warming up, and to how many of them this router may send
// no request now.
func (g *Gateway) warmingServers() (warming, usedUp int) {
	for _, p := range g.pools.list() {
		w, u := p.warmingUp()
		warming, usedUp = warming+w, usedUp+u
	}
	return warming, usedUp
}

func (p *pool) warmingUp() (warming, usedUp int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers.WarmingUp(time.Now())
}
