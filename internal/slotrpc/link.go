package slotrpc

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/slotpb"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

const (
	// redialInterval is the time between two attempts to open a stream.
	redialInterval = 250 * time.Millisecond
	// watchInterval is how often pings are sent and checked. It is short while requests wait.
	watchInterval = 20 * time.Millisecond
	idleInterval  = 100 * time.Millisecond
	// silenceTimeout is the time without an answer to a ping after which the stream is replaced.
	silenceTimeout = 2 * time.Second
	// maxUnsentMessages bounds the messages that the coordinator has not received. The stream is
	// replaced if there are more; the next one states only what the router holds.
	maxUnsentMessages = 4096
)

var (
	errNoPong = errors.New("slotrpc: the coordinator does not answer")
	errUnsent = errors.New("slotrpc: the coordinator does not read its messages")
)

// link is a stream to the coordinator. The node's mutex guards all fields but wake.
type link struct {
	node    *Node
	monitor slotshare.Monitor
	// request has the messages that were not sent yet.
	request *slotpb.ShareRequest
	wake    chan struct{}
	cancel  context.CancelCauseFunc
	// pending holds the asks that have no final decision.
	pending map[uint64]*pendingAsk
	// lastPong is when a ping was last answered, or when the stream was opened.
	lastPong time.Time
	// overdue is set if the answer to a ping was overdue at the last check. This process may have
	// been stopped itself, with the answer unread, so the second check counts.
	overdue bool
}

// pendingAsk is an ask that awaits its final decision.
type pendingAsk struct {
	pool string
	ask  slotshare.Ask
	// decided receives the first and the final decision. It has room for both.
	decided chan slotshare.Decision
}

// runLink opens a stream to the coordinator and serves it until it fails or ctx ends.
func (n *Node) runLink(ctx context.Context, address string) error {
	client := rpc.NewClient(address, rpc.PurposeSlots)
	defer client.Close()
	return client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		stream, err := slotpb.NewDRPCSlotsClient(conn).Share(ctx)
		if err != nil {
			return errors.Wrap(err, "open a stream to the coordinator of slots")
		}
		l := n.openLink(cancel)
		defer n.closeLink(l)
		go func() { cancel(l.receive(stream)) }()
		go l.watch(ctx)
		err = l.send(ctx, stream)
		cancel(err)
		// An error ends the connection, whose stream is not used again.
		return errors.WithStack(context.Cause(ctx))
	})
}

// openLink makes a new stream the current one. Its first message states the slots that this router
// holds.
func (n *Node) openLink(cancel context.CancelCauseFunc) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	l := &link{
		node: n, wake: make(chan struct{}, 1), cancel: cancel, pending: make(map[uint64]*pendingAsk), lastPong: now,
		monitor: slotshare.Monitor{PongLimit: n.answerLimit},
		request: &slotpb.ShareRequest{Instance: n.instance, Domain: n.domain},
	}
	for id, h := range n.held {
		l.request.Takes = append(l.request.Takes, h.message(id, now))
	}
	n.link = l
	notify(l.wake)
	return l
}

func (h held) message(id uint64, now time.Time) *slotpb.Take {
	return &slotpb.Take{Id: id, Pool: h.pool, Customer: h.ask.Customer, DeadlineUs: h.ask.Deadline.Sub(now).Microseconds(), Server: h.server}
}

// closeLink ends the use of a stream; requests that wait decide alone.
func (n *Node) closeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.link == l {
		n.link = nil
	}
	l.passAll()
}

// passAll lets the requests that wait decide alone; the node's mu is held.
func (l *link) passAll() {
	for id, p := range l.pending {
		delete(l.pending, id)
		p.decided <- slotshare.Decision{ID: id, Verdict: slotshare.VerdictPassed}
	}
}

// push queues what add adds to the next message; the node's mu is held.
func (l *link) push(add func(*slotpb.ShareRequest)) {
	if len(l.request.Asks)+len(l.request.Takes)+len(l.request.Releases) >= maxUnsentMessages {
		l.cancel(errUnsent)
		return
	}
	add(l.request)
	notify(l.wake)
}

