package balance

import "time"

// Verdict tells what becomes of a request that asks for a server.
type Verdict int

// Verdicts on a request.
const (
	// VerdictServe sends the request to the server now.
	VerdictServe Verdict = iota
	// VerdictWait lets the request wait for a slot.
	VerdictWait
	// VerdictRefuse refuses the request, which has not run.
	VerdictRefuse
)

// Admission joins the balancer and the waiting queue of a pool. It is not safe
// for concurrent use.
type Admission struct {
	balancer Balancer
	queue    *Queue
}

// NewAdmission returns an admission without requests, whose waiters wait at most limit.
func NewAdmission(balancer Balancer, limit time.Duration) *Admission {
	return &Admission{balancer: balancer, queue: NewQueue(limit)}
}

// Waiting returns the number of waiters.
func (a *Admission) Waiting() int { return a.queue.Len() }

// Admit decides on a request. It returns the server of a request that is served,
// and the waiter of one that waits.
func (a *Admission) Admit(now time.Time, request Request, view *View) (Verdict, ServerID, *Waiter) {
	a.queue.Arrived(now, &request)
	if !a.queue.MustWait(&request) {
		if id, ok := a.balancer.Pick(now, request, view); ok {
			a.queue.Started(now, &request)
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
		a.queue.Started(now, &request)
	}
	return id, ok
}

// unpicker is a balancer whose picks can be taken back.
type unpicker interface {
	CancelPick(request Request, server ServerID)
}

// CancelPick takes a pick back whose place the server's owner has refused.
func (a *Admission) CancelPick(now time.Time, request Request, id ServerID) {
	if balancer, ok := a.balancer.(unpicker); ok {
		balancer.CancelPick(request, id)
	}
	a.queue.unstarted(now, &request)
}

// Requeue lets a request wait whose place all owners have refused: at its former
// place in the queue, or as a new waiter where it has had none. It returns false
// where too many wait; then the request is refused.
func (a *Admission) Requeue(now time.Time, request Request, waiter *Waiter, view *View) (*Waiter, bool) {
	if waiter == nil {
		return a.queue.Push(now, request, view.Slots())
	}
	a.queue.putBack(waiter)
	return waiter, true
}

// Review decides on a waiter whose time ReviewAt has come: whether it goes on
// waiting, then until its new ReviewAt, or is refused and has to be removed.
func (a *Admission) Review(now time.Time, waiter *Waiter, view *View) bool {
	room := 0
	if balancer, ok := a.balancer.(longRoomer); ok && isLong(&waiter.Request) {
		room = balancer.longRoom(now, &waiter.Request, view)
	}
	return a.queue.Review(now, waiter, room)
}

// Release records that a request has left its server.
func (a *Admission) Release(now time.Time, request Request, id ServerID, result Result) {
	a.balancer.Done(now, request, id, result)
	a.queue.Served(now, &request)
}

// FirstByte records the time that the first byte of an answer took, and reports
// whether the balancer has taken it.
func (a *Admission) FirstByte(now time.Time, request Request, id ServerID, took time.Duration) bool {
	a.queue.FirstByte(&request, took)
	observer, ok := a.balancer.(FirstByteObserver)
	if ok {
		observer.FirstByte(now, request, id, took)
	}
	return ok
}

// Serve offers free slots to the waiters, in the queue's order, and calls
// granted for each that gets a server.
func (a *Admission) Serve(now time.Time, viewOf func(*Waiter) *View, granted func(*Waiter, ServerID)) {
	for a.queue.Len() > 0 {
		var server ServerID
		served := a.queue.Next(now, func(waiter *Waiter) bool {
			id, ok := a.balancer.Pick(now, waiter.Request, viewOf(waiter))
			server = id
			return ok
		})
		if served == nil {
			return
		}
		granted(served, server)
	}
}

// Remove takes a waiter out that gave up.
func (a *Admission) Remove(waiter *Waiter) { a.queue.Remove(waiter) }
