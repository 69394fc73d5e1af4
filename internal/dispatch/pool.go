package dispatch

import (
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
)

// maxViewAge is the age at which a view is rebuilt to include new load reports.
const maxViewAge = 100 * time.Millisecond

// Versioned is a Source whose version changes with its servers, but not with their
// load.
type Versioned interface {
	// Version changes whenever a server joins, leaves or changes its state.
	Version() uint64
}

// Ranked is a Source that provides this router's rank among the live routers.
type Ranked interface {
	RouterRank() balance.RouterRank
}

// candidateKey identifies a set of candidates: the servers of a pool that have
// loaded a model, or all its servers if the model is empty.
type candidateKey struct {
	pool  string
	model string
}

// candidates is a view and the inputs from which it was built.
type candidates struct {
	view    *balance.View
	catalog *catalog.Catalog
	target  catalog.Pool
	version uint64
	builtAt time.Time
	// availableAt is when the first paused server accepts requests again; zero if none is
	// paused.
	availableAt time.Time
}

// pendingRequest is a request without a lease.
type pendingRequest struct {
	pool    *pool
	request balance.Request
	key     candidateKey
	// waiter is the request's entry in the queue, or nil if it has never been queued.
	waiter *balance.Waiter
	// picked receives the server that is picked for the request in the queue.
	picked chan balance.ServerID
}

func newPendingRequest(p *pool, request balance.Request, key candidateKey) *pendingRequest {
	return &pendingRequest{pool: p, request: request, key: key, picked: make(chan balance.ServerID, 1)}
}

// pool holds the balancer, the queue and the views of one pool.
type pool struct {
	admission *balance.Admission
	// granter is nil if the balancer grants no reservations.
	granter granter
	waiters map[*balance.Waiter]*pendingRequest
	views   map[candidateKey]*candidates
}

func newPool(balancer balance.Balancer, queueTimeout time.Duration) *pool {
	granter, _ := balancer.(granter)
	return &pool{
		granter:   granter,
		admission: balance.NewAdmission(balancer, queueTimeout),
		waiters:   make(map[*balance.Waiter]*pendingRequest),
		views:     make(map[candidateKey]*candidates),
	}
}

func (p *pool) enqueue(waiter *balance.Waiter, key candidateKey) *pendingRequest {
	pending := newPendingRequest(p, waiter.Request, key)
	pending.waiter = waiter
	p.waiters[waiter] = pending
	return pending
}

func (p *pool) remove(pending *pendingRequest) {
	p.admission.Remove(pending.waiter)
	delete(p.waiters, pending.waiter)
}

// requeue queues a request for which no owner granted a reservation. It returns
// false if too many requests are queued.
func (p *pool) requeue(now time.Time, pending *pendingRequest) bool {
	pending.request.Refused, pending.request.IgnoreLoadBound, pending.request.SkipReservation = nil, false, false
	waiter, ok := p.admission.Requeue(now, pending.request, pending.waiter, p.views[pending.key].view)
	if ok {
		pending.waiter = waiter
		p.waiters[waiter] = pending
	}
	return ok
}

func (p *pool) retry(now time.Time, pending *pendingRequest) (balance.ServerID, bool) {
	return p.admission.Retry(now, pending.request, p.views[pending.key].view)
}

// setPeerInFlight sets the peer in-flight count of a server in all views.
func (p *pool) setPeerInFlight(id balance.ServerID, peerInFlight int) {
	for _, c := range p.views {
		c.view.SetPeerInFlight(id, peerInFlight)
	}
}

// setOwnedPeerInFlight sets the peer in-flight count of a server in the views in which
// this router owns the server.
func (p *pool) setOwnedPeerInFlight(id balance.ServerID, peerInFlight int) {
	for _, c := range p.views {
		if c.view.OwnerOf(id) == balance.OwnerSelf {
			c.view.SetPeerInFlight(id, peerInFlight)
		}
	}
}

// viewOf returns the newest view of a waiter's candidates.
func (p *pool) viewOf(waiter *balance.Waiter) *balance.View {
	return p.views[p.waiters[waiter].key].view
}

// view returns the view of a set of candidates and rebuilds it if it is outdated.
func (p *pool) view(now time.Time, d *Dispatcher, current *catalog.Catalog, target catalog.Pool, key candidateKey) *balance.View {
	c := p.views[key]
	if c == nil {
		c = &candidates{}
		p.views[key] = c
	}
	if c.catalog != current || c.outdated(now, d.source) {
		c.catalog, c.target = current, target
		c.rebuild(now, d, p, key.model)
	}
	return c.view
}

// refresh rebuilds all outdated views.
func (p *pool) refresh(now time.Time, d *Dispatcher) {
	for key, c := range p.views {
		if c.outdated(now, d.source) {
			c.rebuild(now, d, p, key.model)
		}
	}
}

func (c *candidates) outdated(now time.Time, source Source) bool {
	versioned, ok := source.(Versioned)
	return !ok || now.Sub(c.builtAt) >= maxViewAge || c.version != versioned.Version()
}

func (c *candidates) rebuild(now time.Time, d *Dispatcher, p *pool, model string) {
	c.builtAt, c.availableAt = now, time.Time{}
	c.version = versionOf(d.source)
	var servers []balance.Server
	for _, server := range d.source.Servers() {
		if !isCandidate(c.catalog, server, c.target, model) {
			continue
		}
		if until, withdrawn := d.withdrawn(server, now); withdrawn {
			if !until.IsZero() && (c.availableAt.IsZero() || until.Before(c.availableAt)) {
				c.availableAt = until
			}
			continue
		}
		servers = append(servers, balance.Server{
			ID: balance.ServerID(server.Address), Incarnation: server.Incarnation, Slots: server.Slots,
			ReportedLoad: server.Load, ReportedAt: server.ReceivedAt, Since: server.Since,
			PeerInFlight: server.PeerInFlight, PeerInFlightAt: server.PeerInFlightAt,
		})
		d.reservations.recordPool(server.Address, server.Pool)
	}
	if p.granter != nil {
		d.reservations.setOwners(now, c.target.UID, servers)
	}
	c.view = balance.NewView(servers, c.target.LoadBound(), rankOf(d.source))
}

func versionOf(source Source) uint64 {
	if versioned, ok := source.(Versioned); ok {
		return versioned.Version()
	}
	return 0
}

func rankOf(source Source) balance.RouterRank {
	if ranked, ok := source.(Ranked); ok {
		return ranked.RouterRank()
	}
	return balance.RouterRank{Count: 1}
}

func isCandidate(current *catalog.Catalog, server membership.Server, pool catalog.Pool, model string) bool {
	if server.State != api.ServerServing {
		return false
	}
	announced, ok := current.Pool(server.Pool)
	if !ok || announced.UID != pool.UID {
		return false
	}
	return model == "" || slices.Contains(server.Models, model)
}
