package ratelimit

import (
	"math"
	"time"
)

// A server may get burstBase requests and burstSeconds times its rate in any burstWindow, from all
// routers together, and its rate in the long run. Each router that shares the rate may send a
// fixed part of that burst in the window, so that no order of events exceeds the sum. The users'
// platform allows one request more.
const (
	burstBase    = 4.0
	burstSeconds = 6.0
	burstWindow  = 4 * time.Second
	// maxSharersPerBurst bounds the routers that share a rate, if each of them has less than one
	// request in countedWindow, relative to the burst.
	maxSharersPerBurst = 3
	// manySharersCapacity is the capacity of a bucket in requests if each of many routers sends at
	// most one in countedWindow.
	manySharersCapacity = 3
	// minPerSecond is the lowest rate that is used, so that routers learn when a server that
	// takes no requests takes some again.
	minPerSecond = 0.5
	// slotLength is the resolution at which sends are counted. The slots cover burstWindow
	// wherever it begins, and one slot more: the time from a choice to the arrival of the request
	// varies.
	slotLength = 400 * time.Millisecond
	slotCount  = int(burstWindow/slotLength) + 2
	// countedWindow is the time in which a router sends at most its part of the burst.
	countedWindow = time.Duration(slotCount) * slotLength
	// usedShare is the share of the rate for which requests are planned, so that chance seldom
	// moves one to another server.
	usedShare = 0.9
)

const (
	// unknownCount is the number of routers that one with an unknown position assumes.
	unknownCount = 16
	// quietPeriod is the age of the newest statement from which the other routers take turns, since
	// those that share the rate may have no request for the server; a limit that does not change is
	// told to routers at least every 8 s. In each turnInterval the next one may send a request
	// within turnLength, which leaves burstWindow between two turns.
	quietPeriod  = 10 * time.Second
	turnInterval = 8 * time.Second
	turnLength   = 2 * time.Second
	// joinDelay is the time from which a router that begins to share a rate sends: others learn of
	// it within 2 s, and may have used its share in the burstWindow before.
	joinDelay = burstWindow + 2*time.Second
	// fewerDelay is how long fewer routers than before have to be counted until a router's share
	// grows. A cut between control replicas lasts for seconds.
	fewerDelay = 10 * time.Second
	// retention is how long a statement is kept while its server is not listed.
	retention = 10 * time.Minute
	// endRetention is how long the end of a limit is kept, against older statements that
	// arrive later.
	endRetention = 10 * time.Second
	// evictionInterval is the time after which statements without an effect are deleted.
	evictionInterval = time.Second
	// maxLimits bounds the servers whose statements are kept.
	maxLimits = 4096
)

// Book holds one router's share of the rates of limited servers, by the servers' incarnations. It
// is not safe for concurrent use.
type Book struct {
	position Position
	// fewer is the position among most routers since fewerSince, from which on all positions were
	// among fewer routers than the one in use.
	fewer      Position
	fewerSince time.Time
	// joinsAt is when a router that has just learned its position may send.
	joinsAt time.Time
	// demandPerSecond is the rate of this router's requests for one server.
	demandPerSecond float64
	limits          map[uint64]*limit
	// evictedAt is when evict was last called.
	evictedAt time.Time
}

// limit is the newest statement of a server and the router's bucket for it.
type limit struct {
	Statement
	server uint64
	tokens float64
	// sends counts this router's sends by slot, the newest slot last; it begins at newestSlot.
	sends      [slotCount]int
	newestSlot time.Time
	// sentAt is when this router last sent a request to the server.
	sentAt time.Time
	// joinsAt is when a router that has begun to share the rate may send.
	joinsAt time.Time
	// refilledAt is when tokens was last brought up to date.
	refilledAt time.Time
	// listedAt is when the server was last listed, or when it made the statement.
	listedAt time.Time
	// unreported is set from an answer with a statement until the next TakeReports.
	unreported bool
}

// SetPosition records the router's place among all routers. A router that begins to share a rate
// waits for joinDelay, because others may have just used its share. A place among fewer routers is
// used only after fewerDelay: control may have lost contact with routers that still serve.
func (b *Book) SetPosition(position Position, now time.Time) {
	if position == b.position {
		b.fewer = Position{}
		return
	}
	if position.Count < b.position.Count {
		if b.fewer.Count == 0 {
			b.fewerSince = now
		}
		if position.Count >= b.fewer.Count {
			b.fewer = position
		}
		if now.Sub(b.fewerSince) < fewerDelay {
			return
		}
		position = b.fewer
	}
	b.fewer = Position{}
	before := b.vantage()
	b.position = position
	after := b.vantage()
	if before.Count <= 0 {
		b.joinsAt = now.Add(joinDelay)
	}
	for _, l := range b.limits {
		l.refill(before, now)
		if l.rank(before) >= l.sharers(before) && l.rank(after) < l.sharers(after) {
			l.joinsAt = now.Add(joinDelay)
		}
		l.refill(after, now)
	}
}

