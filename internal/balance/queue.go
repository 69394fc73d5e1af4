package balance

import (
	"math"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Parameters of the waiting queue.
const (
	// reviewAfter is the time after which a waiter is either refused or promised
	// a slot before its deadline.
	reviewAfter = 80 * time.Millisecond
	// promiseMargin is the share of its time left that a waiter may be expected to
	// wait still when it is promised a slot.
	promiseMargin = 0.75
	// promiseSpread is by how many standard deviations of the number of waiters
	// ahead a promise allows for a falling rate of service.
	promiseSpread = 1.0
	// ageing is the share of its longest wait after which a waiter goes ahead of
	// all that have waited less, whatever their class and customer.
	ageing = 0.5
	// maxWaitersPerSlot bounds the waiters.
	maxWaitersPerSlot = 1
	// maxSkipped bounds the waiters that are tried in one pass over a class.
	maxSkipped = 8
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Request  Request
	Enqueued time.Time
	// Deadline is the end of the longest wait.
	Deadline time.Time
	// ReviewAt is when Review has to be called while the request waits.
	ReviewAt time.Time
	// promised says that the request is not refused before its deadline.
	promised bool
	removed  bool
}

// agedAt is when the waiter goes ahead of those that have waited less.
func (w *Waiter) agedAt() time.Time {
	return w.Enqueued.Add(time.Duration(ageing * float64(w.Deadline.Sub(w.Enqueued))))
}

// Queue orders the requests that wait for a slot of a pool: those that have
// waited long by their deadlines, then short work ahead of long work, and within
// a class the customer with the least work in flight by its weight. It is not
// safe for concurrent use.
type Queue struct {
	limit time.Duration
	short classQueue
	long  classQueue
	usage customerUsage
}

// NewQueue returns an empty queue whose waiters wait at most limit.
func NewQueue(limit time.Duration) *Queue {
	inFlight := make(shares)
	return &Queue{
		limit: limit,
		short: classQueue{inFlight: inFlight},
		long:  classQueue{inFlight: inFlight},
		usage: newCustomerUsage(),
	}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.short.len + q.long.len }

// MustWait reports whether a request has to queue because others of its class wait.
func (q *Queue) MustWait(request *Request) bool { return q.class(request).len > 0 }

// Arrived records a request, whether or not it has to wait.
func (q *Queue) Arrived(now time.Time, request *Request) { q.usage.add(now, request) }

// Started records that a request has got a slot.
func (q *Queue) Started(now time.Time, request *Request) {
	class := q.class(request)
	class.inFlight.add(request.Customer, 1)
	class.rate.started(now)
}

// unstarted takes Started back.
func (q *Queue) unstarted(now time.Time, request *Request) {
	class := q.class(request)
	class.inFlight.add(request.Customer, -1)
	class.rate.unstarted(now)
}

// Served records that a request has left a server, which frees a slot.
func (q *Queue) Served(now time.Time, request *Request) {
	class := q.class(request)
	class.inFlight.add(request.Customer, -1)
	class.rate.served(now)
}

// Push adds a request. It returns false where too many wait; then it is refused
// at once.
func (q *Queue) Push(now time.Time, request Request, slots int) (*Waiter, bool) {
	limit := q.allowed(&request)
	if q.Len() >= maxWaitersPerSlot*slots {
		return nil, false
	}
	waiter := &Waiter{Request: request, Enqueued: now, Deadline: now.Add(limit), ReviewAt: now.Add(min(limit, reviewAfter))}
	q.class(&request).push(waiter)
	return waiter, true
}

// putBack adds a waiter again that was served without getting a slot.
func (q *Queue) putBack(waiter *Waiter) {
	waiter.removed = false
	q.class(&waiter.Request).push(waiter)
}

// allowed returns how long a request may wait. It leaves time for the first byte
// before the request's own deadline, up to half of that.
func (q *Queue) allowed(request *Request) time.Duration {
	if request.FirstByteWithin == 0 {
		return q.limit
	}
	rest := request.FirstByteWithin - q.class(request).latency.likely()
	return min(q.limit, max(rest, request.FirstByteWithin/2))
}

// FirstByte records the time from a request's start to its first byte.
func (q *Queue) FirstByte(request *Request, took time.Duration) {
	q.class(request).latency.observe(took)
}

// Review decides on a waiter whose time ReviewAt has come. It returns whether the
// request goes on waiting, then with a new ReviewAt; otherwise it is refused. The
// router may have longRoom more long requests in flight.
func (q *Queue) Review(now time.Time, waiter *Waiter, longRoom int) bool {
	if waiter.promised || !q.mayPromise(now, waiter, longRoom) {
		return false
	}
	waiter.promised = true
	q.class(&waiter.Request).promises++
	waiter.ReviewAt = waiter.Deadline
	return true
}

// mayPromise reports whether a waiter most likely gets a slot in time. A customer
// that surges gets no promise. Earlier promises count also where they come later
// in the order, which changes as others get slots.
func (q *Queue) mayPromise(now time.Time, waiter *Waiter, longRoom int) bool {
	class := q.class(&waiter.Request)
	if !class.rate.known() {
		return true
	}
	rate := q.short.rate.perSecond(now) + q.long.rate.perSecond(now)
	if q.usage.surges(&waiter.Request, rate) {
		return false
	}
	place := class.ahead(waiter) + 1
	if isLong(&waiter.Request) && place <= longRoom {
		// Once it has aged, it gets the next free slot of a server for long work.
		return inTime(place, longServerShare*rate, waiter.Deadline.Sub(waiter.agedAt()))
	}
	place = max(place, class.promises+1)
	return inTime(place, class.rate.perSecond(now), waiter.Deadline.Sub(now))
}

// inTime reports whether the waiter at a place, from 1, most likely gets one of
// the slots that come free at a rate a second within the time left.
func inTime(place int, rate float64, left time.Duration) bool {
	n := float64(place)
	return n+promiseSpread*math.Sqrt(n) <= promiseMargin*rate*left.Seconds()
}

// Next offers waiters to serve in their order until it takes one, and returns
// that one, or nil where none was taken.
func (q *Queue) Next(now time.Time, serve func(*Waiter) bool) *Waiter {
	first, second := &q.short, &q.long
	if oldest := q.long.oldest(); oldest != nil && !now.Before(oldest.agedAt()) {
		first, second = second, first
	}
	waiter := first.next(now, serve)
	if waiter == nil {
		waiter = second.next(now, serve)
	}
	if waiter != nil {
		q.Started(now, &waiter.Request)
	}
	return waiter
}

// Remove takes a waiter out that gave up.
func (q *Queue) Remove(waiter *Waiter) {
	if waiter.removed {
		return
	}
	q.class(&waiter.Request).remove(waiter)
}

func (q *Queue) class(request *Request) *classQueue {
	if request.Class == api.ClassLong {
		return &q.long
	}
	return &q.short
}
