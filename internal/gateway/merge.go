package gateway

import (
	"net/http"
	"sync"
	"time"
)

const (
	// mergeShareOfLimit is the share of the users' limit on the time from server to caller that
	// an event may wait for later ones. The rest is for the network and its retransmissions.
	mergeShareOfLimit = 0.55
	// mergeShareOfPause is the share of a route's pause objective that an event may wait.
	mergeShareOfPause = 0.2
)

// mergeInterval returns the shortest time between two writes of a stream to its caller. Zero
// disables merging.
func mergeInterval(transitLimit, pauseObjective time.Duration) time.Duration {
	interval := time.Duration(mergeShareOfLimit * float64(transitLimit))
	if pauseObjective > 0 {
		interval = min(interval, time.Duration(mergeShareOfPause*float64(pauseObjective)))
	}
	return interval
}

// flushSchedule decides when the events of a stream are sent. Events that follow the last ones
// within the interval wait until it is over and are sent together: each write is a packet of
// its own, and a lost packet delays the stream by a retransmission timeout. A sparse
// stream is never delayed.
type flushSchedule struct {
	interval  time.Duration
	lastFlush time.Time
}

// delay returns how long events that were received at now wait.
func (s *flushSchedule) delay(now time.Time) time.Duration {
	if s.lastFlush.IsZero() {
		return 0
	}
	return max(s.lastFlush.Add(s.interval).Sub(now), 0)
}

// flushed records that all events were sent at now.
func (s *flushSchedule) flushed(now time.Time) { s.lastFlush = now }

// eventWriter writes the events of one stream to its caller by a flushSchedule.
type eventWriter struct {
	mu       sync.Mutex
	w        http.ResponseWriter
	schedule flushSchedule
	timer    *time.Timer
	// waiting is set while written events wait for the timer.
	waiting bool
	closed  bool
	err     error
}

func newEventWriter(w http.ResponseWriter, interval time.Duration) *eventWriter {
	return &eventWriter{w: w, schedule: flushSchedule{interval: interval}}
}

// write sends complete events, at once or together with the next ones. It returns the error of
// an earlier delayed flush if there was one.
func (e *eventWriter) write(events []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err != nil {
		return e.err
	}
	if _, e.err = e.w.Write(events); e.err != nil || e.waiting {
		return e.err
	}
	delay := e.schedule.delay(time.Now())
	if delay <= 0 {
		e.flush()
		return e.err
	}
	e.waiting = true
	if e.timer == nil {
		e.timer = time.AfterFunc(delay, e.flushWaiting)
	} else {
		e.timer.Reset(delay)
	}
	return nil
}

// flushWaiting sends the waiting events, unless the stream has ended meanwhile.
func (e *eventWriter) flushWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting && !e.closed {
		e.flush()
	}
}

// flushNow sends the waiting events, before the stream is aborted.
func (e *eventWriter) flushNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting {
		e.flush()
	}
}

// flush sends all written events; the caller holds mu.
func (e *eventWriter) flush() {
	e.waiting = false
	e.schedule.flushed(time.Now())
	if err := http.NewResponseController(e.w).Flush(); e.err == nil {
		e.err = err
	}
}

// close ends the use of the caller's writer. Events that wait are sent with the end of the
// answer.
func (e *eventWriter) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.timer != nil {
		e.timer.Stop()
	}
}
