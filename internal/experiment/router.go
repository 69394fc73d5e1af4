package experiment

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// knownServer is a server in the table of a router.
type knownServer struct {
	server       *server
	reportedLoad int
	reportedAt   time.Time
	// peerInFlight has the in-flight requests of each other router by rank, and
	// peerInFlightSum their sum.
	peerInFlight    []int
	peerInFlightSum int
	peerInFlightAt  time.Time
	// ownerReported is the sum that the owner of the server reported at
	// ownerReportedAt.
	ownerReported   int
	ownerReportedAt time.Time
	since           time.Time
}

// router is a router with its own server table and its own placement decisions.
type router struct {
	domain *domain
	name   string
	rank   balance.RouterRank
	// reservations is nil if the policy uses no reservations.
	reservations *reservations
	admission    *balance.Admission
	servers      []*knownServer
	view         *balance.View
	inFlight     map[balance.ServerID]int
	waiters      map[*balance.Waiter]*request
}

// viewInterval is the period of unconditional view rebuilds.
const viewInterval = 250 * time.Millisecond

// sendInFlight updates the in-flight counts of this router in the table of another
// one.
func (r *router) sendInFlight(other *router) {
	for _, k := range other.servers {
		count := r.inFlight[k.server.id]
		k.peerInFlightSum += count - k.peerInFlight[r.rank.Rank]
		k.peerInFlight[r.rank.Rank] = count
		k.peerInFlightAt = r.domain.clockTime()
	}
	other.rebuildView()
}

func (r *router) addServer(s *server) {
	r.servers = append(r.servers, &knownServer{server: s, peerInFlight: make([]int, r.rank.Count), since: r.domain.clockTime().Add(s.since - r.domain.now)})
	r.rebuildView()
}

func (r *router) removeServer(s *server) {
	for i, k := range r.servers {
		if k.server == s {
			r.servers = append(r.servers[:i:i], r.servers[i+1:]...)
			break
		}
	}
	r.rebuildView()
}

// recordLoadReport stores a load report of a server.
func (r *router) recordLoadReport(s *server, load int) {
	for _, k := range r.servers {
		if k.server == s {
			k.reportedLoad = load
			k.reportedAt = r.domain.clockTime()
		}
	}
}

// rebuildView creates the view for the balancer from the server table.
func (r *router) rebuildView() {
	servers := make([]balance.Server, len(r.servers))
	for i, k := range r.servers {
		servers[i] = balance.Server{
			ID: k.server.id, Incarnation: 1, Slots: k.server.slots,
			PeerInFlight: k.peerInFlightSum, PeerInFlightAt: k.peerInFlightAt,
			ReportedLoad: k.reportedLoad, ReportedAt: k.reportedAt, Since: k.since,
		}
		r.setOwnership(k, &servers[i])
	}
	r.view = balance.NewView(servers, 0, r.rank)
}

// setOwnership sets the owner of a server. The peer in-flight count comes from the
// reservations if this router is the owner, from a report of the owner if it is
// recent, and otherwise from the exchange between routers.
func (r *router) setOwnership(k *knownServer, server *balance.Server) {
	if r.reservations == nil {
		return
	}
	server.Owner = r.reservations.ownership(server.ID)
	switch {
	case server.Owner == balance.OwnerSelf:
		server.PeerInFlight = r.reservations.peerCounts.Sum(string(server.ID))
	case r.domain.clockTime().Sub(k.ownerReportedAt) < maxOwnerReportAge:
		server.PeerInFlight = k.ownerReported
	}
}

// maxOwnerReportAge is the age from which the report of an owner is ignored.
const maxOwnerReportAge = 250 * time.Millisecond

// recordOwnerReport stores the in-flight requests of other routers as reported by
// the owner of the server.
func (r *router) recordOwnerReport(id balance.ServerID, peerInFlight int) {
	for _, k := range r.servers {
		if k.server.id == id {
			k.ownerReported, k.ownerReportedAt = peerInFlight, r.domain.clockTime()
		}
	}
	r.view.SetPeerInFlight(id, peerInFlight)
}

