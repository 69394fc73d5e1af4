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
// nothing has run. Before it waits or fails it tries another failure domain that
// has room.
func (d *Dispatcher) Acquire(ctx context.Context, view *catalog.Catalog, pool catalog.Pool, model string, request balance.Request) (*Lease, error) {
	w, id, err := d.admit(view, pool, model, request)
	if id != "" {
		lease, placeErr := d.place(ctx, w, id)
		if lease != nil {
			return lease, nil
		}
		if placeErr != nil {
			w, err = nil, placeErr
		}
	}
	remote := d.overflow(view, pool, request)
	switch {
	case w == nil && remote == nil:
		return nil, err
	case w == nil:
		return remote, nil
	case remote == nil:
		return d.wait(ctx, w)
	}
	return d.goRemote(ctx, w, remote)
}

// admit admits a request in this failure domain, and picks a server for it
// unless it has to wait.
func (d *Dispatcher) admit(view *catalog.Catalog, target catalog.Pool, model string, request balance.Request) (*waiting, balance.ServerID, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	p := d.pool(target.UID)
	key := candidateKey{pool: target.UID, model: model}
	servers := p.view(now, d, view, target, key)
	if servers.Len() == 0 {
		return nil, "", errNoServer()
	}
	verdict, id, waiter := p.admission.Admit(now, request, servers)
	switch verdict {
	case balance.VerdictServe:
		w := newWaiting(p, request, key)
		return w, id, nil
	case balance.VerdictRefuse:
		return nil, "", errOverloaded("too many requests wait for a slot")
	}
	return p.enqueue(waiter, key), "", nil
}

// goRemote takes a waiter out of the queue for a lease on another failure
// domain's router, unless it has just got one here.
func (d *Dispatcher) goRemote(ctx context.Context, w *waiting, remote *Lease) (*Lease, error) {
	local, _ := d.giveUp(ctx, w, nil)
	if local == nil {
		return remote, nil
	}
	remote.Release(balance.Result{})
	return local, nil
}

func (d *Dispatcher) lease(w *waiting, id balance.ServerID) *Lease {
	p, request := w.pool, w.request
	d.inFlight[id]++
	return &Lease{
		Server:      id,
		Incarnation: p.views[w.key].view.Incarnation(id),
		firstByte:   func(took time.Duration) bool { return d.firstByte(p, request, id, took) },
		release:     func(result balance.Result) { d.release(p, request, id, result) },
	}
}

func (d *Dispatcher) firstByte(p *pool, request balance.Request, id balance.ServerID, took time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.admission.FirstByte(d.now(), request, id, took)
}

// wait blocks until the waiter has a lease, is refused or ctx ends.
func (d *Dispatcher) wait(ctx context.Context, w *waiting) (*Lease, error) {
	timer := time.NewTimer(d.dueIn(w))
	defer timer.Stop()
	for {
		select {
		case id := <-w.picked:
			lease, err := d.place(ctx, w, id)
			if lease != nil || err != nil {
				return lease, err
			}
			timer.Reset(d.dueIn(w))
		case <-timer.C:
			if !d.review(w) {
				return d.giveUp(ctx, w, errOverloaded("no slot comes free in time"))
			}
			timer.Reset(d.dueIn(w))
		case <-ctx.Done():
			return d.giveUp(ctx, w, errOverloaded("the caller left before a slot came free"))
		}
	}
}

// dueIn returns the time until a waiter is reviewed.
func (d *Dispatcher) dueIn(w *waiting) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return w.waiter.ReviewAt.Sub(d.now())
}

// review reports whether a waiter goes on waiting; otherwise it is refused.
func (d *Dispatcher) review(w *waiting) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.pool.waiters[w.waiter] == nil {
		// A server has just been picked.
		return false
	}
	return w.pool.admission.Review(d.now(), w.waiter, w.pool.viewOf(w.waiter))
}

// giveUp takes a waiter out of the queue, unless a server has just been picked
// and gives it a place.
func (d *Dispatcher) giveUp(ctx context.Context, w *waiting, err error) (*Lease, error) {
	d.mu.Lock()
	select {
	case id := <-w.picked:
		d.mu.Unlock()
		if lease, _ := d.place(ctx, w, id); lease != nil {
			return lease, nil
		}
		d.mu.Lock()
	default:
	}
	w.pool.remove(w)
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
		if p.admission.Waiting() > 0 {
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
