package dispatch

import (
	"context"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/reservationrpc"
)

// Reservations manages the reservations of slots on servers.
type Reservations interface {
	// Owners returns, for each of a pool's servers, who grants reservations on it.
	Owners(pool string, servers []string) []balance.Ownership
	// Reserve requests a reservation of one slot from the server's owner. With
	// ignoreLoadBound, the owner refuses only if no slot is free.
	Reserve(ctx context.Context, server string, ignoreLoadBound bool) (reservationrpc.Answer, error)
	// AddUngranted counts a reservation that no owner has granted.
	AddUngranted(server string)
	// Release releases one reservation on a server.
	Release(server string)
}

// maxOwnerReportAge is the age from which an owner's report of the peer in-flight
// count is ignored.
const maxOwnerReportAge = 250 * time.Millisecond

// ownerReport is the peer in-flight count of a server as its owner last reported it.
type ownerReport struct {
	peerInFlight int
	at           time.Time
}

// reservationState is a dispatcher's state of reservations. The zero value disables
// them.
type reservationState struct {
	service      Reservations
	catalog      func() *catalog.Catalog
	peerCounts   *reservation.PeerCounts
	ownerReports map[balance.ServerID]ownerReport
	// pools maps the address of each server that a view has listed to its pool.
	pools map[string]api.Ref
}

// SetReservations enables reservations. It must be called before the dispatcher is
// used. current returns the catalog of the current configuration.
func (d *Dispatcher) SetReservations(reservations Reservations, current func() *catalog.Catalog) {
	d.reservations = reservationState{
		service: reservations, catalog: current, peerCounts: reservation.NewPeerCounts(),
		ownerReports: make(map[balance.ServerID]ownerReport), pools: make(map[string]api.Ref),
	}
}

// granter is a balancer that grants reservations to other routers.
type granter interface {
	MayGrant(now time.Time, id balance.ServerID, ignoreLoadBound bool, view *balance.View) bool
}

// recordPool records the pool that a server announces.
func (r *reservationState) recordPool(address string, pool api.Ref) {
	if r.service != nil {
		r.pools[address] = pool
	}
}

// setOwners sets the ownership of the servers, and their peer in-flight count if this
// router is the owner or the owner has reported it recently.
func (r *reservationState) setOwners(now time.Time, pool string, servers []balance.Server) {
	if r.service == nil {
		return
	}
	addresses := make([]string, len(servers))
	for i := range servers {
		addresses[i] = string(servers[i].ID)
	}
	for i, owner := range r.service.Owners(pool, addresses) {
		server := &servers[i]
		server.Owner = owner
		report := r.ownerReports[server.ID]
		switch {
		case owner == balance.OwnerSelf:
			server.PeerInFlight = r.peerCounts.Sum(addresses[i])
		case owner == balance.OwnerPeer && now.Sub(report.at) < maxOwnerReportAge:
			server.PeerInFlight = report.peerInFlight
		}
	}
}

func (r *reservationState) addUngranted(id balance.ServerID) {
	if r.service != nil {
		r.service.AddUngranted(string(id))
	}
}

func (r *reservationState) release(id balance.ServerID) {
	if r.service != nil {
		r.service.Release(string(id))
	}
}

// recordOwnerReport records the peer in-flight count that a server's owner reported.
func (r *reservationState) recordOwnerReport(now time.Time, p *pool, id balance.ServerID, peerInFlight int) {
	r.ownerReports[id] = ownerReport{peerInFlight: peerInFlight, at: now}
	p.setPeerInFlight(id, peerInFlight)
}

// reserve turns a pick into a lease. It tries other servers while owners refuse, or while this
// router's share of a server's rate is used up. If there is no lease, it queues the request again
// and returns nil, or fails if too many requests are queued.
func (d *Dispatcher) reserve(ctx context.Context, pending *pendingRequest, id balance.ServerID) (*Lease, error) {
	for {
		lease, err := d.tryLease(ctx, pending, id)
		if lease != nil {
			return lease, nil
		}
		d.mu.Lock()
		next, ok := d.pickNext(pending, id, err)
		admitted := ok || pending.pool.requeue(d.now(), pending)
		d.mu.Unlock()
		switch {
		case !admitted:
			return nil, errOverloaded("too many requests are queued for a slot")
		case !ok:
			return nil, nil
		}
		id = next
	}
}

