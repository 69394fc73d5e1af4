package experiment

import (
	"fmt"
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/reservation"
)

// reservationMessageDelay is the delay of a message on the stream between two
// routers.
const reservationMessageDelay = 500 * time.Microsecond

func routerName(rank int) string { return fmt.Sprintf("router-%d", rank) }

// reservations holds the reservations of a router on servers owned by its peers,
// and the counts of its peers on the servers that it owns.
type reservations struct {
	router     *router
	balancer   *balance.Bounded
	peerCounts *reservation.PeerCounts
	holders    map[string]*reservation.Holder
	pending    map[reservation.Token]*request
	lastToken  reservation.Token
}

func newReservations(r *router, bounded *balance.Bounded) *reservations {
	return &reservations{
		router: r, balancer: bounded, peerCounts: reservation.NewPeerCounts(),
		holders: make(map[string]*reservation.Holder), pending: make(map[reservation.Token]*request),
	}
}

// owner returns the router that grants reservations on a server.
func (r *reservations) owner(id balance.ServerID) string {
	d := r.router.domain
	return reservation.Owner(reservation.OwnerKey("pool", string(id), d.description.Servers), d.routerNames)
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

// requestSlot requests a reservation on a server from its owner.
func (r *reservations) requestSlot(req *request, id balance.ServerID) {
	r.lastToken++
	r.pending[r.lastToken] = req
	owner := r.owner(id)
	if message, ok := r.holder(owner).Request(string(id), r.lastToken, req.routing.IgnoreLoadBound); ok {
		r.send(owner, message)
	}
}

// release releases a reservation at the owner of the server.
func (r *reservations) release(id balance.ServerID) {
	owner := r.owner(id)
	if owner == r.router.name {
		return
	}
	if message, ok := r.holder(owner).Release(string(id)); ok {
		r.send(owner, message)
	}
}

// send delivers a message to an owner and, if it requests reservations, the answer
// to this router.
func (r *reservations) send(owner string, message reservation.Message) {
	d := r.router.domain
	target := d.routersByName[owner]
	d.reservationMessages++
	d.scheduleAfter(reservationMessageDelay, func() {
		granted := target.reservations.grant(r.router.name, message)
		if message.Requested == 0 {
			target.serveQueue()
			return
		}
		d.reservationMessages++
		peerInFlight := target.reservations.serverLoad(message.Server) - message.Held - granted
		d.scheduleAfter(reservationMessageDelay, func() { r.handleAnswer(owner, message.Server, granted, peerInFlight) })
	})
}

// serverLoad returns the requests of all routers on a server that this router owns.
func (r *reservations) serverLoad(server string) int {
	return r.router.inFlight[balance.ServerID(server)] + r.peerCounts.Sum(server)
}

// grant grants as many of the requested reservations as the load bound of the
// server allows, and returns their number.
func (r *reservations) grant(from string, message reservation.Message) int {
	id := balance.ServerID(message.Server)
	r.setPeerCount(id, from, message.Held)
	granted := 0
	for granted < message.Requested && r.balancer.MayGrant(r.router.domain.clockTime(), id, granted < message.IgnoringLoadBound, r.router.view) {
		granted++
		r.setPeerCount(id, from, message.Held+granted)
	}
	return granted
}

// setPeerCount sets the reservations that a peer holds on a server.
func (r *reservations) setPeerCount(id balance.ServerID, from string, count int) {
	r.peerCounts.Set(string(id), from, count)
	r.router.view.SetPeerInFlight(id, r.peerCounts.Sum(string(id)))
}

// handleAnswer sends the granted requests and retries the refused ones.
func (r *reservations) handleAnswer(owner, server string, granted, peerInFlight int) {
	id := balance.ServerID(server)
	r.router.recordOwnerReport(id, peerInFlight)
	grantedTokens, refusedTokens, message, more := r.holder(owner).HandleAnswer(server, granted)
	if more {
		r.send(owner, message)
	}
	for _, token := range grantedTokens {
		r.router.send(r.takePending(token), id)
	}
	for _, token := range refusedTokens {
		r.handleRefusal(r.takePending(token), id)
	}
}

// takePending removes and returns a request with a pending reservation.
func (r *reservations) takePending(token reservation.Token) *request {
	req := r.pending[token]
	delete(r.pending, token)
	return req
}

// handleRefusal retries a request on another server, first within the load bound,
// then ignoring it. It queues the request again if no server is left.
func (r *reservations) handleRefusal(req *request, id balance.ServerID) {
	r.router.domain.reservationRefusals++
	r.router.admission.CancelPick(r.router.domain.clockTime(), req.routing, id)
	ignoredLoadBound := req.routing.IgnoreLoadBound
	req.routing = balance.AfterRefusal(req.routing, id)
	if ignoredLoadBound || !r.retry(req) && !r.retryIgnoringLoadBound(req) {
		r.requeue(req)
	}
}

func (r *reservations) retryIgnoringLoadBound(req *request) bool {
	req.routing = balance.IgnoringLoadBound(req.routing)
	return r.retry(req)
}

func (r *reservations) retry(req *request) bool {
	id, ok := r.router.admission.Retry(r.router.domain.clockTime(), req.routing, r.router.view)
	if ok {
		r.router.reserveAndSend(req, id)
	}
	return ok
}

// requeue queues a request for which no owner granted a reservation.
func (r *reservations) requeue(req *request) {
	d := r.router.domain
	req.routing.Refused, req.routing.IgnoreLoadBound = nil, false
	waiter, ok := r.router.admission.Requeue(d.clockTime(), req.routing, req.waiter, r.router.view)
	if !ok {
		d.refuseRequest(req)
		return
	}
	r.router.enqueue(req, waiter)
}
