package reservationrpc

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/reservepb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// redialInterval is the time between two attempts to open a stream.
	redialInterval = 250 * time.Millisecond
	// answerTimeout is the time without an answer, while a message awaits one, after
	// which a stream is replaced.
	answerTimeout = time.Second
)

// link keeps the outbound stream to another router. The service's mutex guards the
// fields from connected on.
type link struct {
	service  *Service
	instance string
	client   *rpc.Client
	wake     chan struct{}
	// inboundMu is held while the peer's inbound messages are handled and while its
	// inbound stream is replaced, so that messages of a replaced stream have no effect.
	inboundMu sync.Mutex

	connected bool
	queued    []reservation.Message
	// waitingSince is the time from which answerTimeout counts: when a message was
	// sent while none was unanswered, or when the last answer was received.
	waitingSince time.Time
	// unanswered is the number of messages that await an answer.
	unanswered int
}

func newLink(service *Service, peer settings.Peer) *link {
	return &link{
		service: service, instance: peer.Instance,
		client: rpc.NewClient(peer.Address, rpc.PurposeReserve), wake: make(chan struct{}, 1),
	}
}

// push queues a message. Without a stream it drops the message, because a new stream
// starts with all held reservations.
func (l *link) push(message reservation.Message) {
	if !l.connected {
		return
	}
	l.queued = append(l.queued, message)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run opens the stream, and reopens it whenever it has ended, until ctx ends.
func (l *link) run(ctx context.Context) error {
	defer l.client.Close()
	for {
		err := l.client.Do(ctx, l.holdStream)
		if ctx.Err() != nil {
			return nil
		}
		l.service.log.Debug().Err(err).Str("peer", l.instance).Msg("reservation stream ended; reconnecting")
		if !actor.Sleep(ctx, redialInterval) {
			return nil
		}
	}
}

// holdStream opens a stream and serves it until it fails.
func (l *link) holdStream(ctx context.Context, conn drpc.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := reservepb.NewDRPCReserveClient(conn).Hold(ctx)
	if err != nil {
		return err
	}
	l.markConnected()
	defer l.markDisconnected()
	numbers := newServerNumbers()
	received := make(chan error, 1)
	go func() { received <- l.receive(stream, numbers) }()
	err = l.sendQueued(ctx, stream, numbers, received)
	cancel()
	_ = conn.Close()
	return err
}

// markConnected marks the link as connected and queues the reservations held on the
// peer's servers.
func (l *link) markConnected() {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.connected = true
	l.unanswered, l.waitingSince = 0, time.Time{}
	l.queued = s.tracker.Held(l.instance)
}

// markDisconnected drops the queued messages and fails the pending requests.
func (l *link) markDisconnected() {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.connected = false
	l.queued = nil
	s.cancelRequests(l.instance)
}

// sendQueued sends the queued messages in batches, until the stream fails or an
// answer is overdue.
func (l *link) sendQueued(ctx context.Context, stream reservepb.DRPCReserve_HoldClient, numbers *serverNumbers, received chan error) error {
	first := &reservepb.HoldRequest{Instance: l.service.self}
	if err := stream.Send(first); err != nil {
		return err
	}
	ticker := time.NewTicker(answerTimeout / 4)
	defer ticker.Stop()
	for {
		if entries := l.takeBatch(numbers); len(entries) > 0 {
			if err := stream.Send(&reservepb.HoldRequest{Places: entries}); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-received:
			return err
		case <-l.wake:
		case <-ticker.C:
			if l.isAnswerOverdue() {
				return ErrNoAnswer
			}
		}
	}
}

// takeBatch removes the queued messages and returns them encoded.
func (l *link) takeBatch(numbers *serverNumbers) []*reservepb.Place {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*reservepb.Place
	for _, message := range l.queued {
		out = append(out, numbers.encode(message))
		l.recordRequest(message.Requested)
	}
	l.queued = nil
	return out
}

// recordRequest counts a sent message if it requests reservations.
func (l *link) recordRequest(requested int) {
	if requested == 0 {
		return
	}
	if l.unanswered == 0 {
		l.waitingSince = time.Now()
	}
	l.unanswered++
}

func (l *link) isAnswerOverdue() bool {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.unanswered > 0 && time.Since(l.waitingSince) > answerTimeout
}

func (l *link) receive(stream reservepb.DRPCReserve_HoldClient, numbers *serverNumbers) error {
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		l.recordAnswers(len(response.GetAnswers()))
		for _, answer := range response.GetAnswers() {
			if server, ok := numbers.server(answer.GetNumber()); ok {
				l.service.handleAnswer(l.instance, server, int(answer.GetGranted()), int(answer.GetOthers()), answer.GetUnowned())
			}
		}
	}
}

// recordAnswers counts received answers.
func (l *link) recordAnswers(count int) {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.unanswered = max(l.unanswered-count, 0)
	l.waitingSince = time.Now()
}
