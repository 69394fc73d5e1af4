package balance

import (
	"slices"
	"time"
)

// Parameters of the ejection of slow or failing servers.
const (
	// ejectFactor is the multiple of the median latency at which a server is slow.
	ejectFactor = 3.0
	// ejectSamples is the number of results that eject a server at ejectFactor; a
	// slower one, which answers seldom, is ejected on fewer.
	ejectSamples = 3
	// ejectFailures is the number of failures in a row that eject a server.
	ejectFailures = 3
	// ejectShare bounds the share of the servers that are ejected at once.
	ejectShare = 0.2
	// ejectAtLeast is the number of servers from which on one may be ejected.
	ejectAtLeast = 3
	// ejectTime is the first ejection's length; it doubles up to ejectTimeMax.
	ejectTime    = 10 * time.Second
	ejectTimeMax = 2 * time.Minute
	// reviewEvery is the time between two reviews.
	reviewEvery = 250 * time.Millisecond
	// latencyGain is the weight of a new result in the moving average.
	latencyGain = 0.3
)

// latencyScore is the state of a server's ejection.
type latencyScore struct {
	average  float64
	samples  int
	failures int
	ejected  bool
	until    time.Time
	length   time.Duration
	// fresh says that the next result replaces the average.
	fresh bool
}

func (l *latencyScore) observe(firstByte float64) {
	if l.samples == 0 || l.fresh {
		l.average = firstByte
		l.fresh = false
	}
	l.samples++
	l.average += latencyGain * (firstByte - l.average)
}

func (l *latencyScore) eject(now time.Time) {
	l.length = min(max(2*l.length, ejectTime), ejectTimeMax)
	l.ejected = true
	l.until = now.Add(l.length)
	// One more bad result after its return ejects the server again.
	l.samples = ejectSamples - 1
	l.failures = ejectFailures - 1
}

// onTrial reports whether the server has returned from an ejection and has yet
// to answer well; it gets one request at a time.
func (l *latencyScore) onTrial() bool { return l.length > 0 }

// clear ends a server's trial after a good result.
func (l *latencyScore) clear() {
	l.length = 0
	l.samples = 0
	l.failures = 0
}

// ejector takes slow or failing servers out of a pool for a bounded time.
type ejector struct {
	reviewed time.Time
	averages []float64
}

func newEjector() *ejector { return &ejector{} }

// observe records a result. Long work tells nothing of a server's speed.
func (e *ejector) observe(state *serverState, request *Request, result Result) {
	if result.Failed {
		state.latency.failures++
		return
	}
	if !state.latency.onTrial() {
		state.latency.failures = 0
	}
	e.observeFirstByte(state, request, result.FirstByte)
}

func (e *ejector) observeFirstByte(state *serverState, request *Request, took time.Duration) {
	if !isLong(request) && took > 0 {
		state.latency.observe(took.Seconds())
	}
}

// review ejects the servers that are much slower than the median and takes
// back those whose time is over.
func (e *ejector) review(now time.Time, states []*serverState) {
	if now.Sub(e.reviewed) < reviewEvery {
		return
	}
	e.reviewed = now
	room := int(ejectShare * float64(len(states)))
	if len(states) >= ejectAtLeast {
		room = max(room, 1)
	}
	for _, state := range states {
		latency := &state.latency
		if latency.ejected && !now.Before(latency.until) {
			latency.ejected = false
			latency.fresh = true
		}
		if latency.ejected {
			room--
		}
	}
	median := e.median(states)
	for _, state := range states {
		if state.latency.passed(median) {
			state.latency.clear()
		}
		if room <= 0 {
			return
		}
		if !state.latency.ejected && isOutlier(&state.latency, median) {
			state.latency.eject(now)
			room--
		}
	}
}

// passed reports whether a server on trial has answered well.
func (l *latencyScore) passed(median float64) bool {
	return l.onTrial() && !l.ejected && l.samples >= ejectSamples && l.average <= ejectFactor*median
}

func isOutlier(latency *latencyScore, median float64) bool {
	if latency.failures >= ejectFailures {
		return true
	}
	if median == 0 || latency.fresh {
		return false
	}
	slowness := latency.average / median
	return slowness > ejectFactor && float64(latency.samples)*slowness >= ejectFactor*ejectSamples
}

// median returns the median latency of the servers that have results, or zero
// where fewer than half have some.
func (e *ejector) median(states []*serverState) float64 {
	e.averages = e.averages[:0]
	for _, state := range states {
		if state.latency.samples > 0 {
			e.averages = append(e.averages, state.latency.average)
		}
	}
	if 2*len(e.averages) < len(states) {
		return 0
	}
	return highest(e.averages, (len(e.averages)+1)/2)
}

// highest returns the count-th highest of values, which it sorts.
func highest(values []float64, count int) float64 {
	slices.Sort(values)
	return values[len(values)-count]
}
