package experiment

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// oracle is a policy with the exact load and cache content of every server. Within
// the load bound it selects the server with the longest cached prefix of the chat,
// then the one with the lowest load.
type oracle struct {
	domain *domain
}

// Pick implements balance.Balancer.
func (o *oracle) Pick(_ time.Time, req balance.Request, _ *balance.View) (balance.ServerID, bool) {
	total := 1
	for _, s := range o.domain.servers {
		total += s.load()
	}
	limit := balance.DefaultLoadBound*max(float64(total)/float64(len(o.domain.servers)), minBoundedMean) + boundAllowance
	var best *server
	for _, s := range o.domain.servers {
		if s.load() >= s.slots || float64(s.load()+1) > limit {
			continue
		}
		if best == nil || o.isBetter(req.Chat, s, best) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

func (o *oracle) isBetter(chat string, a, b *server) bool {
	cachedA, cachedB := a.cache.tokens(chat), b.cache.tokens(chat)
	if cachedA != cachedB {
		return cachedA > cachedB
	}
	return a.load() < b.load()
}

// Done implements balance.Balancer.
func (o *oracle) Done(time.Time, balance.Request, balance.ServerID, balance.Result) {}
