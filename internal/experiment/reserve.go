package experiment

import (
	"fmt"
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/reservation"
)

// askLag is the time of a message between two routers that have a stream.
const askLag = 500 * time.Microsecond

func routerName(rank int) string { return fmt.Sprintf("router-%d", rank) }

// reservations are a router's places on the servers that others own, and those
// that others hold on its own.
type reservations struct {
	router  *router
	bounded *balance.Bounded
	counts  *reservation.PeerCounts
	holders map[string]*reservation.Holder
	asking  map[reservation.Token]*request
	tokens  reservation.Token
}

func newReservations(r *router, bounded *balance.Bounded) *reservations {
	return &reservations{
		router: r, bounded: bounded, counts: reservation.NewPeerCounts(),
		holders: make(map[string]*reservation.Holder), asking: make(map[reservation.Token]*request),
	}
}

// owner returns the router that owns a server.
func (r *reservations) owner(id balance.ServerID) string {
	d := r.router.domain
	return reservation.Owner(reservation.OwnerKey("pool", string(id), d.description.Servers), d.names)
}

func (r *reservations) ownership(id balance.ServerID) balance.Ownership {
	if r.owner(id) == r.router.name {
		return balance.OwnerSelf
	}
	return balance.OwnerPeer
}

func (r *reservations) holder(owner string) *reservation.Holder {
	h := r.holders[owner]
	if h == nil {
		h = reservation.NewHolder()
		r.holders[owner] = h
	}
	return h
}

// ask asks a server's owner for a place for a request.
func (r *reservations) ask(req *request, id balance.ServerID) {
	r.tokens++
	r.asking[r.tokens] = req
	owner := r.owner(id)
	if message, ok := r.holder(owner).Request(string(id), r.tokens, req.ask.IgnoreLoadBound); ok {
		r.send(owner, message)
	}
}

func (r *reservations) release(id balance.ServerID) {
	owner := r.owner(id)
	if owner == r.router.name {
		return
	}
	if message, ok := r.holder(owner).Release(string(id)); ok {
		r.send(owner, message)
	}
}

func (r *reservations) send(owner string, message reservation.Message) {
	d := r.router.domain
	target := d.byName[owner]
	d.messages++
	d.after(askLag, func() {
		granted := target.reservations.decide(r.router.name, message)
		if message.Requested == 0 {
			target.serve()
			return
		}
		d.messages++
		others := target.reservations.load(message.Server) - message.Held - granted
		d.after(askLag, func() { r.answered(owner, message.Server, granted, others) })
	})
}

// load is the load of a server that this router owns.
func (r *reservations) load(server string) int {
	return r.router.inFlight[balance.ServerID(server)] + r.counts.Sum(server)
}

// decide grants as many of the wanted places as the server's bound allows.
func (r *reservations) decide(from string, message reservation.Message) int {
	id := balance.ServerID(message.Server)
	r.setCount(id, from, message.Held)
	granted := 0
	for granted < message.Requested && r.bounded.MayGrant(r.router.domain.clock(), id, granted < message.IgnoringBound, r.router.view) {
		granted++
		r.setCount(id, from, message.Held+granted)
	}
	return granted
}

func (r *reservations) setCount(id balance.ServerID, from string, count int) {
	r.counts.Set(string(id), from, count)
	r.router.view.SetPeerInFlight(id, r.counts.Sum(string(id)))
}

func (r *reservations) answered(owner, server string, granted, others int) {
	id := balance.ServerID(server)
	r.router.hearLoad(id, others)
	got, refused, message, more := r.holder(owner).HandleAnswer(server, granted)
	if more {
		r.send(owner, message)
	}
	for _, token := range got {
		r.router.send(r.take(token), id)
	}
	for _, token := range refused {
		r.refused(r.take(token), id)
	}
}

func (r *reservations) take(token reservation.Token) *request {
	req := r.asking[token]
	delete(r.asking, token)
	return req
}

// refused tries another server for a request.
func (r *reservations) refused(req *request, id balance.ServerID) {
	r.router.domain.refusedAsks++
	r.router.admission.CancelPick(r.router.domain.clock(), req.ask, id)
	wasFirm := req.ask.IgnoreLoadBound
	req.ask = balance.AfterRefusal(req.ask, id)
	if wasFirm || !r.retry(req) && !r.retryFirmly(req) {
		r.requeue(req)
	}
}

func (r *reservations) retryFirmly(req *request) bool {
	req.ask = balance.IgnoringLoadBound(req.ask)
	return r.retry(req)
}

func (r *reservations) retry(req *request) bool {
	id, ok := r.router.admission.Retry(r.router.domain.clock(), req.ask, r.router.view)
	if ok {
		r.router.place(req, id)
	}
	return ok
}

// requeue lets a request wait that no owner had a place for.
func (r *reservations) requeue(req *request) {
	d := r.router.domain
	req.ask.Refused, req.ask.IgnoreLoadBound = nil, false
	waiter, ok := r.router.admission.Requeue(d.clock(), req.ask, req.waiter, r.router.view)
	if !ok {
		d.refused(req)
		return
	}
	r.router.wait(req, waiter)
}