// SetDemand records the rate of this router's requests for one server, in requests per second. The
// other routers are assumed to have a similar rate. With 0, it is unknown, and the burst is never
// exceeded.
func (b *Book) SetDemand(perSecond float64) { b.demandPerSecond = perSecond }

// RecordAnswer records the statement of an answer that this router received, and reports whether
// it changes whether the server is limited.
func (b *Book) RecordAnswer(server uint64, s Statement) (isNews bool) {
	if !s.Limited && b.limits[server] == nil {
		return false
	}
	isNews, recorded := b.record(server, s)
	if recorded {
		b.limits[server].unreported = true
	}
	return isNews
}

// RecordPeer records a statement that another router received, and reports whether it changes
// whether the server is limited.
func (b *Book) RecordPeer(server uint64, s Statement) (isNews bool) {
	isNews, _ = b.record(server, s)
	return isNews
}

// record records a statement unless a newer one is known.
func (b *Book) record(server uint64, s Statement) (isNews, recorded bool) {
	l := b.limits[server]
	if l == nil {
		if b.limits == nil {
			b.limits = make(map[uint64]*limit)
		}
		b.evict(s.StatedAt)
		l = &limit{Statement: s, server: server, refilledAt: s.StatedAt, listedAt: s.StatedAt}
		l.tokens = float64(l.capacity(b.vantage()))
		b.limits[server] = l
		return s.Limited, true
	}
	if s.StatedAt.Before(l.StatedAt) {
		return false, false
	}
	isNews = l.Limited != s.Limited
	l.refill(b.vantage(), s.StatedAt)
	l.Statement = s
	l.listedAt = s.StatedAt
	l.refill(b.vantage(), s.StatedAt)
	return isNews, true
}

// evict deletes statements that have no effect any more, and the oldest ones from maxLimits on.
func (b *Book) evict(now time.Time) {
	b.evictedAt = now
	for server, l := range b.limits {
		if now.Sub(l.listedAt) > retention || l.hasEnded(now) {
			delete(b.limits, server)
		}
	}
	for len(b.limits) >= maxLimits {
		var oldest *limit
		for _, l := range b.limits {
			if oldest == nil || l.StatedAt.Before(oldest.StatedAt) {
				oldest = l
			}
		}
		delete(b.limits, oldest.server)
	}
}

// hasEnded reports whether the limit ended so long ago that its end need not be kept.
func (l *limit) hasEnded(now time.Time) bool { return !l.Limited && now.Sub(l.StatedAt) > endRetention }

// RecordListed records that control lists the server at now.
func (b *Book) RecordListed(server uint64, now time.Time) {
	if l := b.limits[server]; l != nil {
		l.listedAt = now
	}
}

// HasLimits reports whether a server limits its rate, or did until some seconds ago.
func (b *Book) HasLimits(now time.Time) bool {
	if len(b.limits) > 0 && now.Sub(b.evictedAt) >= evictionInterval {
		b.evict(now)
	}
	return len(b.limits) > 0
}

// IsLimited reports whether the server limits its rate.
func (b *Book) IsLimited(server uint64) bool {
	l := b.limits[server]
	return l != nil && l.Limited
}

// KeyShare returns which share of a limited server's own keys this router can send to it, from 0 to
// 1; limited is false if the server does not limit its rate.
func (b *Book) KeyShare(server uint64) (share float64, limited bool) {
	l := b.limits[server]
	if l == nil || !l.Limited {
		return 0, false
	}
	v := b.vantage()
	sharers := l.sharers(v)
	switch {
	case l.rank(v) >= sharers:
		return 0, true
	case sharers > l.totalBurst() || v.demandPerSecond == 0:
		return 1, true
	default:
		return min(1, usedShare*l.refillRate(v)/v.demandPerSecond), true
	}
}

