package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMergeIntervalFollowsTheTighterLimit(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mergeInterval(120*time.Millisecond, 400*time.Millisecond)).To(Equal(66 * time.Millisecond))
	g.Expect(mergeInterval(200*time.Millisecond, 300*time.Millisecond)).To(Equal(60 * time.Millisecond))
	g.Expect(mergeInterval(200*time.Millisecond, 0)).To(Equal(110*time.Millisecond), "a route without a pause objective")
	g.Expect(mergeInterval(0, 300*time.Millisecond)).To(BeZero(), "no limit is known")
}

func TestSparseStreamIsNotDelayed(t *testing.T) {
	g := NewWithT(t)
	s := flushSchedule{interval: 48 * time.Millisecond}
	now := time.Unix(0, 0)
	for range 5 {
		g.Expect(s.delay(now)).To(BeZero())
		s.flushed(now)
		now = now.Add(48 * time.Millisecond)
	}
}

func TestDenseStreamIsMerged(t *testing.T) {
	g := NewWithT(t)
	s := flushSchedule{interval: 48 * time.Millisecond}
	now := time.Unix(0, 0)
	s.flushed(now)
	g.Expect(s.delay(now.Add(10 * time.Millisecond))).To(Equal(38 * time.Millisecond))
}

// lossyPlay plays streams over a link that loses packets, and returns the share of streams
// with an event later than the transit limit, and the sorted times from server to caller.
func lossyPlay(interval, transitLimit time.Duration, loss float64) (late float64, transit []time.Duration) {
	const (
		streams          = 4000
		events           = 64
		eventInterval    = 12 * time.Millisecond
		linkDelay        = 7 * time.Millisecond
		retransmitAfter  = 200 * time.Millisecond
		maxRetransmitted = 5
	)
	random := rand.New(rand.NewPCG(1, 2))
	lateStreams := 0
	for range streams {
		schedule := flushSchedule{interval: interval}
		var made []time.Time
		isLate := false
		deliveredUntil, flushAt := time.Time{}, time.Time{}
		send := func(at time.Time) {
			arrival, timeout := at.Add(linkDelay), retransmitAfter
			for range maxRetransmitted {
				if random.Float64() >= loss {
					break
				}
				arrival, timeout = arrival.Add(timeout), 2*timeout
			}
			// Later packets wait for an earlier one that was lost.
			if arrival.Before(deliveredUntil) {
				arrival = deliveredUntil
			}
			deliveredUntil = arrival
			for _, m := range made {
				transit = append(transit, arrival.Sub(m))
				isLate = isLate || arrival.Sub(m) > transitLimit
			}
			made = made[:0]
			schedule.flushed(at)
		}
		now := time.Unix(0, 0)
		for range events {
			now = now.Add(eventInterval/2 + time.Duration(random.Int64N(int64(eventInterval))))
			if len(made) > 0 && !now.Before(flushAt) {
				send(flushAt)
			}
			made = append(made, now)
			if len(made) == 1 {
				flushAt = now.Add(schedule.delay(now))
			}
			if !now.Before(flushAt) {
				send(now)
			}
		}
		if len(made) > 0 {
			send(now)
		}
		if isLate {
			lateStreams++
		}
	}
	slices.Sort(transit)
	return float64(lateStreams) / streams, transit
}

// TestMergingSavesStreamsOnALossyLink plays dense streams over a link that loses 2 packets in
// a thousand: each lost one costs a retransmission timeout, which exceeds the transit limit.
func TestMergingSavesStreamsOnALossyLink(t *testing.T) {
	g := NewWithT(t)
	const transitLimit = 120 * time.Millisecond
	interval := mergeInterval(transitLimit, 400*time.Millisecond)
	lateBefore, before := lossyPlay(0, transitLimit, 0.002)
	lateAfter, after := lossyPlay(interval, transitLimit, 0.002)
	quantile := func(sorted []time.Duration, q float64) time.Duration { return sorted[int(q*float64(len(sorted)-1))] }
	t.Logf("late streams: %.3f each event alone, %.3f merged; transit at p50 %v and %v, at p99 %v and %v", lateBefore, lateAfter,
		quantile(before, 0.5), quantile(after, 0.5), quantile(before, 0.99), quantile(after, 0.99))
	g.Expect(lateAfter).To(BeNumerically("<", lateBefore/2), "streams with a late event")
	g.Expect(quantile(after, 0.5)-quantile(before, 0.5)).To(BeNumerically("<=", interval), "delay that merging adds")
	g.Expect(quantile(after, 0.99)).To(BeNumerically("<", transitLimit))
}

// TestEventsAreWrittenTogether checks the writer: the first event at once, the next ones in one
// write after the interval, and those that wait at an abort before it.
func TestEventsAreWrittenTogether(t *testing.T) {
	g := NewWithT(t)
	recorder := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
	w := newEventWriter(recorder, 50*time.Millisecond)
	for i := range 5 {
		g.Expect(w.write([]byte(fmt.Sprintf("id: %d\n\n", i)))).To(Succeed())
	}
	g.Expect(recorder.sizes(w)).To(Equal([]int{7}))
	g.Eventually(func() []int { return recorder.sizes(w) }, time.Second, time.Millisecond).Should(Equal([]int{7, 35}))
	g.Expect(w.write([]byte("id: 5\n\n"))).To(Succeed())
	w.flushNow()
	g.Expect(recorder.sizes(w)).To(Equal([]int{7, 35, 42}))
	g.Expect(w.write([]byte("id: 6\n\n"))).To(Succeed())
	w.close()
	g.Consistently(func() []int { return recorder.sizes(w) }, 100*time.Millisecond).Should(Equal([]int{7, 35, 42}), "the end of the answer sends the rest")
}

// flushRecorder records how many bytes were written at each flush.
type flushRecorder struct {
	*httptest.ResponseRecorder
	flushedSizes []int
}

func (r *flushRecorder) Flush() { r.flushedSizes = append(r.flushedSizes, r.Body.Len()) }

func (r *flushRecorder) sizes(w *eventWriter) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(r.flushedSizes)
}
