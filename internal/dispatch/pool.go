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
const viewAge = 25 * time.Millisecond

// Versioned is a source that tells when its servers, other than their load,
// have changed.
type Versioned interface {
	// Version changes whenever a server joins, leaves or changes its state.
	Version() uint64
}

// Placed is a source that knows this router's place among the live routers.
type Placed interface {
	Place() balance.Place
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

// waiting is a request that waits for a lease.
type waiting struct {
	pool    *pool
	waiter  *balance.Waiter
	key     candidateKey
	granted chan *Lease
}

// pool is the balancer and the queue of one pool.
type pool struct {
	admission *balance.Admission
	waiters   map[*balance.Waiter]*waiting
	views     map[candidateKey]*candidates
}

func newPool(balancer balance.Balancer, queueLimit time.Duration) *pool {
	return &pool{
		admission: balance.NewAdmission(balancer, queueLimit),
		waiters:   make(map[*balance.Waiter]*waiting),
		views:     make(map[candidateKey]*candidates),
	}
}

func (p *pool) enqueue(waiter *balance.Waiter, key candidateKey) *waiting {
	w := &waiting{pool: p, waiter: waiter, key: key, granted: make(chan *Lease, 1)}
	p.waiters[waiter] = w
	return w
}

func (p *pool) remove(w *waiting) {
	p.admission.Remove(w.waiter)
	delete(p.waiters, w.waiter)
}

// viewOf returns the newest view of the candidates that a waiter waits for.
func (p *pool) viewOf(waiter *balance.Waiter) *balance.View {
	return p.views[p.waiters[waiter].key].view
}

// view returns the view of a set of candidates, made anew where it is outdated.
func (p *pool) view(now time.Time, source Source, view *catalog.Catalog, target catalog.Pool, key candidateKey) *balance.View {
	c := p.views[key]
	if c == nil {
		c = &candidates{}
		p.views[key] = c
	}
	if c.catalog != view || c.outdated(now, source) {
		c.catalog, c.target = view, target
		c.make(now, source, key.model)
	}
	return c.view
}

// refresh makes outdated views anew.
func (p *pool) refresh(now time.Time, source Source) {
	for key, c := range p.views {
		if c.outdated(now, source) {
			c.make(now, source, key.model)
		}
	}
}

func (c *candidates) outdated(now time.Time, source Source) bool {
	versioned, ok := source.(Versioned)
	return !ok || now.Sub(c.made) >= viewAge || c.version != versioned.Version()
}

func (c *candidates) make(now time.Time, source Source, model string) {
	c.made = now
	c.version = versionOf(source)
	var servers []balance.Server
	for _, server := range source.Servers() {
		if !serves(c.catalog, server, c.target, model) {
			continue
		}
		servers = append(servers, balance.Server{
			ID: balance.ServerID(server.Address), Incarnation: server.Incarnation, Slots: server.Slots,
			ReportedLoad: server.Load, ReportedAt: server.ReceivedAt, Since: server.Since,
			Others: server.Others, OthersAt: server.OthersAt,
		})
	}
	c.view = balance.NewView(servers, c.target.LoadBound(), placeOf(source))
}

func versionOf(source Source) uint64 {
	if versioned, ok := source.(Versioned); ok {
		return versioned.Version()
	}
	return 0
}

func placeOf(source Source) balance.Place {
	if placed, ok := source.(Placed); ok {
		return placed.Place()
	}
	return balance.Place{Count: 1}
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
