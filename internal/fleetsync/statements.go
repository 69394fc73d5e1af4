package fleetsync

import (
	"math"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// MaxStatementAge is the age up to which a statement on a rate limit is forwarded.
	MaxStatementAge = 10 * time.Second
	// maxStatements limits the servers whose statements are kept and sent.
	maxStatements = 4096
	// statementRefreshInterval is the time after which a router reports a statement that repeats
	// the last one that it knows, so that it stays younger than MaxStatementAge everywhere.
	statementRefreshInterval = 3 * time.Second
	// minStatementRefresh is the same for statements of other processes. It is shorter: the times
	// vary by the network delay, and a statement that one hop keeps back is late by a whole
	// statementRefreshInterval.
	minStatementRefresh = statementRefreshInterval / 2
	// rateChangeSpacing is the minimum time between two changed rates of a server that are
	// forwarded as news.
	rateChangeSpacing = 500 * time.Millisecond
	// rateChangeThreshold is the relative change of a rate from which it is news.
	rateChangeThreshold = 0.1
	// statementEvictionInterval is the time between two searches for outdated statements.
	statementEvictionInterval = time.Second
)

// relation is how the process that sent a statement is related to this one.
type relation uint8

const (
	relationNone relation = iota
	relationSelf
	// relationFollower is that of a router that follows this process.
	relationFollower
	// relationUpstream is that of the source of a router, and of another control replica.
	relationUpstream
)

// origin is the process from which a statement was received. A statement is not sent back to it:
// the network delay would make it look newer than it is.
type origin struct {
	relation relation
	// follower is the instance of a follower.
	follower string
}

var (
	originNone     = origin{relation: relationNone}
	originSelf     = origin{relation: relationSelf}
	originUpstream = origin{relation: relationUpstream}
)

// statementCache holds the newest statement of each server by the server's hash. It is safe for
// concurrent use.
type statementCache struct {
	mu       sync.Mutex
	byServer map[uint64]*cachedStatement
	// revision counts the statements to forward.
	revision  uint64
	evictedAt time.Time
}

type cachedStatement struct {
	newest ratelimit.Statement
	// forwarded is the statement as of revision.
	forwarded ratelimit.Statement
	origin    origin
	// revision is that of the last statement to forward, newsRevision that of the last one
	// that begins or ends a limit or changes it.
	revision, newsRevision uint64
}

// statementCursor is what a process has received of a cache.
type statementCursor struct {
	// all is the revision up to which it has received all statements, news that of the news.
	all, news uint64
}

func newStatementCache() *statementCache {
	return &statementCache{byServer: make(map[uint64]*cachedStatement)}
}

func (c *statementCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byServer)
}

