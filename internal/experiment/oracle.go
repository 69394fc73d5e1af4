package experiment

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// oracle knows every server's load and cache. It keeps the load bound, and
// within it takes the server that has most of the chat's prefix.
type oracle struct {
	domain *domain
}

// Pick implements balance.Balancer.
func (o *oracle) Pick(_ time.Time, ask balance.Request, _ *balance.View) (balance.ServerID, bool) {
	total := 1
	for _, s := range o.domain.servers {
		total += s.load()
	}
	limit := balance.DefaultLoadBound*max(float64(total)/float64(len(o.domain.servers)), boundMean) + boundPlus
	var best *server
	for _, s := range o.domain.servers {
		if s.load() >= s.slots || float64(s.load()+1) > limit {
			continue
		}
		if best == nil || o.better(ask.Chat, s, best) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

func (o *oracle) better(chat string, a, b *server) bool {
	cachedA, cachedB := a.cache.tokens(chat), b.cache.tokens(chat)
	if cachedA != cachedB {
		return cachedA > cachedB
	}
	return a.load() < b.load()
}

// Done implements balance.Balancer.
func (o *oracle) Done(time.Time, balance.Request, balance.ServerID, balance.Result) {}