// admit places, queues or refuses a new request.
func (r *router) admit(req *request) {
	verdict, id, waiter := r.admission.Admit(r.domain.clockTime(), req.routing, r.view)
	switch verdict {
	case balance.VerdictServe:
		r.reserveAndSend(req, id)
	case balance.VerdictRefuse:
		r.domain.refuseRequest(req)
	case balance.VerdictWait:
		r.enqueue(req, waiter)
	}
}

func (r *router) enqueue(req *request, waiter *balance.Waiter) {
	req.waiter = waiter
	r.waiters[waiter] = req
	r.scheduleReview(req, waiter)
}

// scheduleReview schedules the next review of a queued request.
func (r *router) scheduleReview(req *request, waiter *balance.Waiter) {
	req.reviewsScheduled++
	latest := req.reviewsScheduled
	r.domain.scheduleAfter(max(waiter.ReviewAt.Sub(r.domain.clockTime()), 0), func() {
		if r.waiters[waiter] != req || req.reviewsScheduled != latest {
			return
		}
		if r.admission.Review(r.domain.clockTime(), waiter, r.view) {
			r.scheduleReview(req, waiter)
		} else {
			delete(r.waiters, waiter)
			r.admission.Remove(waiter)
			r.domain.refuseRequest(req)
		}
	})
}

// serveQueue places queued requests on free slots.
func (r *router) serveQueue() {
	viewOf := func(*balance.Waiter) *balance.View { return r.view }
	r.admission.Serve(r.domain.clockTime(), viewOf, func(waiter *balance.Waiter, id balance.ServerID) {
		req := r.waiters[waiter]
		delete(r.waiters, waiter)
		r.reserveAndSend(req, id)
	})
}

// reserveAndSend sends a request to a server, after the owner has granted a
// reservation if that is a peer.
func (r *router) reserveAndSend(req *request, id balance.ServerID) {
	if r.view.OwnerOf(id) == balance.OwnerPeer {
		r.reservations.requestSlot(req, id)
		return
	}
	r.send(req, id)
}

func (r *router) releaseSlot(id balance.ServerID) {
	if r.reservations != nil {
		r.reservations.release(id)
	}
}

// send sends a request to a server. A server that has been replaced refuses it, and
// the request is retried on another one.
func (r *router) send(req *request, id balance.ServerID) {
	target := r.domain.serversByID[id]
	if target.left {
		r.domain.tally.recordSendToRemoved(r.domain.now - target.since)
		r.releaseSlot(id)
		r.admission.Release(r.domain.clockTime(), req.routing, id, balance.Result{Failed: true})
		req.routing.Exclude = append(req.routing.Exclude, id)
		next, ok := r.admission.Retry(r.domain.clockTime(), req.routing, r.view)
		if !ok {
			r.domain.refuseRequest(req)
			return
		}
		r.reserveAndSend(req, next)
		return
	}
	sent := r.domain.now
	r.inFlight[id]++
	var firstByte time.Duration
	j := &job{chat: req.chat.id, class: req.routing.Class, promptTokens: req.promptTokens, answerTokens: req.answerTokens}
	j.onFirstByte = func() {
		firstByte = r.domain.now - sent
		if r.admission.FirstByte(r.domain.clockTime(), req.routing, id, firstByte) {
			firstByte = 0
		}
		r.domain.recordFirstByte(req, j, target)
	}
	j.onDone = func() {
		r.inFlight[id]--
		r.releaseSlot(id)
		result := balance.Result{FirstByte: firstByte}
		r.admission.Release(r.domain.clockTime(), req.routing, id, result)
		r.domain.finishRequest(req, target)
		r.serveQueue()
	}
	target.add(j)
	r.domain.tally.recordPlacement(target)
}
