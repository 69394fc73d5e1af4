package balance

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the average time of service.
	rateTime = 4 * time.Second
	// firstByteGain is the weight of a new time to the first byte in its average.
	firstByteGain = 0.05
	// firstByteDeviations is how many mean deviations above the average the time
	// to the first byte is expected to be.
	firstByteDeviations = 3.0
)

// rateMeter estimates the rate at which the requests in flight leave, as their
// number over the mean time of service. The mean follows from the time that
// requests were in flight and the number that left, both decaying.
type rateMeter struct {
	inFlight int
	// busy is the time in flight of all requests, in seconds, and left their number.
	busy float64
	left float64
	seen time.Time
}

func (r *rateMeter) advance(now time.Time) {
	if !r.seen.IsZero() {
		elapsed := max(now.Sub(r.seen), 0)
		keep := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
		r.busy = r.busy*keep + float64(r.inFlight)*rateTime.Seconds()*(1-keep)
		r.left *= keep
	}
	r.seen = now
}

func (r *rateMeter) started(now time.Time) {
	r.advance(now)
	r.inFlight++
}

func (r *rateMeter) served(now time.Time) {
	r.advance(now)
	r.left++
	r.inFlight = max(r.inFlight-1, 0)
}

// known reports whether a request has left.
func (r *rateMeter) known() bool { return r.left > 0 && r.busy > 0 }

// perSecond returns the rate at which the requests in flight leave, or zero
// where none has left yet. A router without requests in flight counts one.
func (r *rateMeter) perSecond(now time.Time) float64 {
	r.advance(now)
	if !r.known() {
		return 0
	}
	return float64(max(r.inFlight, 1)) * r.left / r.busy
}

// latencyMeter averages the time to the first byte and its deviation.
type latencyMeter struct {
	mean      float64
	deviation float64
}

func (l *latencyMeter) observe(took time.Duration) {
	seconds := took.Seconds()
	if l.mean == 0 {
		l.mean = seconds
	}
	l.deviation += firstByteGain * (math.Abs(seconds-l.mean) - l.deviation)
	l.mean += firstByteGain * (seconds - l.mean)
}

// likely returns the time within which most first bytes come.
func (l *latencyMeter) likely() time.Duration {
	return time.Duration((l.mean + firstByteDeviations*l.deviation) * float64(time.Second))
}
