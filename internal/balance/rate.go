package balance

import "time"

// rateBuckets is the number of parts of the rate window.
const rateBuckets = 8

const bucketLength = rateWindow / rateBuckets

// rateMeter counts events over a sliding window: its whole buckets and the
// one that is being filled.
type rateMeter struct {
	counts  [rateBuckets + 1]int
	bucket  int64
	started time.Time
}

func (r *rateMeter) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketLength)
	if r.started.IsZero() {
		r.started = now
		r.bucket = bucket
	}
	steps := min(bucket-r.bucket, int64(len(r.counts)))
	for i := range max(steps, 0) {
		r.counts[(r.bucket+1+i)%int64(len(r.counts))] = 0
	}
	r.bucket = max(bucket, r.bucket)
}

func (r *rateMeter) add(now time.Time) {
	r.advance(now)
	r.counts[r.bucket%int64(len(r.counts))]++
}

// perSecond returns the events a second over the window, or over the shorter
// time since the first event.
func (r *rateMeter) perSecond(now time.Time) float64 {
	if r.started.IsZero() {
		return 0
	}
	r.advance(now)
	total := 0
	for _, count := range r.counts {
		total += count
	}
	window := rateWindow + time.Duration(now.UnixNano()%int64(bucketLength))
	window = min(max(now.Sub(r.started), bucketLength), window)
	return float64(total) / window.Seconds()
}
