package gateway

import (
	"container/heap"
	"time"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// waiter is a request that is queued for a slot on a server of its pool.
type waiter struct {
	request  placement.Request
	priority int
	// deadline is when the request is refused unless a slot was granted.
	deadline time.Time
	sequence uint64
	index    int
	// granted receives the granted slot. It has capacity 1, so that sending does not block.
	granted chan grant
}

// requestQueue is a heap of the queued requests, ordered by priority (lowest value first),
// then by deadline, then by arrival.
type requestQueue []*waiter

// Len implements heap.Interface.
func (q requestQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q requestQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *requestQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *requestQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*q = old[:len(old)-1]
	return last
}

func (q *requestQueue) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(q, w.index)
	}
}
