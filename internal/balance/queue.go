package balance

import (
	"math"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Parameters of the queue.
const (
	// reviewDelay is the time after which a waiter is either promised a slot before
	// its deadline or refused.
	reviewDelay = 80 * time.Millisecond
	// promiseMargin is the share of its remaining time that a waiter may be expected
	// to queue when it is promised a slot.
	promiseMargin = 0.75
	// promiseDeviations is the number of standard deviations of the waiters ahead by
	// which a promise allows for a falling service rate.
	promiseDeviations = 1.0
	// agingShare is the share of its maximum wait after which a waiter precedes all
	// that have not aged, whatever their class and customer.
	agingShare = 0.5
	// maxWaitersPerSlot bounds the number of waiters per slot of the pool.
	maxWaitersPerSlot = 1
	// maxTriedPerPass bounds the number of waiters that are tried in one pass over a
	// class.
	maxTriedPerPass = 8
)

// Waiter is a queued request.
type Waiter struct {
	Request  Request
	Enqueued time.Time
	// Deadline is the time until which the request may queue.
	Deadline time.Time
	// ReviewAt is the time at which Review has to be called if the request is still
	// queued.
	ReviewAt time.Time
	// promised means that the request is not refused before its deadline.
	promised bool
	removed  bool
}

// agedAt returns the time from which the waiter precedes those that have not aged.
func (w *Waiter) agedAt() time.Time {
	return w.Enqueued.Add(time.Duration(agingShare * float64(w.Deadline.Sub(w.Enqueued))))
}

// Queue orders the requests that wait for a slot of a pool: first aged waiters by
// deadline, then short requests before long ones, and within a class by weighted
// fair queueing between the customers. It is not safe for concurrent use.
type Queue struct {
	maxWait time.Duration
	short   classQueue
	long    classQueue
	usage   customerUsage
}

// NewQueue returns an empty queue whose waiters queue for at most maxWait.
func NewQueue(maxWait time.Duration) *Queue {
	inFlight := make(customerInFlight)
	return &Queue{
		maxWait: maxWait,
		short:   classQueue{inFlight: inFlight},
		long:    classQueue{inFlight: inFlight},
		usage:   newCustomerUsage(),
	}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.short.len + q.long.len }

// MustWait reports whether a request has to queue because others of its class are
// queued.
func (q *Queue) MustWait(request *Request) bool { return q.classQueue(request).len > 0 }

// RecordArrival records the arrival of a request, queued or not.
func (q *Queue) RecordArrival(now time.Time, request *Request) { q.usage.record(now, request) }

// RecordStart records that a request has got a slot.
func (q *Queue) RecordStart(now time.Time, request *Request) {
	class := q.classQueue(request)
	class.inFlight.add(request.Customer, 1)
	class.rate.recordStart(now)
}

// cancelStart undoes RecordStart.
func (q *Queue) cancelStart(now time.Time, request *Request) {
	class := q.classQueue(request)
	class.inFlight.add(request.Customer, -1)
	class.rate.cancelStart(now)
}

// RecordCompletion records that a request has left a server, which frees a slot.
func (q *Queue) RecordCompletion(now time.Time, request *Request) {
	class := q.classQueue(request)
	class.inFlight.add(request.Customer, -1)
	class.rate.recordCompletion(now)
}

// Push queues a request. It returns false if the queue is full; the request is then
// refused at once.
func (q *Queue) Push(now time.Time, request Request, slots int) (*Waiter, bool) {
	maxWait := q.allowedWait(&request)
	if q.Len() >= maxWaitersPerSlot*slots {
		return nil, false
	}
	waiter := &Waiter{Request: request, Enqueued: now, Deadline: now.Add(maxWait), ReviewAt: now.Add(min(maxWait, reviewDelay))}
	q.classQueue(&request).push(waiter)
	return waiter, true
}

// requeue queues a waiter again that was taken from the queue but got no slot.
func (q *Queue) requeue(waiter *Waiter) {
	waiter.removed = false
	q.classQueue(&waiter.Request).push(waiter)
}

// allowedWait returns how long a request may queue. It reserves the expected time to
// the first byte, but at most half of FirstByteWithin.
func (q *Queue) allowedWait(request *Request) time.Duration {
	if request.FirstByteWithin == 0 {
		return q.maxWait
	}
	remaining := request.FirstByteWithin - q.classQueue(request).latency.upperEstimate()
	return min(q.maxWait, max(remaining, request.FirstByteWithin/2))
}

// RecordFirstByte records the time from a request's start to its first byte.
func (q *Queue) RecordFirstByte(request *Request, firstByte time.Duration) {
	q.classQueue(request).latency.record(firstByte)
}

// Review decides on a waiter whose ReviewAt has come. It returns true if the request
// stays queued, with a new ReviewAt, and false if it is refused. longCapacity is the
// number of further long requests that the router may have in flight.
func (q *Queue) Review(now time.Time, waiter *Waiter, longCapacity int) bool {
	if waiter.promised || !q.mayPromise(now, waiter, longCapacity) {
		return false
	}
	waiter.promised = true
	q.classQueue(&waiter.Request).promises++
	waiter.ReviewAt = waiter.Deadline
	return true
}

// mayPromise reports whether a waiter most likely gets a slot before its deadline. A
// surging customer gets no promise. Earlier promises count even if they are behind
// in the order, because the order changes as other customers get slots.
func (q *Queue) mayPromise(now time.Time, waiter *Waiter, longCapacity int) bool {
	class := q.classQueue(&waiter.Request)
	if !class.rate.hasEstimate() {
		return true
	}
	rate := q.short.rate.perSecond(now) + q.long.rate.perSecond(now)
	if q.usage.isSurging(&waiter.Request, rate) {
		return false
	}
	position := class.countAhead(waiter) + 1
	if isLong(&waiter.Request) && position <= longCapacity {
		// Once aged, it gets the next free slot of a server for long requests.
		return likelyInTime(position, longServerShare*rate, waiter.Deadline.Sub(waiter.agedAt()))
	}
	position = max(position, class.promises+1)
	return likelyInTime(position, class.rate.perSecond(now), waiter.Deadline.Sub(now))
}

// likelyInTime reports whether the waiter at a position, counted from 1, most likely
// gets a slot within the remaining time if rate slots are freed per second.
func likelyInTime(position int, rate float64, remaining time.Duration) bool {
	n := float64(position)
	return n+promiseDeviations*math.Sqrt(n) <= promiseMargin*rate*remaining.Seconds()
}

// Next offers waiters to serve in queue order until one is served. It returns that
// waiter, or nil if none was served.
func (q *Queue) Next(now time.Time, serve func(*Waiter) bool) *Waiter {
	first, second := &q.short, &q.long
	if earliest := q.long.earliest(); earliest != nil && !now.Before(earliest.agedAt()) {
		first, second = second, first
	}
	waiter := first.next(now, serve)
	if waiter == nil {
		waiter = second.next(now, serve)
	}
	if waiter != nil {
		q.RecordStart(now, &waiter.Request)
	}
	return waiter
}

// Remove removes a waiter that was canceled or refused; removing it twice has no
// effect.
func (q *Queue) Remove(waiter *Waiter) {
	if waiter.removed {
		return
	}
	q.classQueue(&waiter.Request).remove(waiter)
}

func (q *Queue) classQueue(request *Request) *classQueue {
	if request.Class == api.ClassLong {
		return &q.long
	}
	return &q.short
}
