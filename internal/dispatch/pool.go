package dispatch

import (
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
)

// viewAge is the age at which a view is made anew for fresh load reports.
const viewAge = 100 * time.Millisecond

// Versioned is a source that tells when its servers, other than their load,
// have changed.
type Versioned interface {
	// Version changes whenever a server joins, leaves or changes its state.
	Version() uint64
}

// Ranked is a source that knows this router's place among the live routers.
type Ranked interface {
	RouterRank() balance.RouterRank
}

// candidateKey names a set of candidates: the servers of a pool that have
// loaded a model, or all of them where the model is empty.
type candidateKey struct {
	pool  string
	model string
}

// candidates is a view with what it was made from.
type candidates struct {
	view    *balance.View
	catalog *catalog.Catalog
	target  catalog.Pool
	version uint64
	made    time.Time
}

// waiting is a request without a lease.
type waiting struct {
	pool    *pool
	request balance.Request
	key     candidateKey
	// waiter is its place in the queue, or nil before it has had one.
	waiter *balance.Waiter
	picked chan balance.ServerID
}

func newWaiting(p *pool, request balance.Request, key candidateKey) *waiting {
	return &waiting{pool: p, request: request, key: key, picked: make(chan balance.ServerID, 1)}
}

// pool is the balancer and the queue of one pool.
type pool struct {
	admission *balance.Admission
	// granter is nil where the policy reserves no places.
	granter granter
	waiters map[*balance.Waiter]*waiting
	views   map[candidateKey]*candidates
}

func newPool(balancer balance.Balancer, queueLimit time.Duration) *pool {
	granter, _ := balancer.(granter)
	return &pool{
		granter:   granter,
		admission: balance.NewAdmission(balancer, queueLimit),
		waiters:   make(map[*balance.Waiter]*waiting),
		views:     make(map[candidateKey]*candidates),
	}
}

func (p *pool) enqueue(waiter *balance.Waiter, key candidateKey) *waiting {
	w := newWaiting(p, waiter.Request, key)
	w.waiter = waiter
	p.waiters[waiter] = w
	return w
}

func (p *pool) remove(w *waiting) {
	p.admission.Remove(w.waiter)
	delete(p.waiters, w.waiter)
}

// requeue lets a request wait that no owner had a place for. It returns false
// where too many wait.
func (p *pool) requeue(now time.Time, w *waiting) bool {
	w.request.Refused, w.request.IgnoreLoadBound, w.request.SkipReservation = nil, false, false
	waiter, ok := p.admission.Requeue(now, w.request, w.waiter, p.views[w.key].view)
	if ok {
		w.waiter = waiter
		p.waiters[waiter] = w
	}
	return ok
}

func (p *pool) retry(now time.Time, w *waiting) (balance.ServerID, bool) {
	return p.admission.Retry(now, w.request, p.views[w.key].view)
}

// setOthers updates the other routers' work on a server in all views.
func (p *pool) setOthers(id balance.ServerID, others int) {
	for _, c := range p.views {
		c.view.SetPeerInFlight(id, others)
	}
}

// setOwned does the same where this router owns the server.
func (p *pool) setOwned(id balance.ServerID, others int) {
	for _, c := range p.views {
		if c.view.OwnerOf(id) == balance.OwnerSelf {
			c.view.SetPeerInFlight(id, others)
		}
	}
}

// viewOf returns the newest view of the candidates that a waiter waits for.
func (p *pool) viewOf(waiter *balance.Waiter) *balance.View {
	return p.views[p.waiters[waiter].key].view
}

// view returns the view of a set of candidates, made anew where it is outdated.
func (p *pool) view(now time.Time, d *Dispatcher, view *catalog.Catalog, target catalog.Pool, key candidateKey) *balance.View {
	c := p.views[key]
	if c == nil {
		c = &candidates{}
		p.views[key] = c
	}
	if c.catalog != view || c.outdated(now, d.source) {
		c.catalog, c.target = view, target
		c.make(now, d, p, key.model)
	}
	return c.view
}

// refresh makes outdated views anew.
func (p *pool) refresh(now time.Time, d *Dispatcher) {
	for key, c := range p.views {
		if c.outdated(now, d.source) {
			c.make(now, d, p, key.model)
		}
	}
}

func (c *candidates) outdated(now time.Time, source Source) bool {
	versioned, ok := source.(Versioned)
	return !ok || now.Sub(c.made) >= viewAge || c.version != versioned.Version()
}

func (c *candidates) make(now time.Time, d *Dispatcher, p *pool, model string) {
	c.made = now
	c.version = versionOf(d.source)
	var servers []balance.Server
	for _, server := range d.source.Servers() {
		if !serves(c.catalog, server, c.target, model) {
			continue
		}
		servers = append(servers, balance.Server{
			ID: balance.ServerID(server.Address), Incarnation: server.Incarnation, Slots: server.Slots,
			ReportedLoad: server.Load, ReportedAt: server.ReceivedAt, Since: server.Since,
			PeerInFlight: server.PeerInFlight, PeerInFlightAt: server.PeerInFlightAt,
		})
		d.reserving.list(server.Address, server.Pool)
	}
	if p.granter != nil {
		d.reserving.own(now, c.target.UID, servers)
	}
	c.view = balance.NewView(servers, c.target.LoadBound(), placeOf(d.source))
}

func versionOf(source Source) uint64 {
	if versioned, ok := source.(Versioned); ok {
		return versioned.Version()
	}
	return 0
}

func placeOf(source Source) balance.RouterRank {
	if placed, ok := source.(Ranked); ok {
		return placed.RouterRank()
	}
	return balance.RouterRank{Count: 1}
}

func serves(view *catalog.Catalog, server membership.Server, pool catalog.Pool, model string) bool {
	if server.State != api.ServerServing {
		return false
	}
	announced, ok := view.Pool(server.Pool)
	if !ok || announced.UID != pool.UID {
		return false
	}
	return model == "" || slices.Contains(server.Models, model)
}
