package fakebackend

import (
	"math/rand/v2"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// maxCacheEvents bounds the cache events of one announcement.
const maxCacheEvents = 256

// loadHistory answers what the load was some time ago.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load int
}

// report adds the current load and returns the newest one that is at least the
// lag old, or the oldest known.
func (h *loadHistory) report(now time.Time, load int) int {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= h.lag {
		h.samples = h.samples[1:]
	}
	return h.samples[0].load
}

// eventFeed publishes cache events late and loses some of them, as engines do.
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

// add numbers a change and queues it unless it gets lost.
func (f *eventFeed) add(now time.Time, change cacheChange) {
	f.sequence++
	if f.random.Float64() < f.loss {
		return
	}
	event := api.CacheEvent{Sequence: f.sequence, Chat: change.chat, Evicted: change.evicted}
	f.pending = append(f.pending, pendingEvent{due: now.Add(f.delay), event: event})
}

// take returns the events that are due, at most maxCacheEvents of them.
func (f *eventFeed) take(now time.Time) []api.CacheEvent {
	var out []api.CacheEvent
	for len(f.pending) > 0 && len(out) < maxCacheEvents && !f.pending[0].due.After(now) {
		out = append(out, f.pending[0].event)
		f.pending = f.pending[1:]
	}
	return out
}

// slowSchedule slows a server down for some time now and then.
type slowSchedule struct {
	factor   float64
	every    time.Duration
	duration time.Duration
	random   *rand.Rand
	from, to time.Time
}

// at returns the factor by which work takes longer at now. Calls must not go
// back in time.
func (s *slowSchedule) at(now time.Time) float64 {
	if s.factor <= 1 {
		return 1
	}
	if s.every == 0 {
		return s.factor
	}
	for !now.Before(s.to) {
		s.next(now)
	}
	if now.Before(s.from) {
		return 1
	}
	return s.factor
}

// next draws the next slow period; the pause before it is spread evenly around
// the mean pause.
func (s *slowSchedule) next(now time.Time) {
	base := s.to
	if base.IsZero() {
		base = now
	}
	pause := time.Duration((0.5 + s.random.Float64()) * float64(s.every))
	s.from = base.Add(pause)
	s.to = s.from.Add(s.duration)
}