// AvailableAt returns the earliest time at which this router may send a request to the server;
// blocked is false if it may at now. The time is that of the statements known at now: a later one
// may end the limit before.
func (b *Book) AvailableAt(server uint64, now time.Time) (at time.Time, blocked bool) {
	l := b.limits[server]
	if l == nil || !l.Limited {
		return time.Time{}, false
	}
	v := b.vantage()
	l.refill(v, now)
	at = latest(latest(l.tokenAt(v, now), l.windowAt(v, now)), latest(l.turnAt(v, now), latest(l.joinsAt, b.joinsAt)))
	return at, at.After(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Spend records that this router sends a request to the server.
func (b *Book) Spend(server uint64, now time.Time) {
	if l := b.limits[server]; l != nil && l.Limited {
		l.refill(b.vantage(), now)
		l.tokens--
		l.advance(now)
		l.sends[slotCount-1]++
		l.sentAt = now
	}
}

// TakeReports returns the statements that this router received in answers since the last call.
func (b *Book) TakeReports() map[uint64]Statement {
	out := make(map[uint64]Statement)
	for server, l := range b.limits {
		if l.unreported {
			l.unreported = false
			out[server] = l.Statement
		}
	}
	return out
}

// vantage is what a router's share of a rate depends on besides the server's statement.
type vantage struct {
	Position
	demandPerSecond float64
}

func (b *Book) vantage() vantage { return vantage{b.position, b.demandPerSecond} }

// count returns the number of routers to divide the rate among.
func (v vantage) count() int {
	if v.Count <= 0 {
		return unknownCount
	}
	return v.Count
}

// rank returns the router's rank for the server: those with the lowest ranks share the rate.
func (l *limit) rank(v vantage) int {
	if v.Count <= 0 {
		return 0
	}
	return int((uint64(v.Index) + l.server%uint64(v.Count)) % uint64(v.Count))
}

func (l *limit) rate() float64 { return max(l.PerSecond, minPerSecond) }

// totalBurst returns how many requests all routers together may send in burstWindow.
func (l *limit) totalBurst() int { return int(burstBase + burstSeconds*l.PerSecond) }

// sharers returns the number of routers that share the rate: as many as can send a request each in
// burstWindow. If each of these has less than one in countedWindow, they would leave most of the
// rate unused, so up to maxSharersPerBurst times as many share it. They exceed the burst if many of
// them have a request at the same time.
func (l *limit) sharers(v vantage) int {
	sharers := l.totalBurst()
	if expected := v.demandPerSecond * countedWindow.Seconds(); expected > 0 && expected < 1 {
		// Each router sends at most one request in countedWindow.
		sentPerSecond := v.demandPerSecond / (1 + expected)
		sharers = min(max(sharers, int(usedShare*l.rate()/sentPerSecond)), maxSharersPerBurst*sharers)
	}
	return min(v.count(), sharers)
}

// burst returns how many requests this router may send in burstWindow.
func (l *limit) burst(v vantage) int {
	total, sharers := l.totalBurst(), l.sharers(v)
	rank := l.rank(v)
	switch {
	case rank >= sharers || sharers > total:
		return 1
	case rank < total%sharers:
		return total/sharers + 1
	default:
		return total / sharers
	}
}

// capacity returns how many requests the bucket saves up while none are sent.
func (l *limit) capacity(v vantage) int {
	if l.sharers(v) > l.totalBurst() {
		return manySharersCapacity
	}
	return l.burst(v)
}

// refillRate returns the requests per second that this router may send in the long run.
func (l *limit) refillRate(v vantage) float64 {
	return l.rate() * float64(l.burst(v)) / float64(max(l.totalBurst(), l.sharers(v)))
}

// tokenAt returns when the bucket has a token for a request.
func (l *limit) tokenAt(v vantage, now time.Time) time.Time {
	if l.tokens >= 1 {
		return now
	}
	missing := (1 - l.tokens) / l.refillRate(v)
	return now.Add(time.Duration(math.Ceil(missing * float64(time.Second))))
}

// windowAt returns when the sends of the past burstWindow leave room for one more.
func (l *limit) windowAt(v vantage, now time.Time) time.Time {
	l.advance(now)
	sent := 0
	for _, count := range l.sends {
		sent += count
	}
	at := now
	for i := 0; sent >= l.burst(v); i++ {
		sent -= l.sends[i]
		at = l.newestSlot.Add(time.Duration(i+1) * slotLength)
	}
	return at
}

// advance moves the slots on, so that the newest one contains now.
func (l *limit) advance(now time.Time) {
	passed := int(now.Sub(l.newestSlot) / slotLength)
	if passed <= 0 {
		return
	}
	if passed >= slotCount {
		l.sends, l.newestSlot = [slotCount]int{}, now
		return
	}
	copy(l.sends[:], l.sends[passed:])
	clear(l.sends[slotCount-passed:])
	l.newestSlot = l.newestSlot.Add(time.Duration(passed) * slotLength)
}

// turnAt returns when it is the turn of a router that does not share the rate; now for one that
// does.
func (l *limit) turnAt(v vantage, now time.Time) time.Time {
	sharers := l.sharers(v)
	others := v.count() - sharers
	number := l.rank(v) - sharers
	if number < 0 {
		return now
	}
	first := l.StatedAt.Add(quietPeriod + time.Duration(number)*turnInterval)
	round := time.Duration(others) * turnInterval
	// The answer to its own request does not give a router its next turn earlier.
	from := now
	if next := l.sentAt.Add(round - turnLength); next.After(from) {
		from = next
	}
	turn := first.Add(max(0, from.Sub(first)) / round * round)
	if from.Sub(turn) >= turnLength {
		turn = turn.Add(round)
	}
	return turn
}

// refill adds the tokens since the last call.
func (l *limit) refill(v vantage, now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens += elapsed.Seconds() * l.refillRate(v)
		l.refilledAt = now
	}
	l.tokens = min(l.tokens, float64(l.capacity(v)))
}