// send sends the queued messages in batches until ctx ends.
func (l *link) send(ctx context.Context, stream slotpb.DRPCSlots_ShareClient) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.wake:
		}
		l.node.mu.Lock()
		request := l.request
		l.request = &slotpb.ShareRequest{}
		l.node.mu.Unlock()
		if err := stream.Send(request); err != nil {
			return err
		}
	}
}

// receive applies the coordinator's messages until the stream fails.
func (l *link) receive(stream slotpb.DRPCSlots_ShareClient) error {
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		l.node.mu.Lock()
		now := time.Now()
		for _, d := range response.GetDecisions() {
			l.handle(d)
		}
		if pong := response.GetPong(); pong > 0 {
			l.lastPong, l.overdue = now, false
			if l.monitor.Pong(pong, now) {
				l.node.log.Info().Msg("coordinator of slots is used")
			}
		}
		l.node.mu.Unlock()
	}
}

// handle applies a decision; the node's mu is held. A decision on a request that no longer waits
// needs no answer: the release of the request follows its ask on the stream.
func (l *link) handle(message *slotpb.Decision) {
	p := l.pending[message.GetId()]
	if p == nil {
		l.node.metrics.lateDecisions.Inc()
		return
	}
	d := slotshare.Decision{
		ID: message.GetId(), Verdict: slotshare.Verdict(message.GetVerdict()), Server: message.GetServer(),
		RetryAfter: time.Duration(message.GetRetryAfterMs()) * time.Millisecond,
	}
	if d.Verdict != slotshare.VerdictQueued {
		delete(l.pending, d.ID)
	}
	if d.Verdict == slotshare.VerdictGranted {
		l.node.held[d.ID] = held{pool: p.pool, server: d.Server, ask: p.ask}
	}
	if len(p.decided) == cap(p.decided)-1 && d.Verdict == slotshare.VerdictQueued {
		// The last place is for the final decision, so that sending it does not block.
		return
	}
	p.decided <- d
}

// watch pings the coordinator: to find out whether it can be used, and whether it still runs while
// requests wait for it.
func (l *link) watch(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(l.check(time.Now()))
	}
}

// check sends a ping if one is due, and stops using a coordinator that does not answer. It returns
// the time until the next check.
func (l *link) check(now time.Time) time.Duration {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	number := l.monitor.Ping(now)
	if len(l.pending) > 0 {
		number = max(number, l.monitor.KeepAlive(now))
	}
	if number > 0 {
		l.push(func(r *slotpb.ShareRequest) { r.Ping = number })
	}
	switch overdue := l.monitor.IsOverdue(now); {
	case overdue && l.overdue:
		l.lost(now)
	case overdue:
		l.overdue = true
	}
	switch {
	case l.monitor.IsUsable(), l.monitor.IsPaused(now):
		// No pings are sent while no request waits, and during a pause.
		l.lastPong = now
	case now.Sub(l.lastPong) > silenceTimeout:
		l.cancel(errNoPong)
	}
	if len(l.pending) > 0 || l.overdue {
		return watchInterval
	}
	return idleInterval
}

// lost stops the use of a coordinator that did not answer in time; the node's mu is held.
func (l *link) lost(now time.Time) {
	if !l.monitor.IsUsable() {
		return
	}
	l.monitor.Lost(now)
	l.overdue = false
	l.node.metrics.coordinatorsLost.Inc()
	l.node.log.Info().Int("waiting", len(l.pending)).Msg("coordinator of slots did not answer in time; the router decides alone")
	for id, p := range l.pending {
		l.release(id, p.pool, slotshare.OutcomeUnknown)
	}
	l.passAll()
}

// release queues the release of a request; the node's mu is held.
func (l *link) release(id uint64, pool string, outcome slotshare.Outcome) {
	l.push(func(r *slotpb.ShareRequest) {
		r.Releases = append(r.Releases, &slotpb.Release{Id: id, Pool: pool, Outcome: uint32(outcome)})
	})
}