// merge stores the statements that are newer than the cached ones. It returns them, and whether
// any is news: if it begins or ends a limit, or changes the rate by more than
// rateChangeThreshold.
func (c *statementCache) merge(received map[uint64]ratelimit.Statement, from origin, now time.Time) (newer map[uint64]ratelimit.Statement, news bool) {
	if len(received) == 0 {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(now)
	newer = make(map[uint64]ratelimit.Statement, len(received))
	for server, statement := range received {
		if now.Sub(statement.StatedAt) > MaxStatementAge {
			continue
		}
		cached, found := c.byServer[server]
		switch {
		case found && !statement.StatedAt.After(cached.newest.StatedAt):
			continue
		case !found && !c.makeRoom(statement.StatedAt):
			continue
		case !found:
			cached = &cachedStatement{}
			c.byServer[server] = cached
		}
		newer[server] = statement
		news = c.store(cached, statement, from) || news
	}
	return newer, news
}

// store replaces a cached statement by a newer one and reports whether it is news.
func (c *statementCache) store(cached *cachedStatement, statement ratelimit.Statement, from origin) bool {
	cached.newest, cached.origin = statement, from
	refreshAfter := minStatementRefresh
	if from == originSelf {
		refreshAfter = statementRefreshInterval
	}
	isNews := cached.revision == 0 || isRateNews(cached.forwarded, statement)
	if !isNews && statement.StatedAt.Sub(cached.forwarded.StatedAt) < refreshAfter {
		return false
	}
	c.revision++
	cached.forwarded, cached.revision = statement, c.revision
	if isNews {
		cached.newsRevision = c.revision
	}
	return isNews
}

// isRateNews reports whether a statement says something new after an earlier one.
func isRateNews(earlier, statement ratelimit.Statement) bool {
	if earlier.Limited != statement.Limited {
		return true
	}
	changed := math.Abs(statement.PerSecond-earlier.PerSecond) > rateChangeThreshold*earlier.PerSecond
	return statement.Limited && changed && statement.StatedAt.Sub(earlier.StatedAt) >= rateChangeSpacing
}

// makeRoom reports whether a statement of another server may be stored. If the cache is full, it
// removes the oldest statement, unless that is newer.
func (c *statementCache) makeRoom(statedAt time.Time) bool {
	if len(c.byServer) < maxStatements {
		return true
	}
	oldest, oldestAt := uint64(0), statedAt
	for server, cached := range c.byServer {
		if cached.newest.StatedAt.Before(oldestAt) {
			oldest, oldestAt = server, cached.newest.StatedAt
		}
	}
	if !oldestAt.Before(statedAt) {
		return false
	}
	delete(c.byServer, oldest)
	return true
}

// changes returns the statements that a process with the given cursor lacks, and its cursor once
// it has received them. Those that were received from the process itself are left out; newsOnly
// leaves out those that repeat what was said before.
func (c *statementCache) changes(cursor statementCursor, newsOnly bool, to origin, now time.Time) (map[uint64]ratelimit.Statement, statementCursor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := statementCursor{all: cursor.all, news: c.revision}
	if !newsOnly {
		next.all = c.revision
	}
	if next == cursor {
		return nil, next
	}
	c.evict(now)
	out := make(map[uint64]ratelimit.Statement)
	for server, cached := range c.byServer {
		lacks := cached.newsRevision > cursor.news
		if !newsOnly {
			// The last statement is not sent again if it was sent as news.
			lacks = cached.revision > cursor.all && (cached.revision > cursor.news || cached.newsRevision != cached.revision)
		}
		if lacks && cached.origin != to && now.Sub(cached.newest.StatedAt) <= MaxStatementAge {
			out[server] = cached.newest
		}
	}
	return out, next
}

// adopt treats the statements of a router's former source as the router's own: the new source may
// lack them.
func (c *statementCache) adopt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cached := range c.byServer {
		if cached.origin == originUpstream {
			cached.origin = originSelf
		}
	}
}

func (c *statementCache) evict(now time.Time) {
	if now.Sub(c.evictedAt) < statementEvictionInterval {
		return
	}
	c.evictedAt = now
	for server, cached := range c.byServer {
		if now.Sub(cached.newest.StatedAt) > MaxStatementAge {
			delete(c.byServer, server)
		}
	}
}

// endedRate stands for the end of a limit in messages.
const endedRate = -1

// toRateStatements returns the message for statements keyed by the servers' hashes, or nil if
// there are none.
func toRateStatements(byServer map[uint64]ratelimit.Statement, now time.Time) *fleetpb.RateStatements {
	if len(byServer) == 0 {
		return nil
	}
	out := &fleetpb.RateStatements{}
	for server, statement := range byServer {
		rate := float32(endedRate)
		if statement.Limited {
			rate = roundDown(statement.PerSecond)
		}
		out.Servers = append(out.Servers, server)
		out.PerSecond = append(out.PerSecond, rate)
		// Rounded up, a statement does not look newer with each transmission.
		out.AgeMs = append(out.AgeMs, ageMS(statement.StatedAt, now.Add(time.Millisecond-1)))
	}
	return out
}

// roundDown returns the highest value of lower precision that does not exceed a rate.
func roundDown(rate float64) float32 {
	out := float32(min(rate, math.MaxFloat32))
	if float64(out) > rate {
		out = math.Nextafter32(out, 0)
	}
	return out
}

// fromRateStatements returns the statements of a message received at now, keyed by the servers'
// hashes. It leaves out malformed and outdated ones, and those beyond maxStatements.
func fromRateStatements(message *fleetpb.RateStatements, now time.Time) map[uint64]ratelimit.Statement {
	servers, rates, ages := message.GetServers(), message.GetPerSecond(), message.GetAgeMs()
	count := min(len(servers), len(rates), len(ages), maxStatements)
	out := make(map[uint64]ratelimit.Statement, count)
	for i := range count {
		rate := float64(rates[i])
		statement := ratelimit.Statement{PerSecond: rate, Limited: true, StatedAt: timeOf(ages[i], now)}
		switch {
		case rate == endedRate:
			statement.PerSecond, statement.Limited = 0, false
		case !(rate >= 0) || math.IsInf(rate, 1):
			continue
		}
		if now.Sub(statement.StatedAt) <= MaxStatementAge && statement.StatedAt.After(out[servers[i]].StatedAt) {
			out[servers[i]] = statement
		}
	}
	return out
}
