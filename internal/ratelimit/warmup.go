package ratelimit

import (
	"math"
	"time"
)

const (
	warmupWindow = time.Second
	// warmupJoinDelay is the time from which a router that begins to share a warm-up limit sends:
	// others learn of it within 2 s, and may have used its share in the window before.
	warmupJoinDelay = warmupWindow + 2*time.Second
	// sharedPart is the part of the total that is shared. The rest is for the requests of routers
	// that do not know of the warm-up or of their new position yet.
	sharedPart = 0.8
	// minWarmupCap is the shortest bound of the remaining time that a server can state.
	minWarmupCap = 30 * time.Second
	// mostRetention is how long the highest number of routers counts.
	mostRetention = 10 * time.Minute
)

// Warmup describes the servers of a pool while they warm up: they accept PerSecond requests per
// second from all routers together, for Duration after a start. All routers together send
// PerSecond x Overage + Slack at most in any second. Without a rate or an overage nothing is limited.
type Warmup struct {
	PerSecond float64
	Duration  time.Duration
	Overage   float64
	Slack     float64
}

// Total returns how many requests a server that warms up may get in any second; limited is false if
// their number is not limited.
func (w Warmup) Total() (total int, limited bool) {
	requests := math.Floor(w.PerSecond*w.Overage + w.Slack)
	if !(w.PerSecond > 0 && w.Overage > 0 && w.Slack >= 0 && requests <= maxPerSecond) {
		return 0, false
	}
	return int(requests), true
}

// terms returns the terms of the limit for the part of the total that is shared.
func (w Warmup) terms(expiresAt time.Time) terms {
	total, _ := w.Total()
	shared := min(total, max(1, int(sharedPart*float64(total))))
	return terms{
		window: warmupWindow, total: shared, perSecond: float64(shared) / warmupWindow.Seconds(), overbooking: 1, expiresAt: expiresAt,
	}
}

// warming is the limit of a server that warms up. Its long-run rate is that of the total in each
// window, so the counted window bounds the sends and the bucket is not used.
type warming struct {
	limit
	// reserved counts the requests that are assigned to the server and not sent yet.
	reserved int
}

func (w *warming) isActive(now time.Time) bool { return now.Before(w.expiresAt) }

// warmups is the part of a book about servers that are warming up, by the hash of their address: the
// incarnation behind an address is what is unknown after a restart, and routers that know different
// ones have to agree on the ranks.
type warmups struct {
	parameters Warmup
	servers    map[uint64]*warming
	// past are the positions that were in force within warmupJoinDelay.
	past []pastPosition
	// most is the highest number of routers, which counts for mostRetention after mostUntil, when
	// fewer were numbered.
	most      int
	mostUntil time.Time
}

type pastPosition struct {
	Position
	until time.Time
}

// recordPosition records that a position is replaced by another one.
func (w *warmups) recordPosition(before, after Position, now time.Time) {
	kept := w.past[:0]
	for _, p := range w.past {
		if now.Sub(p.until) < warmupJoinDelay {
			kept = append(kept, p)
		}
	}
	w.past = append(kept, pastPosition{before, now})
	if now.Sub(w.mostUntil) > mostRetention {
		w.most = 0
	}
	if before.Count >= w.most {
		w.most, w.mostUntil = before.Count, now
	}
}

// mostRouters returns the highest number of routers that counts at now.
func (w *warmups) mostRouters(now time.Time) int {
	if now.Sub(w.mostUntil) > mostRetention {
		return 0
	}
	return w.most
}

// SetWarmup sets the parameters of warm-up limits, also for servers that are warming up.
func (b *Book) SetWarmup(w Warmup) {
	if w == b.warmups.parameters {
		return
	}
	b.warmups.parameters = w
	for _, server := range b.warmups.servers {
		server.terms = w.terms(server.expiresAt)
	}
}

// Warmup returns the parameters of warm-up limits; limited is false if there is no limit.
func (b *Book) Warmup() (w Warmup, limited bool) {
	_, limited = b.warmups.parameters.Total()
	return b.warmups.parameters, limited
}

// MarkWarming records that the server at an address is warming up until a time, at most for the
// warm-up time or 30 s, and reports whether a warm-up begins with it. The first request is permitted
// after a whole window, in which routers that did not know of the warm-up may have sent some.
func (b *Book) MarkWarming(address uint64, until, now time.Time) (begins bool) {
	parameters, limited := b.Warmup()
	if latest := now.Add(max(minWarmupCap, parameters.Duration)); until.After(latest) {
		until = latest
	}
	if !limited || !until.After(now) {
		return false
	}
	server := b.warmups.servers[address]
	if server != nil && server.isActive(now) {
		if until.After(server.expiresAt) {
			server.expiresAt = until
		}
		return false
	}
	if server == nil {
		server = &warming{limit: limit{server: address}}
		b.addWarming(address, server, now)
	}
	server.terms = parameters.terms(until)
	server.joinsAt = now.Add(server.countedWindow())
	return true
}

func (b *Book) addWarming(address uint64, server *warming, now time.Time) {
	w := &b.warmups
	if w.servers == nil {
		w.servers = make(map[uint64]*warming)
	}
	b.evictWarming(now)
	for len(w.servers) >= maxLimits {
		first, found := uint64(0), false
		for other, s := range w.servers {
			if !found || s.expiresAt.Before(w.servers[first].expiresAt) {
				first, found = other, true
			}
		}
		delete(w.servers, first)
	}
	w.servers[address] = server
}

