package ratelimit

import "time"

const (
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
	warmups   warmups
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
	b.warmups.recordPosition(b.position, position, now)
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
		l = &limit{Statement: s, terms: rateTerms(s), server: server, refilledAt: s.StatedAt, listedAt: s.StatedAt}
		l.tokens = float64(l.capacity(b.vantage()))
		b.limits[server] = l
		return s.Limited, true
	}
	if s.StatedAt.Before(l.StatedAt) {
		return false, false
	}
	isNews = l.Limited != s.Limited
	l.refill(b.vantage(), s.StatedAt)
	l.Statement, l.terms = s, rateTerms(s)
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
// 1; limited is false if the server does not limit its rate. The share is 1 once the server
// was silent for askAfter: the keys of a smaller share may have no request, and the end of the limit
// would not be noticed.
func (b *Book) KeyShare(server uint64, now time.Time) (share float64, limited bool) {
	l := b.limits[server]
	if l == nil || !l.Limited {
		return 0, false
	}
	v := b.vantage()
	sharers := l.sharers(v)
	switch {
	case l.rank(v) >= sharers:
		return 0, true
	case sharers > l.total || v.demandPerSecond == 0 || now.After(l.asksAt(v)):
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
