package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// hash returns a hash of the server's address and its incarnation.
func (s serverIncarnation) hash() uint64 {
	return xxhash.Sum64String(string(s.server) + " " + strconv.FormatUint(s.incarnation, 10))
}

// recordRate records what a server stated about its rate, and reports whether it changes whether
// the server limits its rate. The routers of a failure domain share the rate.
func (d *Dispatcher) recordRate(p *pool, server serverIncarnation, rate ratelimit.Statement) (isNews bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	rate.StatedAt = now
	d.updatePosition(now)
	isNews = d.limits.RecordAnswer(server.hash(), rate)
	if isNews {
		d.rebuildViews(now, p)
	}
	return isNews
}

// rateAvailableAt returns from when this router may send a request to a server that limits its
// rate; blocked is false if it may at now.
func (d *Dispatcher) rateAvailableAt(server serverIncarnation, now time.Time) (at time.Time, blocked bool) {
	if !d.limits.HasLimits(now) {
		return time.Time{}, false
	}
	d.updatePosition(now)
	hash := server.hash()
	d.limits.RecordListed(hash, now)
	return d.limits.AvailableAt(hash, now)
}

// spendRate records that a request is to be sent to a server, and returns the server's incarnation.
// It returns false if this router's share of the server's rate is used up, or if the server has
// left the view since it was picked.
func (d *Dispatcher) spendRate(pending *pendingRequest, id balance.ServerID) (incarnation uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := pending.pool.views[pending.key].view
	if !view.Contains(id) {
		return 0, false
	}
	server := serverIncarnation{id, view.Incarnation(id)}
	now := d.now()
	if _, blocked := d.rateAvailableAt(server, now); blocked {
		return 0, false
	}
	d.limits.Spend(server.hash(), now)
	return server.incarnation, true
}

// updatePosition records this router's rank among the live routers.
func (d *Dispatcher) updatePosition(now time.Time) {
	rank := rankOf(d.source)
	d.limits.SetPosition(ratelimit.Position{Index: rank.Rank, Count: rank.Count}, now)
}

func (d *Dispatcher) rebuildViews(now time.Time, p *pool) {
	for key, c := range p.views {
		c.rebuild(now, d, p, key.model)
	}
}
