package experiment

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// known is a server as a router knows it.
type known struct {
	server     *server
	load       int
	reportedAt time.Time
	// others is the work in flight of each other router, by its rank, and
	// othersSum their sum.
	others    []int
	othersSum int
	othersAt  time.Time
	// owned is the same as the server's owner told it at ownedAt.
	owned   int
	ownedAt time.Time
	since   time.Time
}

// router is a router with its own membership and its own decisions.
type router struct {
	domain *domain
	name   string
	rank   balance.RouterRank
	// reservations is nil where the policy has none.
	reservations *reservations
	admission    *balance.Admission
	known        []*known
	view         *balance.View
	inFlight     map[balance.ServerID]int
	waiters      map[*balance.Waiter]*request
}

// viewEvery is the time between two views that nothing else gave rise to.
const viewEvery = 250 * time.Millisecond

// tell tells another router of this one's work in flight.
func (r *router) tell(other *router) {
	for _, k := range other.known {
		count := r.inFlight[k.server.id]
		k.othersSum += count - k.others[r.rank.Rank]
		k.others[r.rank.Rank] = count
		k.othersAt = r.domain.clock()
	}
	other.rebuild()
}

func (r *router) learn(s *server) {
	r.known = append(r.known, &known{server: s, others: make([]int, r.rank.Count), since: r.domain.clock().Add(s.since - r.domain.now)})
	r.rebuild()
}

func (r *router) forget(s *server) {
	for i, k := range r.known {
		if k.server == s {
			r.known = append(r.known[:i:i], r.known[i+1:]...)
			break
		}
	}
	r.rebuild()
}

// report takes a load report.
func (r *router) report(s *server, load int) {
	for _, k := range r.known {
		if k.server == s {
			k.load = load
			k.reportedAt = r.domain.clock()
		}
	}
}

func (r *router) rebuild() {
	servers := make([]balance.Server, len(r.known))
	for i, k := range r.known {
		servers[i] = balance.Server{
			ID: k.server.id, Incarnation: 1, Slots: k.server.slots,
			PeerInFlight: k.othersSum, PeerInFlightAt: k.othersAt,
			ReportedLoad: k.load, ReportedAt: k.reportedAt, Since: k.since,
		}
		r.reserve(k, &servers[i])
	}
	r.view = balance.NewView(servers, 0, r.rank)
}

// reserve sets who grants places on a server, and what that one told of its load.
func (r *router) reserve(k *known, server *balance.Server) {
	if r.reservations == nil {
		return
	}
	server.Owner = r.reservations.ownership(server.ID)
	switch {
	case server.Owner == balance.OwnerSelf:
		server.PeerInFlight = r.reservations.counts.Sum(string(server.ID))
	case r.domain.clock().Sub(k.ownedAt) < ownedAge:
		server.PeerInFlight = k.owned
	}
}

// ownedAge is the age at which what an owner told of a load counts no more.
const ownedAge = 250 * time.Millisecond

// hearLoad takes the other routers' work on a server as its owner told it.
func (r *router) hearLoad(id balance.ServerID, others int) {
	for _, k := range r.known {
		if k.server.id == id {
			k.owned, k.ownedAt = others, r.domain.clock()
		}
	}
	r.view.SetPeerInFlight(id, others)
}

// ask takes a caller's request.
func (r *router) ask(req *request) {
	verdict, id, waiter := r.admission.Admit(r.domain.clock(), req.ask, r.view)
	switch verdict {
	case balance.VerdictServe:
		r.place(req, id)
	case balance.VerdictRefuse:
		r.domain.refused(req)
	case balance.VerdictWait:
		r.wait(req, waiter)
	}
}

func (r *router) wait(req *request, waiter *balance.Waiter) {
	req.waiter = waiter
	r.waiters[waiter] = req
	r.review(req, waiter)
}

// review decides on a waiter again when that is due.
func (r *router) review(req *request, waiter *balance.Waiter) {
	req.reviews++
	newest := req.reviews
	r.domain.after(max(waiter.ReviewAt.Sub(r.domain.clock()), 0), func() {
		if r.waiters[waiter] != req || req.reviews != newest {
			return
		}
		if r.admission.Review(r.domain.clock(), waiter, r.view) {
			r.review(req, waiter)
		} else {
			delete(r.waiters, waiter)
			r.admission.Remove(waiter)
			r.domain.refused(req)
		}
	})
}

// serve gives free slots to waiters.
func (r *router) serve() {
	viewOf := func(*balance.Waiter) *balance.View { return r.view }
	r.admission.Serve(r.domain.clock(), viewOf, func(waiter *balance.Waiter, id balance.ServerID) {
		req := r.waiters[waiter]
		delete(r.waiters, waiter)
		r.place(req, id)
	})
}

// place sends a request to a server once its owner has granted a place.
func (r *router) place(req *request, id balance.ServerID) {
	if r.view.OwnerOf(id) == balance.OwnerPeer {
		r.reservations.ask(req, id)
		return
	}
	r.send(req, id)
}

func (r *router) giveBack(id balance.ServerID) {
	if r.reservations != nil {
		r.reservations.release(id)
	}
}

// send gives a request to a server. One that has left refuses it, and another
// is tried.
func (r *router) send(req *request, id balance.ServerID) {
	target := r.domain.byID[id]
	if target.left {
		r.domain.tally.sentToLeft(r.domain.now - target.since)
		r.giveBack(id)
		r.admission.Release(r.domain.clock(), req.ask, id, balance.Result{Failed: true})
		req.ask.Exclude = append(req.ask.Exclude, id)
		next, ok := r.admission.Retry(r.domain.clock(), req.ask, r.view)
		if !ok {
			r.domain.refused(req)
			return
		}
		r.place(req, next)
		return
	}
	sent := r.domain.now
	r.inFlight[id]++
	var firstByte time.Duration
	j := &job{chat: req.chat.id, class: req.ask.Class, prompt: req.prompt, answer: req.answer}
	j.firstByte = func() {
		firstByte = r.domain.now - sent
		if r.admission.FirstByte(r.domain.clock(), req.ask, id, firstByte) {
			firstByte = 0
		}
		r.domain.answered(req, j, target)
	}
	j.done = func() {
		r.inFlight[id]--
		r.giveBack(id)
		result := balance.Result{FirstByte: firstByte}
		r.admission.Release(r.domain.clock(), req.ask, id, result)
		r.domain.finished(req, target)
		r.serve()
	}
	target.add(j)
	r.domain.tally.placed(target)
}
