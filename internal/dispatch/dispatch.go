// Package dispatch admits requests to backend servers. For each pool it combines
// the servers of the membership table, a balancer and an admission queue.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/withdrawal"
)

// Source lists the known backend servers.
type Source interface {
	Servers() []membership.Server
}

// queueScanInterval is the time between two scans of the queues, which serve queued
// requests if slots become free without a call of Release.
const queueScanInterval = 50 * time.Millisecond

// Lease is the right to send one request to a backend server. Release must be
// called exactly once.
type Lease struct {
	Server      balance.ServerID
	Incarnation uint64
	// Remote reports that Server is the callers' address of a router of another
	// failure domain, which receives the caller's request unchanged.
	Remote    bool
	firstByte func(time.Duration) bool
	release   func(balance.Result)
	statement func(leaving bool, pause time.Duration) Statement
	rate      func(ratelimit.Statement) bool
	// firstByteRecorded reports that the balancer has the time to the first byte.
	firstByteRecorded bool
}

// RecordFirstByte reports the time to the first byte of the answer to the balancer, so
// that a slow server is detected before the answer is complete. It is called at
// most once, before Release.
func (l *Lease) RecordFirstByte(elapsed time.Duration) {
	if l.firstByte != nil {
		l.firstByteRecorded = l.firstByte(elapsed)
	}
}

// Statement tells what is news in what a server stated about itself.
type Statement struct{ Leaving, Paused bool }

// RecordStatement records that the server is leaving, or wants no request for the time of pause,
// and returns what is news. The dispatcher grants no lease on such a server.
func (l *Lease) RecordStatement(leaving bool, pause time.Duration) Statement {
	if l.statement == nil || !leaving && pause <= 0 {
		return Statement{}
	}
	return l.statement(leaving, pause)
}

// RecordRate records what the server stated about the rate of requests that it takes, without
// StatedAt, and reports whether it changes whether the server limits its rate.
func (l *Lease) RecordRate(rate ratelimit.Statement) (isNews bool) {
	return l.rate != nil && l.rate(rate)
}

// Release releases the slot on the server and reports the result of the request
// to the balancer.
func (l *Lease) Release(result balance.Result) {
	if l.firstByteRecorded {
		result.FirstByte = 0
	}
	l.release(result)
}

// Dispatcher grants leases on backend servers. It is safe for concurrent use.
type Dispatcher struct {
	source       Source
	newPolicy    func() balance.Balancer
	queueTimeout time.Duration
	now          func() time.Time

	mu           sync.Mutex
	reservations reservationState
	pools        map[string]*pool
	inFlight     map[balance.ServerID]int
	withdrawals  withdrawal.Book[serverIncarnation]
	limits       ratelimit.Book
	// overflowLeases counts the open leases on routers of each other failure domain,
	// and overflowTotal all such leases ever granted.
	overflowLeases map[string]int
	overflowTotal  int
}

// serverIncarnation identifies an incarnation of a server.
type serverIncarnation struct {
	server      balance.ServerID
	incarnation uint64
}

// Option configures a Dispatcher in New.
type Option func(*Dispatcher)

// WithQueueTimeout sets the maximum time for which a request is queued for a slot.
func WithQueueTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.queueTimeout = timeout }
}

