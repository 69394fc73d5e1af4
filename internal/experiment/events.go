package experiment

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is the queue of a virtual clock; equal times keep their order.
type events struct {
	now    time.Duration
	order  uint64
	queued eventHeap
}

func (e *events) at(when time.Duration, run func()) {
	e.order++
	heap.Push(&e.queued, event{at: when, order: e.order, run: run})
}

func (e *events) after(delay time.Duration, run func()) { e.at(e.now+delay, run) }

// every runs at each multiple of interval after first.
func (e *events) every(first, interval time.Duration, run func()) {
	e.after(first, func() {
		run()
		e.every(interval, interval, run)
	})
}

// runUntil runs all events up to a time.
func (e *events) runUntil(end time.Duration) {
	for len(e.queued) > 0 && e.queued[0].at <= end {
		next := heap.Pop(&e.queued).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// clock returns the virtual time as a time of day.
func (e *events) clock() time.Time { return time.Unix(0, 0).Add(e.now) }

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
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
