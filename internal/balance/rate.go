package balance

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the average service time.
	rateTimeConstant = 4 * time.Second
	// firstByteSmoothing is the weight of a new time to the first byte in the moving
	// average.
	firstByteSmoothing = 0.05
	// firstByteDeviations is the number of mean deviations added to the average time
	// to the first byte for an upper estimate.
	firstByteDeviations = 3.0
)

// rateMeter estimates the service rate as the number of requests in flight divided
// by the mean service time (Little's law). The mean service time is the total time
// in flight divided by the number of completed requests, both decaying
// exponentially.
type rateMeter struct {
	inFlight int
	// busySeconds is the time in flight summed over all requests, and completed
	// their number; both decay.
	busySeconds float64
	completed   float64
	updatedAt   time.Time
}

func (r *rateMeter) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		elapsed := max(now.Sub(r.updatedAt), 0)
		retained := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		r.busySeconds = r.busySeconds*retained + float64(r.inFlight)*rateTimeConstant.Seconds()*(1-retained)
		r.completed *= retained
	}
	r.updatedAt = now
}

func (r *rateMeter) recordStart(now time.Time) {
	r.decay(now)
	r.inFlight++
}

func (r *rateMeter) cancelStart(now time.Time) {
	r.decay(now)
	r.inFlight = max(r.inFlight-1, 0)
}

func (r *rateMeter) recordCompletion(now time.Time) {
	r.decay(now)
	r.completed++
	r.inFlight = max(r.inFlight-1, 0)
}

// hasEstimate reports whether a request has completed.
func (r *rateMeter) hasEstimate() bool { return r.completed > 0 && r.busySeconds > 0 }

// perSecond returns the rate at which requests complete, or zero before the first
// has completed. A router without requests in flight counts as having one.
func (r *rateMeter) perSecond(now time.Time) float64 {
	r.decay(now)
	if !r.hasEstimate() {
		return 0
	}
	return float64(max(r.inFlight, 1)) * r.completed / r.busySeconds
}

// latencyMeter keeps moving averages, in seconds, of the time to the first byte and
// of its absolute deviation.
type latencyMeter struct {
	mean      float64
	deviation float64
}

func (l *latencyMeter) record(firstByte time.Duration) {
	seconds := firstByte.Seconds()
	if l.mean == 0 {
		l.mean = seconds
	}
	l.deviation += firstByteSmoothing * (math.Abs(seconds-l.mean) - l.deviation)
	l.mean += firstByteSmoothing * (seconds - l.mean)
}

// upperEstimate returns a time within which most first bytes arrive.
func (l *latencyMeter) upperEstimate() time.Duration {
	return time.Duration((l.mean + firstByteDeviations*l.deviation) * float64(time.Second))
}