// tryLease returns a lease on a server, or nil if this router's share of the server's rate is used
// up or the server's owner refuses. If another router owns the server, it requests a reservation
// from that router, and returns an error if that one does not answer.
func (d *Dispatcher) tryLease(ctx context.Context, pending *pendingRequest, id balance.ServerID) (*Lease, error) {
	incarnation, ok := d.spendRate(pending, id)
	if !ok {
		return nil, nil
	}
	if lease := d.leaseUngranted(pending, id, incarnation); lease != nil {
		return lease, nil
	}
	answer, err := d.reservations.service.Reserve(ctx, string(id), pending.request.IgnoreLoadBound)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reservations.recordOwnerReport(d.now(), pending.pool, id, answer.PeerInFlight)
	if !answer.Granted {
		return nil, nil
	}
	return d.lease(pending, id, incarnation), nil
}

// leaseUngranted returns a lease if the server needs no grant by another router, and
// nil otherwise.
func (d *Dispatcher) leaseUngranted(pending *pendingRequest, id balance.ServerID, incarnation uint64) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	owner := pending.pool.views[pending.key].view.OwnerOf(id)
	if owner == balance.OwnerPeer && !pending.request.SkipReservation {
		return nil
	}
	d.reservations.addUngranted(id)
	return d.lease(pending, id, incarnation)
}

// pickNext picks another server after the owner of a server refused. After an owner
// that did not answer, the request skips reservations and is limited to this
// router's own share of the slots. It returns false if no server can be picked.
func (d *Dispatcher) pickNext(pending *pendingRequest, id balance.ServerID, err error) (balance.ServerID, bool) {
	now := d.now()
	pending.pool.admission.CancelPick(now, pending.request, id)
	finalRefusal := pending.request.IgnoreLoadBound && err == nil
	if err != nil {
		pending.request.SkipReservation = true
	} else {
		pending.request = balance.AfterRefusal(pending.request, id)
	}
	if finalRefusal {
		return "", false
	}
	if next, ok := pending.pool.retry(now, pending); ok {
		return next, true
	}
	pending.request = balance.IgnoringLoadBound(pending.request)
	return pending.pool.retry(now, pending)
}

// HandleReservation implements reservationrpc.Granter. It sets the number of
// reservations that a router holds on a server, and grants further ones that it
// requests. owned reports whether this router owns the server.
func (d *Dispatcher) HandleReservation(from string, message reservation.Message) (granted, peerInFlight int, owned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := balance.ServerID(message.Server)
	p, view := d.poolAndView(message.Server)
	heldBefore := d.reservations.peerCounts.Get(message.Server, from)
	d.setPeerCount(p, id, from, message.Held)
	if p == nil || p.granter == nil || view.OwnerOf(id) != balance.OwnerSelf {
		return 0, 0, false
	}
	for granted < message.Requested && p.granter.MayGrant(d.now(), id, granted < message.IgnoringLoadBound, view) {
		granted++
		d.setPeerCount(p, id, from, message.Held+granted)
	}
	if message.Held+granted < heldBefore {
		d.serveQueue(d.now(), p)
	}
	peerInFlight = d.inFlight[id] + d.reservations.peerCounts.Sum(message.Server) - message.Held - granted
	return granted, peerInFlight, true
}

// poolAndView returns the pool of a server and the view of all servers of the pool, or
// nil if the pool is not known.
func (d *Dispatcher) poolAndView(server string) (*pool, *balance.View) {
	current := d.reservations.catalog()
	ref, known := d.reservations.pools[server]
	if !known {
		ref = d.announcedPool(server)
	}
	target, ok := current.Pool(ref)
	if !ok {
		return nil, nil
	}
	p := d.pool(target.UID)
	return p, p.view(d.now(), d, current, target, candidateKey{pool: target.UID})
}

// announcedPool returns the pool of a server that no view has listed yet.
func (d *Dispatcher) announcedPool(address string) api.Ref {
	for _, server := range d.source.Servers() {
		if server.Address == address {
			return server.Pool
		}
	}
	return ""
}

func (d *Dispatcher) setPeerCount(p *pool, id balance.ServerID, from string, count int) {
	d.reservations.peerCounts.Set(string(id), from, count)
	if p != nil {
		p.setOwnedPeerInFlight(id, d.reservations.peerCounts.Sum(string(id)))
	}
}

// RouterLost implements reservationrpc.Granter. It drops the reservations of a router.
func (d *Dispatcher) RouterLost(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, server := range d.reservations.peerCounts.Forget(from) {
		id := balance.ServerID(server)
		for _, p := range d.pools {
			p.setOwnedPeerInFlight(id, d.reservations.peerCounts.Sum(server))
		}
	}
}
