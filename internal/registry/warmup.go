package registry

import "time"

const (
	// warmupTolerance is by how much the end of a warm-up may vary without being a change: the calls
	// with a server's announcements take different times.
	warmupTolerance = 500 * time.Millisecond
	// warmupReserve is the remaining time that routers know up to which a later end is a change for
	// them: two announcement intervals of 1.2 s, and 0.6 s until routers have it.
	warmupReserve = 3 * time.Second
	// maxLengthenedWarmup bounds the remaining time if it is longer than the server states: routers
	// use up to 30 s.
	maxLengthenedWarmup = 30 * time.Second
)

// warmupUntil returns the end of the warm-up that an announcement received at a time states, or zero.
func (s *Server) warmupUntil(announcedAt time.Time) time.Time {
	if s.WarmupLeft <= 0 {
		return time.Time{}
	}
	return announcedAt.Add(s.WarmupLeft)
}

// nextWarmupEnd returns the end of the warm-up that an announcement of the entry's incarnation implies
// for routers, or zero if it implies no other one than they know. A server that states the same
// remaining time in each announcement would change the records of all routers each time. Therefore a
// later end counts only once the known one is near, and each further extension is longer, up to four
// times what the server states or four times warmupReserve.
func (e *Entry) nextWarmupEnd(s *Server, announcedAt time.Time) time.Time {
	if s.WarmupLeft <= 0 {
		e.extensions = 0
		return time.Time{}
	}
	left := e.WarmupUntil.Sub(announcedAt)
	if left > warmupReserve {
		return time.Time{}
	}
	remaining := s.WarmupLeft
	if left > -warmupReserve && e.extensions >= 2 {
		factor := time.Duration(2)
		if e.extensions >= 4 {
			factor = 4
		}
		remaining = max(remaining, min(factor*max(remaining, warmupReserve), maxLengthenedWarmup))
	}
	return announcedAt.Add(remaining)
}

// setWarmupEnd sets the end of the warm-up if the incarnation is new or if it ends later.
func (e *Entry) setWarmupEnd(isNew bool, until, announcedAt time.Time) {
	if !isNew && !e.endsLater(until) {
		return
	}
	e.extensions++
	if isNew || !e.WarmupUntil.After(announcedAt.Add(-warmupReserve)) {
		e.extensions = 0
	}
	e.WarmupUntil = until
}

// endsLater reports whether a stated end of the warm-up is a change for routers. An earlier end is
// none: they may use the later one.
func (e *Entry) endsLater(until time.Time) bool {
	return until.After(e.WarmupUntil.Add(warmupTolerance))
}
