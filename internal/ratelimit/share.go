package ratelimit

import (
	"math"
	"time"
)

// A server that names a rate may get burstBase requests and burstSeconds times its rate in any
// burstWindow, from all routers together, and its rate in the long run. Each router that shares the rate may send a
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
	// slotsPerWindow is the resolution at which sends are counted. The slots cover the window
	// wherever it begins, and one slot more: the time from a choice to the arrival of the request
	// varies.
	slotsPerWindow = 10
	slotCount      = slotsPerWindow + 2
	// usedShare is the share of the rate for which requests are planned, so that chance seldom
	// moves one to another server.
	usedShare = 0.9
)

const (
	// unknownCount is the number of routers that one with an unknown position assumes.
	unknownCount = 16
	// askAfter is the time since the newest statement, and since its own last request, from which a
	// router that shares the rate sends any request for the server. Each further router waits for
	// askSpacing more, in which it learns of an answer to the one before.
	askAfter   = burstWindow
	askSpacing = time.Second
	// quietPeriod is the age of the newest statement from which the other routers take turns, since
	// those that share the rate may have no request for the server; a limit that does not change is
	// told to routers at least every 8 s. In each turnInterval the next one may send a request
	// within turnLength, which leaves burstWindow between two turns.
	quietPeriod  = 10 * time.Second
	turnInterval = 8 * time.Second
	turnLength   = 2 * time.Second
)

// terms are the figures of a limit.
type terms struct {
	// window is the time in which all routers together may send total requests.
	window time.Duration
	total  int
	// perSecond is the rate in the long run.
	perSecond float64
	// overbooking bounds the routers that share the rate, relative to total, if each of them has
	// less than one request in the counted window.
	overbooking int
	// expiresAt is when the limit ends without a statement. Such a limit is not probed, and needs a
	// position. It is zero for a limit that a statement ends.
	expiresAt time.Time
}

// rateTerms returns the terms of a server's statement.
func rateTerms(s Statement) terms {
	return terms{
		window: burstWindow, total: int(burstBase + burstSeconds*s.PerSecond), perSecond: max(s.PerSecond, minPerSecond),
		overbooking: maxSharersPerBurst,
	}
}

// slotLength is the length of the slots in which sends are counted.
func (t *terms) slotLength() time.Duration { return t.window / slotsPerWindow }

// countedWindow is the time in which a router sends at most its part of the total.
func (t *terms) countedWindow() time.Duration { return slotCount * t.slotLength() }

// limit is the newest statement of a server and the router's bucket for it.
type limit struct {
	Statement
	terms
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

// sharers returns the number of routers that share the rate: as many as can send a request each in
// the window. If each of these has less than one in the counted window, they would leave most of the
// rate unused, so up to overbooking times as many share it. They exceed the total if many of them
// have a request at the same time.
func (l *limit) sharers(v vantage) int {
	sharers := l.total
	if expected := v.demandPerSecond * l.countedWindow().Seconds(); l.overbooking > 1 && expected > 0 && expected < 1 {
		// Each router sends at most one request in the counted window.
		sentPerSecond := v.demandPerSecond / (1 + expected)
		sharers = min(max(sharers, int(usedShare*l.perSecond/sentPerSecond)), l.overbooking*sharers)
	}
	return min(v.count(), sharers)
}

// burst returns how many requests this router may send in the window.
func (l *limit) burst(v vantage) int {
	total, sharers := l.total, l.sharers(v)
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
	if l.sharers(v) > l.total {
		return manySharersCapacity
	}
	return l.burst(v)
}

// refillRate returns the requests per second that this router may send in the long run.
func (l *limit) refillRate(v vantage) float64 {
	return l.perSecond * float64(l.burst(v)) / float64(max(l.total, l.sharers(v)))
}

// tokenAt returns when the bucket has a token for a request.
func (l *limit) tokenAt(v vantage, now time.Time) time.Time {
	if l.tokens >= 1 {
		return now
	}
	missing := (1 - l.tokens) / l.refillRate(v)
	return now.Add(time.Duration(math.Ceil(missing * float64(time.Second))))
}

// windowAt returns when the sends of the past window leave room for one more.
func (l *limit) windowAt(v vantage, now time.Time) time.Time { return l.freeAt(l.burst(v), now) }

// freeAt returns when fewer than a number of sends are counted.
func (l *limit) freeAt(burst int, now time.Time) time.Time {
	l.advance(now)
	sent := 0
	for _, count := range l.sends {
		sent += count
	}
	at := now
	for i := 0; sent >= burst; i++ {
		sent -= l.sends[i]
		at = l.newestSlot.Add(time.Duration(i+1) * l.slotLength())
	}
	return at
}

// advance moves the slots on, so that the newest one contains now.
func (l *limit) advance(now time.Time) {
	passed := int(now.Sub(l.newestSlot) / l.slotLength())
	if passed <= 0 {
		return
	}
	if passed >= slotCount {
		l.sends, l.newestSlot = [slotCount]int{}, now
		return
	}
	copy(l.sends[:], l.sends[passed:])
	clear(l.sends[slotCount-passed:])
	l.newestSlot = l.newestSlot.Add(time.Duration(passed) * l.slotLength())
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

// asksAt returns from when a router that shares the rate sends any request for the server.
func (l *limit) asksAt(v vantage) time.Time {
	return latest(l.StatedAt, l.sentAt).Add(askAfter + time.Duration(l.rank(v))*askSpacing)
}

// refill adds the tokens since the last call.
func (l *limit) refill(v vantage, now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens += elapsed.Seconds() * l.refillRate(v)
		l.refilledAt = now
	}
	l.tokens = min(l.tokens, float64(l.capacity(v)))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