// New returns a Dispatcher for the servers of source. newPolicy creates the balancer
// of each pool.
func New(source Source, newPolicy func() balance.Balancer, options ...Option) *Dispatcher {
	d := &Dispatcher{
		source:       source,
		newPolicy:    newPolicy,
		queueTimeout: settings.DefaultQueue,
		now:          time.Now,
		pools:        make(map[string]*pool),
		inFlight:     make(map[balance.ServerID]int),

		overflowLeases: make(map[string]int),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Acquire returns a lease on a server of the pool. If no slot is free, it queues
// the request until ctx ends. Before it queues or refuses the request, it tries to
// overflow to another failure domain with free slots. It fails with
// CodeNoBackendServer if the pool has no serving server, and with CodeOverloaded
// if no slot becomes free in time. Both errors mean that the request has not run.
func (d *Dispatcher) Acquire(ctx context.Context, current *catalog.Catalog, pool catalog.Pool, model string, request balance.Request) (*Lease, error) {
	pending, id, err := d.admit(current, pool, model, request)
	if id != "" {
		lease, reserveErr := d.reserve(ctx, pending, id)
		if lease != nil {
			return lease, nil
		}
		if reserveErr != nil {
			pending, err = nil, reserveErr
		}
	}
	remote := d.overflow(current, pool, request)
	switch {
	case pending == nil && remote == nil:
		return nil, err
	case pending == nil:
		return remote, nil
	case remote == nil:
		return d.wait(ctx, pending)
	}
	return d.leaveQueueForRemote(ctx, pending, remote)
}

// admit runs a request through the admission of this failure domain. It returns the
// picked server, or no server if the request was queued.
func (d *Dispatcher) admit(current *catalog.Catalog, target catalog.Pool, model string, request balance.Request) (*pendingRequest, balance.ServerID, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	p := d.pool(target.UID)
	key := candidateKey{pool: target.UID, model: model}
	servers := p.view(now, d, current, target, key)
	if servers.Len() == 0 {
		if at := p.views[key].availableAt; at.After(now) {
			return nil, "", errPaused(at.Sub(now))
		}
		return nil, "", errNoServer()
	}
	verdict, id, waiter := p.admission.Admit(now, request, servers)
	switch verdict {
	case balance.VerdictServe:
		pending := newPendingRequest(p, request, key)
		return pending, id, nil
	case balance.VerdictRefuse:
		return nil, "", errOverloaded("too many requests are queued for a slot")
	}
	return p.enqueue(waiter, key), "", nil
}

// leaveQueueForRemote removes a request from the queue in favor of a lease on another
// failure domain's router. If the request has just obtained a local lease, it
// releases the remote one instead.
func (d *Dispatcher) leaveQueueForRemote(ctx context.Context, pending *pendingRequest, remote *Lease) (*Lease, error) {
	local, _ := d.leaveQueue(ctx, pending, nil)
	if local == nil {
		return remote, nil
	}
	remote.Release(balance.Result{})
	return local, nil
}

func (d *Dispatcher) lease(pending *pendingRequest, id balance.ServerID, incarnation uint64) *Lease {
	p, request := pending.pool, pending.request
	d.inFlight[id]++
	return &Lease{
		Server:      id,
		Incarnation: incarnation,
		statement: func(leaving bool, pause time.Duration) Statement {
			return d.recordStatement(p, serverIncarnation{id, incarnation}, leaving, pause)
		},
		rate:      func(rate ratelimit.Statement) bool { return d.recordRate(p, serverIncarnation{id, incarnation}, rate) },
		firstByte: func(elapsed time.Duration) bool { return d.firstByte(p, request, id, elapsed) },
		release:   func(result balance.Result) { d.release(p, request, id, result) },
	}
}

func (d *Dispatcher) firstByte(p *pool, request balance.Request, id balance.ServerID, elapsed time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.admission.FirstByte(d.now(), request, id, elapsed)
}

// recordStatement records what a server stated about itself, and takes it out of the views.
func (d *Dispatcher) recordStatement(p *pool, server serverIncarnation, leaving bool, pause time.Duration) (news Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if leaving {
		news.Leaving = d.withdrawals.MarkLeaving(server, now)
	}
	if pause > 0 {
		news.Paused = d.withdrawals.Pause(server, now.Add(pause), now)
	}
	d.rebuildViews(now, p)
	return news
}

// withdrawn reports whether a server that is listed at now has stated that it takes no request,
// and until when if it is not leaving.
func (d *Dispatcher) withdrawn(server membership.Server, now time.Time) (until time.Time, withdrawn bool) {
	key := serverIncarnation{balance.ServerID(server.Address), server.Incarnation}
	if d.withdrawals.RecordListed(key, now) {
		return time.Time{}, true
	}
	until, withdrawn = d.withdrawals.PausedUntil(key, now)
	if permittedAt, limited := d.rateAvailableAt(key, now); limited {
		withdrawn = true
		if permittedAt.After(until) {
			until = permittedAt
		}
	}
	return until, withdrawn
}

// wait blocks until the queued request has a lease, is refused or ctx ends.
func (d *Dispatcher) wait(ctx context.Context, pending *pendingRequest) (*Lease, error) {
	timer := time.NewTimer(d.timeToReview(pending))
	defer timer.Stop()
	for {
		select {
		case id := <-pending.picked:
			lease, err := d.reserve(ctx, pending, id)
			if lease != nil || err != nil {
				return lease, err
			}
			timer.Reset(d.timeToReview(pending))
		case <-timer.C:
			if !d.review(pending) {
				return d.leaveQueue(ctx, pending, errOverloaded("no slot became free within the queue timeout"))
			}
			timer.Reset(d.timeToReview(pending))
		case <-ctx.Done():
			return d.leaveQueue(ctx, pending, errOverloaded("the request was canceled before a slot became free"))
		}
	}
}

// timeToReview returns the time until a queued request is due for review.
func (d *Dispatcher) timeToReview(pending *pendingRequest) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return pending.waiter.ReviewAt.Sub(d.now())
}

// review reports whether a request stays queued; if not, it is refused.
func (d *Dispatcher) review(pending *pendingRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pending.pool.waiters[pending.waiter] == nil {
		// A server has just been picked; leaveQueue receives it.
		return false
	}
	return pending.pool.admission.Review(d.now(), pending.waiter, pending.pool.viewOf(pending.waiter))
}

// leaveQueue removes a request from the queue and returns err. If a server has just
// been picked and has a slot for the request, it returns that lease instead.
func (d *Dispatcher) leaveQueue(ctx context.Context, pending *pendingRequest, err error) (*Lease, error) {
	d.mu.Lock()
	select {
	case id := <-pending.picked:
		d.mu.Unlock()
		if lease, _ := d.reserve(ctx, pending, id); lease != nil {
			return lease, nil
		}
		d.mu.Lock()
	default:
	}
	pending.pool.remove(pending)
	d.mu.Unlock()
	return nil, err
}

func (d *Dispatcher) pool(uid string) *pool {
	p := d.pools[uid]
	if p == nil {
		p = newPool(d.newPolicy(), d.queueTimeout)
		d.pools[uid] = p
	}
	return p
}

func (d *Dispatcher) release(p *pool, request balance.Request, id balance.ServerID, result balance.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.inFlight[id]--
	if d.inFlight[id] == 0 {
		delete(d.inFlight, id)
	}
	d.reservations.release(id)
	p.admission.Release(now, request, id, result)
	d.serveQueue(now, p)
}

// InFlight returns the number of requests in flight on each of the servers, in the
// order of addresses. It implements membership.InFlightSource.
func (d *Dispatcher) InFlight(addresses []string) []uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make([]uint32, len(addresses))
	for i, address := range addresses {
		counts[i] = uint32(d.inFlight[balance.ServerID(address)])
	}
	return counts
}

