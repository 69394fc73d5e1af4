// Package withdrawal keeps what backend servers state about themselves in their answers: that
// they are leaving, or want no request for some time. It does no I/O, starts no goroutine and
// reads no clock.
package withdrawal

import (
	"strconv"
	"strings"
	"time"
)

const (
	// retention is how long a statement is kept while its server is not listed. Announcements
	// are late by less.
	retention = 10 * time.Minute
	// maxStatements limits the statements that are kept.
	maxStatements = 4096
	// defaultPause applies if a Retry-After is not a number of seconds: the server wants a
	// pause of unknown length.
	defaultPause = time.Second
	// maxPause limits the pause that a server can ask for, so that a faulty one does not take
	// itself out of use for hours.
	maxPause = 5 * time.Minute
)

// ParseRetryAfter returns the pause that the values of a Retry-After header ask for. No value and
// zero ask for none. Of several values the longest counts; one that is not a number of seconds
// from 0 on, such as a date, counts as 1 s. The pause is at most 5 minutes.
func ParseRetryAfter(values []string) (longest time.Duration) {
	for _, value := range values {
		pause := defaultPause
		// The comparison is false for NaN.
		if seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && seconds >= 0 {
			pause = time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
		}
		longest = max(longest, pause)
	}
	return longest
}

// Book holds the statements of servers. Its keys identify incarnations of servers, so that a
// statement ends with the process that made it. It is not safe for concurrent use.
type Book[K comparable] struct {
	statements map[K]*statement
}

type statement struct {
	leaving     bool
	pausedUntil time.Time
	// seenAt is when the server was last listed, or when it made the statement.
	seenAt time.Time
}

// MarkLeaving records that a server is leaving, and reports whether that is news.
func (b *Book[K]) MarkLeaving(server K, now time.Time) bool {
	s := b.statement(server, now)
	isNew := !s.leaving
	s.leaving = true
	return isNew
}

// Pause records that a server wants no request until a time, and reports whether it wanted some
// before.
func (b *Book[K]) Pause(server K, until, now time.Time) bool {
	s := b.statement(server, now)
	isNew := !now.Before(s.pausedUntil)
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return isNew
}

func (b *Book[K]) statement(server K, now time.Time) *statement {
	if b.statements == nil {
		b.statements = make(map[K]*statement)
	}
	s := b.statements[server]
	if s == nil {
		b.evict(now)
		s = &statement{}
		b.statements[server] = s
	}
	s.seenAt = now
	return s
}

// evict deletes statements without an effect, and the oldest ones from maxStatements on.
func (b *Book[K]) evict(now time.Time) {
	for server, s := range b.statements {
		if now.Sub(s.seenAt) > retention || !s.leaving && !now.Before(s.pausedUntil) {
			delete(b.statements, server)
		}
	}
	for len(b.statements) >= maxStatements {
		var oldest K
		var oldestAt time.Time
		for server, s := range b.statements {
			if oldestAt.IsZero() || s.seenAt.Before(oldestAt) {
				oldest, oldestAt = server, s.seenAt
			}
		}
		delete(b.statements, oldest)
	}
}

// RecordListed records that control, or an announcement, lists the server at now, and reports
// whether the server is leaving.
func (b *Book[K]) RecordListed(server K, now time.Time) (leaving bool) {
	s := b.statements[server]
	if s == nil {
		return false
	}
	s.seenAt = now
	return s.leaving
}

// PausedUntil returns until when the server wants no request; ok is false if it accepts requests
// at now.
func (b *Book[K]) PausedUntil(server K, now time.Time) (until time.Time, ok bool) {
	s := b.statements[server]
	if s == nil || !now.Before(s.pausedUntil) {
		return time.Time{}, false
	}
	return s.pausedUntil, true
}

// Leaving returns the number of leaving servers that were listed at or after a time.
func (b *Book[K]) Leaving(listedSince time.Time) (count int) {
	for _, s := range b.statements {
		if s.leaving && !s.seenAt.Before(listedSince) {
			count++
		}
	}
	return count
}

// IsEmpty reports whether no server has made a statement that is kept.
func (b *Book[K]) IsEmpty() bool { return len(b.statements) == 0 }
