package balance

import (
	"math"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Parameters of the waiting queue.
const (
	// waitMargin is the share of the allowed time that a request may be expected
	// to wait when it is admitted; the rest covers a falling rate of service and
	// other customers that come to wait too.
	waitMargin = 0.75
	// surgeMargin is that share for a customer that asks for much more than its
	// share of the service. Its waiters count with surgeSpread standard
	// deviations of their number more.
	surgeMargin = 0.35
	surgeSpread = 2.0
	// longAgeing is the share of the longest wait after which long work goes
	// ahead of short work.
	longAgeing = 0.5
	// maxWaitersPerSlot bounds the queue while its rate of service is unknown.
	maxWaitersPerSlot = 1
	// maxSkipped bounds the waiters that are tried in one pass over a class.
	maxSkipped = 8
	// rateWindow is the time over which the rate of service is averaged.
	rateWindow = 2 * time.Second
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Request  Request
	Enqueued time.Time
	Deadline time.Time
	removed  bool
}

// Queue orders the requests that wait for a slot of a pool: short work ahead of
// long work, with ageing, and within a class by deficit round robin over the
// customers by weight. It is not safe for concurrent use.
type Queue struct {
	limit time.Duration
	short classQueue
	long  classQueue
	rate  rateMeter
	usage customerUsage
}

// NewQueue returns an empty queue whose waiters wait at most limit.
func NewQueue(limit time.Duration) *Queue { return &Queue{limit: limit, usage: newCustomerUsage()} }

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.short.len + q.long.len }

// MustWait reports whether a request has to queue because others of its class wait.
func (q *Queue) MustWait(request *Request) bool { return q.class(request).len > 0 }

// Arrived records a request, whether or not it has to wait.
func (q *Queue) Arrived(now time.Time, request *Request) { q.usage.add(now, request) }

// Served records that a request has left a server, which frees a slot.
func (q *Queue) Served(now time.Time) { q.rate.add(now) }

// Push adds a request. It returns false where the request would most likely not
// be served in time; then it is refused at once.
func (q *Queue) Push(now time.Time, request Request, slots int) (*Waiter, bool) {
	limit := q.limit
	if request.FirstByteWithin > 0 {
		limit = min(limit, request.FirstByteWithin)
	}
	if !q.admits(now, &request, limit, slots) {
		return nil, false
	}
	waiter := &Waiter{Request: request, Enqueued: now, Deadline: now.Add(limit)}
	q.class(&request).push(waiter)
	return waiter, true
}

// admits compares the expected wait with the allowed one. The request waits for
// those of its own customer, served at the customer's share of the rate among
// the customers that wait.
func (q *Queue) admits(now time.Time, request *Request, limit time.Duration, slots int) bool {
	rate := q.rate.perSecond(now)
	if rate == 0 {
		return q.Len() < maxWaitersPerSlot*slots
	}
	ahead := q.class(request).waiting(request.Customer)
	if isLong(request) {
		ahead += q.short.len
	}
	share := q.class(request).share(request)
	n := float64(ahead + 1)
	margin := waitMargin
	if q.usage.surges(request, rate) {
		margin = surgeMargin
		n += surgeSpread * math.Sqrt(n)
	}
	expected := n / (rate * share)
	return expected <= margin*limit.Seconds()
}

// Next offers waiters to serve in their order until it takes one, and returns
// that one, or nil where none was taken.
func (q *Queue) Next(now time.Time, serve func(*Waiter) bool) *Waiter {
	first, second := &q.short, &q.long
	if oldest := q.long.oldest(); oldest != nil && now.Sub(oldest.Enqueued) >= q.ageing(oldest) {
		first, second = second, first
	}
	if waiter := first.next(serve); waiter != nil {
		return waiter
	}
	return second.next(serve)
}

func (q *Queue) ageing(waiter *Waiter) time.Duration {
	return time.Duration(longAgeing * float64(waiter.Deadline.Sub(waiter.Enqueued)))
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

// flow is the queue of one customer within a class.
type flow struct {
	customer string
	weight   float64
	deficit  float64
	waiters  []*Waiter
}

// classQueue serves its flows by deficit round robin. A request costs 1, and a
// flow's quantum is its weight relative to the lightest flow's.
type classQueue struct {
	flows []*flow
	turn  int
	len   int
}

func (c *classQueue) find(customer string) int {
	return slices.IndexFunc(c.flows, func(f *flow) bool { return f.customer == customer })
}

func (c *classQueue) waiting(customer string) int {
	if i := c.find(customer); i >= 0 {
		return len(c.flows[i].waiters)
	}
	return 0
}

// share returns the request's customer's part of the weights of the customers
// that wait.
func (c *classQueue) share(request *Request) float64 {
	own := float64(max(request.Weight, 1))
	total := own
	for _, f := range c.flows {
		if f.customer != request.Customer {
			total += f.weight
		}
	}
	return own / total
}

func (c *classQueue) push(waiter *Waiter) {
	c.len++
	i := c.find(waiter.Request.Customer)
	if i < 0 {
		c.flows = append(c.flows, &flow{customer: waiter.Request.Customer})
		i = len(c.flows) - 1
	}
	c.flows[i].weight = float64(max(waiter.Request.Weight, 1))
	c.flows[i].waiters = append(c.flows[i].waiters, waiter)
}

func (c *classQueue) remove(waiter *Waiter) {
	i := c.find(waiter.Request.Customer)
	if i < 0 {
		return
	}
	at := slices.Index(c.flows[i].waiters, waiter)
	if at < 0 {
		return
	}
	waiter.removed = true
	c.len--
	c.flows[i].waiters = slices.Delete(c.flows[i].waiters, at, at+1)
	c.dropIfEmpty(i)
}

// dropIfEmpty removes a flow without waiters; an idle flow saves no deficit.
func (c *classQueue) dropIfEmpty(i int) {
	if len(c.flows[i].waiters) > 0 {
		return
	}
	c.flows = slices.Delete(c.flows, i, i+1)
	if i < c.turn {
		c.turn--
	}
}

func (c *classQueue) oldest() *Waiter {
	var oldest *Waiter
	for _, f := range c.flows {
		if oldest == nil || f.waiters[0].Enqueued.Before(oldest.Enqueued) {
			oldest = f.waiters[0]
		}
	}
	return oldest
}

// next offers the head of each flow, in the order of the round robin, and
// charges the flow whose head is taken.
func (c *classQueue) next(serve func(*Waiter) bool) *Waiter {
	for range min(len(c.flows), maxSkipped) {
		f := c.current()
		waiter := f.waiters[0]
		if serve(waiter) {
			c.take(f)
			return waiter
		}
		c.turn++
	}
	return nil
}

// current returns the flow whose turn it is, with a deficit of at least 1.
func (c *classQueue) current() *flow {
	c.turn %= len(c.flows)
	f := c.flows[c.turn]
	if f.deficit < 1 {
		f.deficit += f.weight / c.lightest()
	}
	return f
}

func (c *classQueue) lightest() float64 {
	lightest := c.flows[0].weight
	for _, f := range c.flows {
		lightest = min(lightest, f.weight)
	}
	return lightest
}

// take removes the head of the current flow.
func (c *classQueue) take(f *flow) {
	f.waiters[0].removed = true
	f.waiters[0] = nil
	f.waiters = f.waiters[1:]
	f.deficit--
	c.len--
	turn := c.turn
	if f.deficit < 1 {
		c.turn++
	}
	c.dropIfEmpty(turn)
}
