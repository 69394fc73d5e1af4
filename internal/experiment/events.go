package experiment

import (
	"container/heap"
	"time"
)

// event is a callback scheduled at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is the event queue and clock of the simulation. Events at the same
// time run in the order in which they were scheduled.
type eventQueue struct {
	now          time.Duration
	lastSequence uint64
	pending      eventHeap
}

func (e *eventQueue) scheduleAt(when time.Duration, run func()) {
	e.lastSequence++
	heap.Push(&e.pending, event{at: when, sequence: e.lastSequence, run: run})
}

func (e *eventQueue) scheduleAfter(delay time.Duration, run func()) { e.scheduleAt(e.now+delay, run) }

// scheduleEvery runs the callback after first and then at each interval.
func (e *eventQueue) scheduleEvery(first, interval time.Duration, run func()) {
	e.scheduleAfter(first, func() {
		run()
		e.scheduleEvery(interval, interval, run)
	})
}

// runUntil runs all events up to and including end and advances the clock to end.
func (e *eventQueue) runUntil(end time.Duration) {
	for len(e.pending) > 0 && e.pending[0].at <= end {
		next := heap.Pop(&e.pending).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// clockTime returns the virtual time as a time.Time.
func (e *eventQueue) clockTime() time.Time { return time.Unix(0, 0).Add(e.now) }

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}
