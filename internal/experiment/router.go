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
	since      time.Time
}

// router is a router with its own membership and its own decisions.
type router struct {
	domain    *domain
	place     balance.Place
	admission *balance.Admission
	known     []*known
	view      *balance.View
	waiters   map[*balance.Waiter]*request
}

// viewEvery is the time between two views with fresh load reports.
const viewEvery = 100 * time.Millisecond

func (r *router) learn(s *server) {
	r.known = append(r.known, &known{server: s, since: r.domain.clock().Add(s.since - r.domain.now)})
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
			ReportedLoad: k.load, ReportedAt: k.reportedAt, Since: k.since,
		}
	}
	r.view = balance.NewView(servers, 0, r.place)
}

// ask takes a caller's request.
func (r *router) ask(req *request) {
	verdict, id, waiter := r.admission.Ask(r.domain.clock(), req.ask, r.view)
	switch verdict {
	case balance.VerdictServe:
		r.send(req, id)
	case balance.VerdictRefuse:
		r.domain.refused(req)
	case balance.VerdictWait:
		r.wait(req, waiter)
	}
}

func (r *router) wait(req *request, waiter *balance.Waiter) {
	r.waiters[waiter] = req
	r.domain.after(waiter.Deadline.Sub(waiter.Enqueued), func() {
		if r.waiters[waiter] == req {
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
		r.send(req, id)
	})
}

// send gives a request to a server. One that has left refuses it, and another
// is tried.
func (r *router) send(req *request, id balance.ServerID) {
	target := r.domain.byID[id]
	if target.left {
		r.domain.tally.sentToLeft(r.domain.now - target.since)
		r.admission.Release(r.domain.clock(), req.ask, id, balance.Result{Failed: true})
		req.ask.Exclude = append(req.ask.Exclude, id)
		next, ok := r.admission.Retry(r.domain.clock(), req.ask, r.view)
		if !ok {
			r.domain.refused(req)
			return
		}
		r.send(req, next)
		return
	}
	sent := r.domain.now
	var firstByte time.Duration
	j := &job{chat: req.chat.id, class: req.ask.Class, prompt: req.prompt, answer: req.answer}
	j.firstByte = func() {
		firstByte = r.domain.now - sent
		r.domain.answered(req, j, target)
	}
	j.done = func() {
		result := balance.Result{FirstByte: firstByte}
		r.admission.Release(r.domain.clock(), req.ask, id, result)
		r.domain.finished(req, target)
		r.serve()
	}
	target.add(j)
	r.domain.tally.placed(target)
}
