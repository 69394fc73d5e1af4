package gateway

import (
	"container/heap"
	"time"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// waiter is a request that waits for a place on a server of its pool.
type waiter struct {
	request  placement.Request
	priority int
	// until is when the request is refused.
	until time.Time
	order uint64
	index int
	// granted gets the server, or nil when the request is refused.
	granted chan *placement.Server
}

// waitQueue orders the waiting requests: the more urgent first, then the one that
// is refused first.
type waitQueue []*waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.order < b.order
}

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*q = old[:len(old)-1]
	return last
}

func (q *waitQueue) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(q, w.index)
	}
}
