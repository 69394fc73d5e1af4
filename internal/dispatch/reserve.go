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

// Reservations reserves places with the routers that own the servers.
type Reservations interface {
	// Owners returns who grants places on each of a pool's servers.
	Owners(pool string, servers []string) []balance.Ownership
	// Reserve asks a server's owner for one place.
	Reserve(ctx context.Context, server string, firm bool) (reservationrpc.Answer, error)
	// AddUngranted counts a place that no owner has granted.
	AddUngranted(server string)
	// Release gives a place back.
	Release(server string)
}

// heardAge is the age at which what an owner told of a load counts no more.
const heardAge = 250 * time.Millisecond

// heard is the other routers' work on a server as its owner told it.
type heard struct {
	others int
	at     time.Time
}

// reserving is a dispatcher's part in the reservations; it is empty without them.
type reserving struct {
	reservations Reservations
	catalog      func() *catalog.Catalog
	counts       *reservation.PeerCounts
	heard        map[balance.ServerID]heard
	// pools names the pools of the servers that views have listed, by address.
	pools map[string]api.Ref
}

// SetReservations sets the reservations; it is called before the dispatcher is
// used. The catalog is that of the present configuration.
func (d *Dispatcher) SetReservations(reservations Reservations, current func() *catalog.Catalog) {
	d.reserving = reserving{
		reservations: reservations, catalog: current, counts: reservation.NewPeerCounts(),
		heard: make(map[balance.ServerID]heard), pools: make(map[string]api.Ref),
	}
}

// granter is a balancer that grants places to other routers.
type granter interface {
	MayGrant(now time.Time, id balance.ServerID, firm bool, view *balance.View) bool
}

// list notes the pool that a server announces itself for.
func (r *reserving) list(address string, pool api.Ref) {
	if r.reservations != nil {
		r.pools[address] = pool
	}
}

// own sets who grants places on the servers, and what is known of their load.
func (r *reserving) own(now time.Time, pool string, servers []balance.Server) {
	if r.reservations == nil {
		return
	}
	addresses := make([]string, len(servers))
	for i := range servers {
		addresses[i] = string(servers[i].ID)
	}
	for i, owner := range r.reservations.Owners(pool, addresses) {
		server := &servers[i]
		server.Owner = owner
		told := r.heard[server.ID]
		switch {
		case owner == balance.OwnerSelf:
			server.PeerInFlight = r.counts.Sum(addresses[i])
		case owner == balance.OwnerPeer && now.Sub(told.at) < heardAge:
			server.PeerInFlight = told.others
		}
	}
}

func (r *reserving) take(id balance.ServerID) {
	if r.reservations != nil {
		r.reservations.AddUngranted(string(id))
	}
}

func (r *reserving) release(id balance.ServerID) {
	if r.reservations != nil {
		r.reservations.Release(string(id))
	}
}

// hear records what an owner told of a server's load.
func (r *reserving) hear(now time.Time, p *pool, id balance.ServerID, others int) {
	r.heard[id] = heard{others: others, at: now}
	p.setOthers(id, others)
}

// place turns a pick into a lease. Where another router owns the server, that
// one is asked, and other servers are tried as long as it refuses. Where no owner
// has a place it returns nil, and the request waits in the queue again, or it
// fails where too many wait.
func (d *Dispatcher) place(ctx context.Context, w *waiting, id balance.ServerID) (*Lease, error) {
	for {
		if lease := d.placeUnasked(w, id); lease != nil {
			return lease, nil
		}
		answer, err := d.reserving.reservations.Reserve(ctx, string(id), w.request.IgnoreLoadBound)
		d.mu.Lock()
		if err == nil {
			d.reserving.hear(d.now(), w.pool, id, answer.PeerInFlight)
		}
		if err == nil && answer.Granted {
			lease := d.lease(w, id)
			d.mu.Unlock()
			return lease, nil
		}
		next, ok := d.tryNext(w, id, err)
		waits := ok || w.pool.requeue(d.now(), w)
		d.mu.Unlock()
		switch {
		case !waits:
			return nil, errOverloaded("too many requests wait for a slot")
		case !ok:
			return nil, nil
		}
		id = next
	}
}

// placeUnasked returns a lease where no other router has to be asked.
func (d *Dispatcher) placeUnasked(w *waiting, id balance.ServerID) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	owner := w.pool.views[w.key].view.OwnerOf(id)
	if owner == balance.OwnerPeer && !w.request.SkipReservation {
		return nil
	}
	d.reserving.take(id)
	return d.lease(w, id)
}

// tryNext picks another server after a refusal, or by this router's own share
// after no answer. It returns false where there is none.
func (d *Dispatcher) tryNext(w *waiting, id balance.ServerID, err error) (balance.ServerID, bool) {
	now := d.now()
	w.pool.admission.CancelPick(now, w.request, id)
	last := w.request.IgnoreLoadBound && err == nil
	if err != nil {
		w.request.SkipReservation = true
	} else {
		w.request = balance.AfterRefusal(w.request, id)
	}
	if last {
		return "", false
	}
	if next, ok := w.pool.retry(now, w); ok {
		return next, true
	}
	w.request = balance.IgnoringLoadBound(w.request)
	return w.pool.retry(now, w)
}

// HandleReservation implements reservationrpc.Granter.
func (d *Dispatcher) HandleReservation(from string, message reservation.Message) (granted, others int, owned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := balance.ServerID(message.Server)
	p, view := d.owned(message.Server)
	before := d.reserving.counts.Get(message.Server, from)
	d.setCount(p, id, from, message.Held)
	if p == nil || p.granter == nil || view.OwnerOf(id) != balance.OwnerSelf {
		return 0, 0, false
	}
	for granted < message.Requested && p.granter.MayGrant(d.now(), id, granted < message.IgnoringBound, view) {
		granted++
		d.setCount(p, id, from, message.Held+granted)
	}
	if message.Held+granted < before {
		d.serveQueue(d.now(), p)
	}
	others = d.inFlight[id] + d.reserving.counts.Sum(message.Server) - message.Held - granted
	return granted, others, true
}

// owned returns the pool of a server and the view of all of the pool's servers.
func (d *Dispatcher) owned(server string) (*pool, *balance.View) {
	current := d.reserving.catalog()
	ref, known := d.reserving.pools[server]
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

// announcedPool looks the pool of a server up that no view has listed yet.
func (d *Dispatcher) announcedPool(address string) api.Ref {
	for _, server := range d.source.Servers() {
		if server.Address == address {
			return server.Pool
		}
	}
	return ""
}

func (d *Dispatcher) setCount(p *pool, id balance.ServerID, from string, count int) {
	d.reserving.counts.Set(string(id), from, count)
	if p != nil {
		p.setOwned(id, d.reserving.counts.Sum(string(id)))
	}
}

// RouterLost implements reservationrpc.Granter.
func (d *Dispatcher) RouterLost(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, server := range d.reserving.counts.Forget(from) {
		id := balance.ServerID(server)
		for _, p := range d.pools {
			p.setOwned(id, d.reserving.counts.Sum(server))
		}
	}
}
