package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ResultKind is how a request on a server ended.
type ResultKind uint8

// Kinds of results.
const (
	// ResultUnknown means that the caller canceled, which gives no evidence about
	// the server.
	ResultUnknown ResultKind = iota
	ResultAnswered
	// ResultRefused means that the server reported that it did not execute the
	// request.
	ResultRefused
	// ResultFailed means that the answer reported a failure or was incomplete.
	ResultFailed
	// ResultLost means that the connection failed or timed out after a byte was
	// sent.
	ResultLost
	// ResultUnreachable means that the connection could not be set up.
	ResultUnreachable
)

// String returns the name of the kind in metrics.
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

// Result is the outcome of a request on a server.
type Result struct {
	Kind ResultKind
	// FirstByte is the time to the first byte of the answer, 0 if there was none.
	FirstByte time.Duration
	// ByRouter is set if a connection was lost because of this router, as after an attempt timeout,
	// and the server did not close it. The server's process then did not end.
	ByRouter bool
}

const (
	// failureSmoothing is the weight of the newest result in the moving average of
	// failures; about the last eight results count.
	failureSmoothing = 0.12
	// A server is suspect if its share of failures exceeds both suspectShare and
	// suspectRatio times the mean of all servers. Healthy servers fail one request
	// in seven.
	suspectShare = 0.4
	suspectRatio = 2.0
	// lossPause is the time for which a server gets no requests after it lost a
	// connection; after this time a crashed server refuses connections.
	lossPause = 300 * time.Millisecond
	// trialInterval is the minimum time between two trial requests to a suspect
	// server.
	trialInterval = 1500 * time.Millisecond
)

// decayingAverage is a moving average of the time that a server takes for a kind of
// work. Its weight decays with the age of the last sample.
type decayingAverage struct {
	ms float64
	at time.Time
}

const (
	// averageSmoothing is the weight of the newest sample.
	averageSmoothing = 0.3
	// unmeasuredFactor ranks a server without samples slightly before equal ones, so
	// that it gets measured.
	unmeasuredFactor = 0.9
	// averageDecayTime is the time constant with which samples lose their weight, so
	// that a server that was slow is tried again.
	averageDecayTime = 2 * time.Second
)

// record adds a sample. Its weight grows with the age of the average.
func (s *decayingAverage) record(ms float64, now time.Time) {
	if s.ms == 0 {
		s.ms = ms
	}
	s.ms += max(averageSmoothing, 1-s.freshness(now)) * (ms - s.ms)
	s.at = now
}

// freshness returns the weight of the average, from 0 to 1, which decays with its
// age.
func (s *decayingAverage) freshness(now time.Time) float64 {
	return math.Exp(-now.Sub(s.at).Seconds() / averageDecayTime.Seconds())
}

// estimate returns the expected time in milliseconds. A stale average moves toward
// the median of the servers, slightly lowered by unmeasuredFactor.
func (s *decayingAverage) estimate(median float64, now time.Time) float64 {
	unmeasured := unmeasuredFactor * median
	if s.ms == 0 {
		return unmeasured
	}
	return unmeasured + (s.ms-unmeasured)*s.freshness(now)
}

// medianMS returns the median of the servers' averages in milliseconds, or fallback
// if no server has samples.
func medianMS(servers []*Server, averageOf func(*Server) *decayingAverage, fallback float64) float64 {
	measured := make([]float64, 0, len(servers))
	for _, s := range servers {
		if ms := averageOf(s).ms; ms > 0 {
			measured = append(measured, ms)
		}
	}
	if len(measured) == 0 {
		return fallback
	}
	return smallest(measured, (len(measured)-1)/2)
}

// health is the state of a server derived from the results of the router's own
// requests.
type health struct {
	failureShare float64
	// firstByte is the time to the first byte of an answer, eventInterval the time
	// between two events of a stream.
	firstByte     decayingAverage
	eventInterval decayingAverage
	// connectFailures is the number of consecutive connections that could not be set
	// up.
	connectFailures int
	pausedUntil     time.Time
	lastTrial       time.Time
}

func (h *health) record(result Result, now time.Time) {
	switch result.Kind {
	case ResultUnknown, ResultRefused:
		return
	case ResultUnreachable:
		h.connectFailures++
		return
	case ResultLost:
		// The server may have dropped only this connection, so a single loss causes
		// a short pause only. Several losses raise the share of failures until the
		// server is suspect.
		h.pausedUntil = now.Add(lossPause)
		h.lastTrial = now
		h.recordOutcome(1)
		return
	case ResultFailed:
		h.recordOutcome(1)
	case ResultAnswered:
		h.recordOutcome(0)
	}
	h.connectFailures = 0
	h.pausedUntil = time.Time{}
	if result.FirstByte > 0 {
		h.firstByte.record(milliseconds(result.FirstByte), now)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (h *health) recordOutcome(failed float64) {
	h.failureShare += failureSmoothing * (failed - h.failureShare)
}

// isSuspect reports whether requests should avoid the server; mean is the mean share
// of failures of all servers.
func (h *health) isSuspect(now time.Time, mean float64) bool {
	if now.Before(h.pausedUntil) {
		return true
	}
	return h.failureShare > suspectShare && h.failureShare > suspectRatio*mean
}

// isTrialDue reports whether a suspect server is due for a trial request.
func (h *health) isTrialDue(now time.Time) bool {
	return !now.Before(h.pausedUntil) && now.Sub(h.lastTrial) > trialInterval
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix returns the rendezvous hashing score of a server for a key; it is the same on
// every router.
func mix(server, key uint64) uint64 {
	x := server ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