// serveQueue picks servers for queued requests while slots are free.
func (d *Dispatcher) serveQueue(now time.Time, p *pool) {
	p.admission.Serve(now, p.viewOf, func(waiter *balance.Waiter, id balance.ServerID) {
		pending := p.waiters[waiter]
		delete(p.waiters, waiter)
		pending.picked <- id
	})
}

// Run serves the queues periodically until ctx ends, because changes of the
// membership and new load reports free slots too.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(queueScanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.serveQueues()
		}
	}
}

func (d *Dispatcher) serveQueues() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.updatePosition(now)
	for _, p := range d.pools {
		if p.admission.Waiting() > 0 {
			p.refresh(now, d)
			d.serveQueue(now, p)
		}
	}
}

func errNoServer() error {
	return api.Errorf(api.CodeNoBackendServer, "the pool has no serving backend server").NotRun()
}

// errPaused spreads the callers over half of the remaining pause, so that they do not return
// together.
func errPaused(remaining time.Duration) error {
	err := api.Errorf(api.CodeOverloaded, "all servers want no request, or limit their rate, for %v", remaining.Round(time.Millisecond)).NotRun()
	err.RetryAfterMS = (remaining + rand.N(remaining/2+time.Millisecond)).Milliseconds() + 1
	return err
}

func errOverloaded(message string) error {
	return api.Errorf(api.CodeOverloaded, "%s", message).NotRun()
}
