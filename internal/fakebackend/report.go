package fakebackend

import (
	"math/rand/v2"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// maxCacheEvents bounds the cache events of one announcement.
const maxCacheEvents = 256

// loadHistory delays load reports by lag. Samples are in order of time.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load int
}

// record adds the current load and returns the newest sample that is at least lag old, or
// the oldest sample if there is none.
func (h *loadHistory) record(now time.Time, load int) int {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= h.lag {
		h.samples = h.samples[1:]
	}
	return h.samples[0].load
}

// eventFeed publishes cache events with a delay and loses some of them, as real engines do.
type eventFeed struct {
	delay    time.Duration
	loss     float64
	random   *rand.Rand
	sequence uint64
	pending  []pendingEvent
}

type pendingEvent struct {
	due   time.Time
	event api.CacheEvent
}

// add assigns the next sequence number to a change and queues its event, unless it is lost.
func (f *eventFeed) add(now time.Time, change cacheChange) {
	f.sequence++
	if f.random.Float64() < f.loss {
		return
	}
	event := api.CacheEvent{Sequence: f.sequence, Chat: change.chat, Evicted: change.evicted}
	f.pending = append(f.pending, pendingEvent{due: now.Add(f.delay), event: event})
}

// takeDue removes and returns the events that are due, at most maxCacheEvents.
func (f *eventFeed) takeDue(now time.Time) []api.CacheEvent {
	var out []api.CacheEvent
	for len(f.pending) > 0 && len(out) < maxCacheEvents && !f.pending[0].due.After(now) {
		out = append(out, f.pending[0].event)
		f.pending = f.pending[1:]
	}
	return out
}

// slowSchedule slows a server down by factor during random periods, or always if every is
// zero. The next or current slow period is [from, to).
type slowSchedule struct {
	factor   float64
	every    time.Duration
	duration time.Duration
	random   *rand.Rand
	from, to time.Time
}

// factorAt returns the factor that multiplies the duration of work at now. Calls must be
// in order of time.
func (s *slowSchedule) factorAt(now time.Time) float64 {
	if s.factor <= 1 {
		return 1
	}
	if s.every == 0 {
		return s.factor
	}
	for !now.Before(s.to) {
		s.scheduleNext(now)
	}
	if now.Before(s.from) {
		return 1
	}
	return s.factor
}

// scheduleNext draws the next slow period; the pause before it is distributed uniformly
// around its mean, every.
func (s *slowSchedule) scheduleNext(now time.Time) {
	base := s.to
	if base.IsZero() {
		base = now
	}
	pause := time.Duration((0.5 + s.random.Float64()) * float64(s.every))
	s.from = base.Add(pause)
	s.to = s.from.Add(s.duration)
}
