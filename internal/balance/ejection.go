package balance

import (
	"slices"
	"time"
)

// Parameters of the ejection of slow or failing servers.
const (
	// outlierFactor is the multiple of the median time to the first byte above which
	// a server is an outlier.
	outlierFactor = 3.0
	// outlierSamples is the number of results that eject a server at outlierFactor.
	// A slower server is ejected after fewer, because it answers less often.
	outlierSamples = 3
	// maxConsecutiveFailures is the number of consecutive failures that eject a
	// server.
	maxConsecutiveFailures = 3
	// maxEjectedShare bounds the share of the servers that are ejected at once.
	maxEjectedShare = 0.2
	// minServersToEject is the pool size from which at least one server may be
	// ejected.
	minServersToEject = 3
	// baseEjectionTime is the duration of the first ejection; it doubles up to
	// maxEjectionTime.
	baseEjectionTime = 10 * time.Second
	maxEjectionTime  = 2 * time.Minute
	// reviewInterval is the time between two reviews of all servers.
	reviewInterval = 250 * time.Millisecond
	// latencySmoothing is the weight of a new result in the moving average.
	latencySmoothing = 0.3
)

// ejectionState is the outlier detection state of a server.
type ejectionState struct {
	averageSeconds      float64
	samples             int
	consecutiveFailures int
	ejected             bool
	ejectedUntil        time.Time
	ejectionTime        time.Duration
	// resetAverage makes the next result replace the average.
	resetAverage bool
}

func (s *ejectionState) recordFirstByte(firstByte float64) {
	if s.samples == 0 || s.resetAverage {
		s.averageSeconds = firstByte
		s.resetAverage = false
	}
	s.samples++
	s.averageSeconds += latencySmoothing * (firstByte - s.averageSeconds)
}

func (s *ejectionState) eject(now time.Time) {
	s.ejectionTime = min(max(2*s.ejectionTime, baseEjectionTime), maxEjectionTime)
	s.ejected = true
	s.ejectedUntil = now.Add(s.ejectionTime)
	// One more bad result after the server's return ejects it again.
	s.samples = outlierSamples - 1
	s.consecutiveFailures = maxConsecutiveFailures - 1
}

// onProbation reports whether the server was ejected and has not yet answered well
// since; after its return it gets one request at a time.
func (s *ejectionState) onProbation() bool { return s.ejectionTime > 0 }

// endProbation clears the history of a server that has answered well.
func (s *ejectionState) endProbation() {
	s.ejectionTime = 0
	s.samples = 0
	s.consecutiveFailures = 0
}

// ejector ejects slow or failing servers from a pool for a limited time. At most
// maxEjectedShare of the servers are ejected at once, but the limit is at least one in
// a pool of minServersToEject or more.
type ejector struct {
	lastReview time.Time
	averages   []float64
}

func newEjector() *ejector { return &ejector{} }

// recordResult records a result. The time to the first byte of long requests is
// ignored because it does not show the server's speed.
func (e *ejector) recordResult(state *serverState, request *Request, result Result) {
	if result.Failed {
		state.ejection.consecutiveFailures++
		return
	}
	if !state.ejection.onProbation() {
		state.ejection.consecutiveFailures = 0
	}
	e.recordFirstByte(state, request, result.FirstByte)
}

func (e *ejector) recordFirstByte(state *serverState, request *Request, firstByte time.Duration) {
	if !isLong(request) && firstByte > 0 {
		state.ejection.recordFirstByte(firstByte.Seconds())
	}
}

// review ejects the servers that are outliers and readmits those whose ejection has
// ended.
func (e *ejector) review(now time.Time, states []*serverState) {
	if now.Sub(e.lastReview) < reviewInterval {
		return
	}
	e.lastReview = now
	remaining := int(maxEjectedShare * float64(len(states)))
	if len(states) >= minServersToEject {
		remaining = max(remaining, 1)
	}
	for _, state := range states {
		ejection := &state.ejection
		if ejection.ejected && !now.Before(ejection.ejectedUntil) {
			ejection.ejected = false
			ejection.resetAverage = true
		}
		if ejection.ejected {
			remaining--
		}
	}
	median := e.medianFirstByte(states)
	for _, state := range states {
		if state.ejection.passedProbation(median) {
			state.ejection.endProbation()
		}
		if remaining <= 0 {
			return
		}
		if !state.ejection.ejected && isOutlier(&state.ejection, median) {
			state.ejection.eject(now)
			remaining--
		}
	}
}

// passedProbation reports whether a readmitted server has answered well often
// enough.
func (s *ejectionState) passedProbation(median float64) bool {
	return s.onProbation() && !s.ejected && s.samples >= outlierSamples && s.averageSeconds <= outlierFactor*median
}

func isOutlier(ejection *ejectionState, median float64) bool {
	if ejection.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if median == 0 || ejection.resetAverage {
		return false
	}
	slowness := ejection.averageSeconds / median
	return slowness > outlierFactor && float64(ejection.samples)*slowness >= outlierFactor*outlierSamples
}

// medianFirstByte returns the median, in seconds, of the servers' average times to
// the first byte, or zero if fewer than half of the servers have samples.
func (e *ejector) medianFirstByte(states []*serverState) float64 {
	e.averages = e.averages[:0]
	for _, state := range states {
		if state.ejection.samples > 0 {
			e.averages = append(e.averages, state.ejection.averageSeconds)
		}
	}
	if 2*len(e.averages) < len(states) {
		return 0
	}
	return nthHighest(e.averages, (len(e.averages)+1)/2)
}

// nthHighest sorts values and returns the count-th highest.
func nthHighest(values []float64, count int) float64 {
	slices.Sort(values)
	return values[len(values)-count]
}
