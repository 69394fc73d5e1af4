package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ResultKind tells how a request on a server ended.
type ResultKind uint8

// Kinds of results.
const (
	// ResultUnknown says nothing about the server: the caller left.
	ResultUnknown ResultKind = iota
	ResultAnswered
	// ResultRefused is a server's statement that it did not run the request.
	ResultRefused
	// ResultFailed is an answer that reports a failure or is not whole.
	ResultFailed
	// ResultLost is a connection that failed or fell silent after a byte was sent.
	ResultLost
	// ResultUnreachable is a connection that could not be set up.
	ResultUnreachable
)

// String returns the kind's name in metrics.
func (k ResultKind) String() string {
	switch k {
	case ResultUnknown:
		return "unknown"
	case ResultAnswered:
		return "answered"
	case ResultRefused:
		return "refused"
	case ResultFailed:
		return "failed"
	case ResultLost:
		return "lost"
	case ResultUnreachable:
		return "unreachable"
	}
	return "invalid"
}

// Result is how a request on a server ended.
type Result struct {
	Kind ResultKind
	// FirstByte is the time to the begin of the answer, 0 where there was none.
	FirstByte time.Duration
}

const (
	// failureWeight is the weight of the newest result in the share of failures:
	// about the last eight results count.
	failureWeight = 0.12
	// suspectShare and suspectRatio make a server suspect: its share of failures
	// is above both. Servers fail one request in seven by themselves.
	suspectShare = 0.4
	suspectRatio = 2.0
	// firstPause is the time for which a server that lost a connection gets no
	// request: a crashed one refuses connections by then.
	firstPause = 300 * time.Millisecond
	// tryEvery is the pause between two requests to a suspect server.
	tryEvery = 1500 * time.Millisecond
)

// speed is how long a server takes for a piece of work; what it was some time ago
// says the less the older it is.
type speed struct {
	ms float64
	at time.Time
}

const (
	// speedWeight is the weight of the newest measure.
	speedWeight = 0.3
	// unknownShare makes a server of which nothing is known go before its equals.
	unknownShare = 0.9
	// speedFades is the time in which a measure loses most of its meaning, so that a
	// server that was slow is tried again.
	speedFades = 2 * time.Second
)

// note takes a measure. It weighs the more the older the former ones are.
func (s *speed) note(ms float64, now time.Time) {
	if s.ms == 0 {
		s.ms = ms
	}
	s.ms += max(speedWeight, 1-s.fresh(now)) * (ms - s.ms)
	s.at = now
}

// fresh returns how much the former measures still say, 0 to 1.
func (s *speed) fresh(now time.Time) float64 {
	return math.Exp(-now.Sub(s.at).Seconds() / speedFades.Seconds())
}

// likely returns what to expect, given what is usual among the servers.
func (s *speed) likely(usual float64, now time.Time) float64 {
	unknown := unknownShare * usual
	if s.ms == 0 {
		return unknown
	}
	return unknown + (s.ms-unknown)*s.fresh(now)
}

// usual returns the median of the speeds that are known, or def without any.
func usual(servers []*Server, of func(*Server) *speed, def float64) float64 {
	known := make([]float64, 0, len(servers))
	for _, s := range servers {
		if ms := of(s).ms; ms > 0 {
			known = append(known, ms)
		}
	}
	if len(known) == 0 {
		return def
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// health is what the results of a router's own requests tell of a server.
type health struct {
	failures float64
	// latency is the time to the begin of an answer, pace that between two events.
	latency speed
	pace    speed
	// lost counts the connections in a row that could not be set up.
	lost        int
	pausedUntil time.Time
	tried       time.Time
}

func (h *health) note(result Result, now time.Time) {
	switch result.Kind {
	case ResultUnknown, ResultRefused:
		return
	case ResultUnreachable:
		h.lost++
		return
	case ResultLost:
		// The server may have refused just this connection, so one loss is a short
		// pause only; several make its share of failures suspect.
		h.pausedUntil = now.Add(firstPause)
		h.tried = now
		h.fail(1)
		return
	case ResultFailed:
		h.fail(1)
	case ResultAnswered:
		h.fail(0)
	}
	h.lost = 0
	h.pausedUntil = time.Time{}
	if result.FirstByte > 0 {
		h.latency.note(milliseconds(result.FirstByte), now)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (h *health) fail(value float64) { h.failures += failureWeight * (value - h.failures) }

// isSuspect reports whether the server is better left alone; mean is the share of
// failures of all servers.
func (h *health) isSuspect(now time.Time, mean float64) bool {
	if now.Before(h.pausedUntil) {
		return true
	}
	return h.failures > suspectShare && h.failures > suspectRatio*mean
}

// mayTry reports whether a suspect server is due for a request that shows whether
// it has recovered.
func (h *health) mayTry(now time.Time) bool {
	return !now.Before(h.pausedUntil) && now.Sub(h.tried) > tryEvery
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix returns the weight of a server for a key, the same on every router.
func mix(server, key uint64) uint64 {
	x := server ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
