package balance

import "time"

// Verdict is the decision on a request at admission.
type Verdict int

// Verdicts on a request.
const (
	// VerdictServe sends the request to the server now.
	VerdictServe Verdict = iota
	// VerdictWait queues the request until a slot is free.
	VerdictWait
	// VerdictRefuse refuses the request, which has not been executed.
	VerdictRefuse
)

// Admission combines the balancer and the queue of a pool. It is not safe for
// concurrent use.
type Admission struct {
	balancer Balancer
	queue    *Queue
}

// NewAdmission returns an Admission without requests, whose waiters queue for at
// most maxWait.
func NewAdmission(balancer Balancer, maxWait time.Duration) *Admission {
	return &Admission{balancer: balancer, queue: NewQueue(maxWait)}
}

// Waiting returns the number of waiters.
func (a *Admission) Waiting() int { return a.queue.Len() }

// Admit decides on a new request. It returns the server if the request is served
// now, and the waiter if it is queued.
func (a *Admission) Admit(now time.Time, request Request, view *View) (Verdict, ServerID, *Waiter) {
	a.queue.RecordArrival(now, &request)
	if !a.queue.MustWait(&request) {
		if id, ok := a.balancer.Pick(now, request, view); ok {
			a.queue.RecordStart(now, &request)
			return VerdictServe, id, nil
		}
	}
	waiter, ok := a.queue.Push(now, request, view.Slots())
	if !ok {
		return VerdictRefuse, "", nil
	}
	return VerdictWait, "", waiter
}

// Retry picks another server for a request that was admitted before.
func (a *Admission) Retry(now time.Time, request Request, view *View) (ServerID, bool) {
	id, ok := a.balancer.Pick(now, request, view)
	if ok {
		a.queue.RecordStart(now, &request)
	}
	return id, ok
}

// pickCanceler is implemented by balancers whose picks can be undone.
type pickCanceler interface {
	CancelPick(request Request, server ServerID)
}

// CancelPick undoes a pick after the server's owner has refused the reservation.
func (a *Admission) CancelPick(now time.Time, request Request, id ServerID) {
	if balancer, ok := a.balancer.(pickCanceler); ok {
		balancer.CancelPick(request, id)
	}
	a.queue.cancelStart(now, &request)
}

// Requeue queues a request whose reservations all owners have refused. A request
// that was queued before keeps its waiter and deadline; any other gets a new waiter.
// It returns false if the queue is full; the request is then refused.
func (a *Admission) Requeue(now time.Time, request Request, waiter *Waiter, view *View) (*Waiter, bool) {
	if waiter == nil {
		return a.queue.Push(now, request, view.Slots())
	}
	a.queue.requeue(waiter)
	return waiter, true
}

// Review decides on a waiter whose ReviewAt has come. It returns true if the request
// stays queued until its new ReviewAt, and false if it is refused and has to be
// removed.
func (a *Admission) Review(now time.Time, waiter *Waiter, view *View) bool {
	longCapacity := 0
	if balancer, ok := a.balancer.(longCapacityLimiter); ok && isLong(&waiter.Request) {
		longCapacity = balancer.longCapacity(now, &waiter.Request, view)
	}
	return a.queue.Review(now, waiter, longCapacity)
}

// Release records that a request has left its server.
func (a *Admission) Release(now time.Time, request Request, id ServerID, result Result) {
	a.balancer.Done(now, request, id, result)
	a.queue.RecordCompletion(now, &request)
}

// FirstByte records the time to the first byte of an answer and reports whether the
// balancer observes it, in which case the Result passed to Release has no FirstByte.
func (a *Admission) FirstByte(now time.Time, request Request, id ServerID, firstByte time.Duration) bool {
	a.queue.RecordFirstByte(&request, firstByte)
	observer, ok := a.balancer.(FirstByteObserver)
	if ok {
		observer.FirstByte(now, request, id, firstByte)
	}
	return ok
}

// Serve offers free slots to the waiters in queue order and calls onServed for each
// waiter that gets a server.
func (a *Admission) Serve(now time.Time, viewOf func(*Waiter) *View, onServed func(*Waiter, ServerID)) {
	for a.queue.Len() > 0 {
		var server ServerID
		waiter := a.queue.Next(now, func(waiter *Waiter) bool {
			id, ok := a.balancer.Pick(now, waiter.Request, viewOf(waiter))
			server = id
			return ok
		})
		if waiter == nil {
			return
		}
		onServed(waiter, server)
	}
}

// Remove removes a waiter that was canceled or refused.
func (a *Admission) Remove(waiter *Waiter) { a.queue.Remove(waiter) }
