// Package dispatch admits requests to backend servers: it joins the membership
// table with the balancer and the waiting queue of each pool.
package dispatch

import (
	"context"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Source lists the known backend servers.
type Source interface {
	Servers() []membership.Server
}

// wakeEvery is the time between two looks at the queues that nothing else woke.
const wakeEvery = 50 * time.Millisecond

// Lease is the right to send one request to a backend server. Release must be
// called exactly once.
type Lease struct {
	Server      balance.ServerID
	Incarnation uint64
	// Remote says that Server is the callers' address of a router of another
	// failure domain, which takes the caller's request as it came.
	Remote    bool
	firstByte func(time.Duration) bool
	release   func(balance.Result)
	// observed says that the balancer has the time of the first byte.
	observed bool
}

// FirstByte tells the time that the first byte of the answer took, so that a
// slow server is known before the answer is whole. It is called at most once,
// before Release.
func (l *Lease) FirstByte(took time.Duration) {
	if l.firstByte != nil {
		l.observed = l.firstByte(took)
	}
}

// Release gives the place on the server back.
func (l *Lease) Release(result balance.Result) {
	if l.observed {
		result.FirstByte = 0
	}
	l.release(result)
}

// Dispatcher gives out leases. It is safe for concurrent use.
type Dispatcher struct {
	source     Source
	newPolicy  func() balance.Balancer
	queueLimit time.Duration
	now        func() time.Time

	mu        sync.Mutex
	reserving reserving
	pools     map[string]*pool
	inFlight  map[balance.ServerID]int
	// overflowing counts the leases on routers of each other failure domain, and
	// overflowed all that were ever given out.
	overflowing map[string]int
	overflowed  int
}

// Option changes a dispatcher at its start.
type Option func(*Dispatcher)

// WithQueueLimit bounds the time that a request waits for a slot.
func WithQueueLimit(limit time.Duration) Option {
	return func(d *Dispatcher) { d.queueLimit = limit }
}

// New returns a dispatcher over the servers of source.
func New(source Source, newPolicy func() balance.Balancer, options ...Option) *Dispatcher {
	d := &Dispatcher{
		source:     source,
		newPolicy:  newPolicy,
		queueLimit: settings.DefaultQueue,
		now:        time.Now,
		pools:      make(map[string]*pool),
		inFlight:   make(map[balance.ServerID]int),

		overflowing: make(map[string]int),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Acquire returns a lease on a server of the pool and waits for a slot while
// ctx lasts. It fails with CodeNoBackendServer where the pool has no serving
// server, and with CodeOverloaded where none has room in time; both mean that
// nothing has run. Before that it tries another failure domain that has room.
func (d *Dispatcher) Acquire(ctx context.Context, view *catalog.Catalog, pool catalog.Pool, model string, request balance.Request) (*Lease, error) {
	asked := d.now()
	lease, err := d.acquireLocal(ctx, view, pool, model, request)
	if err == nil || !mayOverflow(err, asked, d.now()) {
		return lease, err
	}
	if remote := d.overflow(view, pool, request); remote != nil {
		return remote, nil
	}
	return nil, err
}

func (d *Dispatcher) acquireLocal(ctx context.Context, view *catalog.Catalog, target catalog.Pool, model string, request balance.Request) (*Lease, error) {
	d.mu.Lock()
	now := d.now()
	p := d.pool(target.UID)
	key := candidateKey{pool: target.UID, model: model}
	servers := p.view(now, d, view, target, key)
	if servers.Len() == 0 {
		d.mu.Unlock()
		return nil, errNoServer()
	}
	verdict, id, waiter := p.admission.Ask(now, request, servers)
	switch verdict {
	case balance.VerdictServe:
		d.mu.Unlock()
		return d.place(ctx, p, newWaiting(request, key, d.deadline(now, &request)), id)
	case balance.VerdictRefuse:
		d.mu.Unlock()
		return nil, errOverloaded("the request would wait too long for a slot")
	}
	w := p.enqueue(waiter, key)
	d.mu.Unlock()
	return d.wait(ctx, p, w)
}

// deadline returns the time until which a request may wait for a slot.
func (d *Dispatcher) deadline(now time.Time, request *balance.Request) time.Time {
	if request.FirstByteWithin > 0 {
		return now.Add(min(d.queueLimit, request.FirstByteWithin))
	}
	return now.Add(d.queueLimit)
}

func (d *Dispatcher) lease(p *pool, request balance.Request, id balance.ServerID, servers *balance.View) *Lease {
	d.inFlight[id]++
	return &Lease{
		Server:      id,
		Incarnation: servers.Incarnation(id),
		firstByte:   func(took time.Duration) bool { return d.firstByte(p, request, id, took) },
		release:     func(result balance.Result) { d.release(p, request, id, result) },
	}
}

func (d *Dispatcher) firstByte(p *pool, request balance.Request, id balance.ServerID, took time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.admission.FirstByte(d.now(), request, id, took)
}

// wait blocks until the waiter has a lease, its time is over or ctx ends.
func (d *Dispatcher) wait(ctx context.Context, p *pool, w *waiting) (*Lease, error) {
	timer := time.NewTimer(w.deadline.Sub(d.now()))
	defer timer.Stop()
	select {
	case id := <-w.picked:
		return d.place(ctx, p, w, id)
	case <-timer.C:
		return d.giveUp(ctx, p, w, errOverloaded("no slot came free in time"))
	case <-ctx.Done():
		return d.giveUp(ctx, p, w, errOverloaded("the caller left before a slot came free"))
	}
}

// giveUp takes a waiter out of the queue, unless a server has just been picked.
func (d *Dispatcher) giveUp(ctx context.Context, p *pool, w *waiting, err error) (*Lease, error) {
	d.mu.Lock()
	select {
	case id := <-w.picked:
		d.mu.Unlock()
		return d.place(ctx, p, w, id)
	default:
	}
	p.remove(w)
	d.mu.Unlock()
	return nil, err
}

func (d *Dispatcher) pool(uid string) *pool {
	p := d.pools[uid]
	if p == nil {
		p = newPool(d.newPolicy(), d.queueLimit)
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
	d.reserving.release(id)
	p.admission.Release(now, request, id, result)
	d.serveQueue(now, p)
}

// InFlight returns the requests in flight on each of the servers.
func (d *Dispatcher) InFlight(addresses []string) []uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make([]uint32, len(addresses))
	for i, address := range addresses {
		counts[i] = uint32(d.inFlight[balance.ServerID(address)])
	}
	return counts
}

// serveQueue picks servers for waiters for as long as there is room.
func (d *Dispatcher) serveQueue(now time.Time, p *pool) {
	if !p.serveBlocked(now) {
		return
	}
	p.admission.Serve(now, p.viewOf, func(waiter *balance.Waiter, id balance.ServerID) {
		w := p.waiters[waiter]
		delete(p.waiters, waiter)
		w.picked <- id
	})
}

// Run looks at the queues regularly, because membership and load reports free
// slots too, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(wakeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.wake()
		}
	}
}

func (d *Dispatcher) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, p := range d.pools {
		if p.admission.Waiting() > 0 || len(p.blocked) > 0 {
			p.refresh(now, d)
			d.serveQueue(now, p)
		}
	}
}

func errNoServer() error {
	return api.Errorf(api.CodeNoBackendServer, "the pool has no serving backend server").NotRun()
}

func errOverloaded(message string) error {
	return api.Errorf(api.CodeOverloaded, "%s", message).NotRun()
}