// evictWarming deletes the limits that have ended and whose sends no longer count.
func (b *Book) evictWarming(now time.Time) {
	for address, s := range b.warmups.servers {
		if s.reserved == 0 && now.Sub(s.expiresAt) > s.countedWindow() {
			delete(b.warmups.servers, address)
		}
	}
}

// activeWarming returns the limit of the server at an address, or nil if it is not warming up.
func (b *Book) activeWarming(address uint64, now time.Time) *warming {
	if len(b.warmups.servers) == 0 {
		return nil
	}
	server := b.warmups.servers[address]
	if server == nil || !server.isActive(now) {
		return nil
	}
	if _, limited := b.Warmup(); !limited {
		return nil
	}
	return server
}

// WarmingUntil returns until when the server at an address is warming up; ok is false if it is not.
func (b *Book) WarmingUntil(address uint64, now time.Time) (until time.Time, ok bool) {
	server := b.activeWarming(address, now)
	if server == nil {
		return time.Time{}, false
	}
	return server.expiresAt, true
}

// WarmupAvailableAt returns the earliest time at which this router may send a request to the server
// at an address as far as its warm-up is concerned; blocked is false if it may at now.
func (b *Book) WarmupAvailableAt(address uint64, now time.Time) (at time.Time, blocked bool) {
	server := b.activeWarming(address, now)
	if server == nil {
		return time.Time{}, false
	}
	share, sharesAt := b.warmupShare(server, now)
	switch {
	case share == 0:
		at = sharesAt
	case server.reserved >= share:
		at = now.Add(server.countedWindow())
	default:
		at = latest(server.joinsAt, server.freeAt(share-server.reserved, now))
	}
	if at.After(server.expiresAt) {
		at = server.expiresAt
	}
	return at, at.After(now)
}

// warmupShare returns how many requests this router may send to the server in the counted window. A
// router has a share only if it has one by each of its positions within warmupJoinDelay, because
// routers learn of a new numbering at different times. If it has none, sharesAt is when it has one, or
// when the warm-up ends.
func (b *Book) warmupShare(server *warming, now time.Time) (share int, sharesAt time.Time) {
	share, sharesAt = b.shareAt(server, b.position, now), now
	if share == 0 {
		return 0, server.expiresAt
	}
	for _, past := range b.warmups.past {
		end := past.until.Add(warmupJoinDelay)
		if !end.After(now) {
			continue
		}
		before := b.shareAt(server, past.Position, now)
		if before == 0 {
			sharesAt = latest(sharesAt, end)
		}
		share = min(share, before)
	}
	return share, sharesAt
}

// shareAt returns the share by one position. While fewer routers are counted than before, the shared
// part is smaller in proportion: those that control has lost keep their positions and shares.
func (b *Book) shareAt(server *warming, position Position, now time.Time) int {
	if position.Count <= 0 {
		return 0
	}
	scaled := limit{server: server.server, terms: server.terms}
	if most := b.warmups.mostRouters(now); position.Count < most && scaled.total > 0 {
		scaled.total = max(1, scaled.total*position.Count/most)
	}
	v := vantage{Position: Position{Index: spread(position), Count: position.Count}}
	if scaled.rank(v) >= scaled.sharers(v) {
		return 0
	}
	return scaled.burst(v)
}

// spread returns the router's index in an order in which neighbors are far from each other. The routers
// of a failure domain have neighboring indices, and control may lose all of them: without the spread, all
// routers with a share could be among them.
func spread(position Position) int {
	const goldenSection = 0.618
	stride := max(1, int(goldenSection*float64(position.Count)))
	for gcd(stride, position.Count) != 1 {
		stride++
	}
	return position.Index * stride % position.Count
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Reserve records that a request is assigned to the server at an address, and reports whether that
// uses this router's share of a warm-up limit. A later ConfirmWarming or CancelWarming ends the
// reservation.
func (b *Book) Reserve(address uint64, now time.Time) (reserved bool) {
	server := b.activeWarming(address, now)
	if server != nil {
		server.reserved++
	}
	return server != nil
}

// CancelWarming ends a reservation without a send.
func (b *Book) CancelWarming(address uint64) {
	if server := b.warmups.servers[address]; server != nil && server.reserved > 0 {
		server.reserved--
	}
}

// ConfirmWarming reports whether a request may be sent now to the server at an address, and counts it
// if so. It ends the reservation if there is one: the time from the assignment to the send, in which a
// connection may have been set up, varies by more than a slot.
func (b *Book) ConfirmWarming(address uint64, reserved bool, now time.Time) bool {
	if reserved {
		b.CancelWarming(address)
	}
	server := b.activeWarming(address, now)
	if server == nil {
		return true
	}
	if _, blocked := b.WarmupAvailableAt(address, now); blocked {
		return false
	}
	server.advance(now)
	server.sends[slotCount-1]++
	return true
}

// HasWarming reports whether a server is warming up, or was until a moment ago.
func (b *Book) HasWarming(now time.Time) bool {
	if len(b.warmups.servers) > 0 {
		b.evictWarming(now)
	}
	return len(b.warmups.servers) > 0
}
