package slotrpc

import (
	"context"
	"time"

	"peridotwinch.example/peridotwinch/internal/rpc/slotpb"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// timerSlack is how late a timer may fire before this process counts as having been stopped, with
// the coordinator's answer perhaps unread.
const timerSlack = 5 * time.Millisecond

// Slot is a slot that a request of this router holds. The zero value holds none.
type Slot struct {
	node *Node
	id   uint64
}

// Result is the outcome of an ask.
type Result struct {
	// Verdict is VerdictGranted, VerdictRefused or VerdictPassed; with the last one the router
	// decides alone.
	Verdict slotshare.Verdict
	// Slot is the granted slot, on the server with the hash Server.
	Slot   Slot
	Server uint64
	// RetryAfter is, for a refusal, the expected time until such a request is served.
	RetryAfter time.Duration
	// Queued reports whether the request waited at the coordinator.
	Queued bool
	// Reason is why the router decides alone, for the log.
	Reason string
}

// Acquire asks the coordinator for a slot and waits for its decision; ask.ID is ignored. Without a
// first answer within the patience, the request and all others that wait are passed. The request
// is also passed if ctx ends.
func (n *Node) Acquire(ctx context.Context, pool string, ask slotshare.Ask, patience time.Duration) Result {
	p := n.ask(pool, &ask)
	if p == nil {
		return n.passed("no_coordinator")
	}
	patience = max(patience, n.answerLimit)
	started := time.Now()
	due := started.Add(patience)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	expired, queued := timer.C, false
	for {
		select {
		case d := <-p.decided:
			if !queued {
				n.metrics.answerTime.Update(time.Since(started).Seconds())
			}
			if d.Verdict == slotshare.VerdictQueued {
				queued, expired = true, nil
				continue
			}
			return n.result(d, queued)
		case <-ctx.Done():
			return n.abandon(ask.ID, p, false, queued)
		case <-expired:
			late := time.Since(due)
			if late > timerSlack {
				due = time.Now()
				timer.Reset(min(late, patience))
				continue
			}
			return n.abandon(ask.ID, p, true, queued)
		}
	}
}

// ask sends an ask with a new ID, or returns nil if there is no coordinator.
func (n *Node) ask(pool string, ask *slotshare.Ask) *pendingAsk {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.link
	if l == nil || !l.monitor.IsUsable() {
		return nil
	}
	n.lastID++
	ask.ID = n.lastID
	p := &pendingAsk{pool: pool, ask: *ask, decided: make(chan slotshare.Decision, 2)}
	l.pending[ask.ID] = p
	now := time.Now()
	l.push(func(r *slotpb.ShareRequest) {
		r.Asks = append(r.Asks, &slotpb.Ask{
			Id: ask.ID, Pool: pool, Customer: ask.Customer, Priority: int32(ask.Priority), Unusable: ask.Unusable,
			OnTimeUs: ask.OnTime.Sub(now).Microseconds(), DeadlineUs: ask.Deadline.Sub(now).Microseconds(),
		})
	})
	return p
}

// abandon ends the wait of a request, unless it was decided in the meantime. With overdue set, the
// coordinator did not answer in time.
func (n *Node) abandon(id uint64, p *pendingAsk, overdue, queued bool) Result {
	n.mu.Lock()
	if l := n.link; l != nil && l.pending[id] == p {
		if overdue {
			l.lost(time.Now())
		} else {
			delete(l.pending, id)
			l.release(id, p.pool, slotshare.OutcomeUnknown)
		}
	}
	n.mu.Unlock()
	for {
		select {
		case d := <-p.decided:
			if d.Verdict == slotshare.VerdictQueued {
				queued = true
				continue
			}
			return n.result(d, queued)
		default:
			reason := "canceled"
			if overdue {
				reason = "no_answer"
			}
			out := n.passed(reason)
			out.Queued = queued
			return out
		}
	}
}

func (n *Node) result(d slotshare.Decision, queued bool) Result {
	n.metrics.recordDecision(d.Verdict.String())
	out := Result{Verdict: d.Verdict, RetryAfter: d.RetryAfter, Queued: queued}
	switch d.Verdict {
	case slotshare.VerdictGranted:
		out.Slot, out.Server = Slot{n, d.ID}, d.Server
	case slotshare.VerdictRefused:
	default:
		out.Verdict, out.Reason = slotshare.VerdictPassed, d.Verdict.String()
	}
	return out
}

func (n *Node) passed(reason string) Result {
	n.metrics.recordDecision(reason)
	return Result{Verdict: slotshare.VerdictPassed, Reason: reason}
}

// Take records a request that this router sends without a grant.
func (n *Node) Take(pool string, server uint64, ask slotshare.Ask) Slot {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	ask.ID = n.lastID
	h := held{pool: pool, server: server, ask: ask}
	n.held[ask.ID] = h
	if n.link != nil {
		n.link.push(func(r *slotpb.ShareRequest) { r.Takes = append(r.Takes, h.message(ask.ID, time.Now())) })
	}
	return Slot{n, ask.ID}
}

// Release releases a slot. Further calls do nothing.
func (s Slot) Release(outcome slotshare.Outcome) {
	if s.node == nil {
		return
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	h, isHeld := s.node.held[s.id]
	if !isHeld {
		return
	}
	delete(s.node.held, s.id)
	if s.node.link != nil {
		s.node.link.release(s.id, h.pool, outcome)
	}
}
