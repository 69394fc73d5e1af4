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
	// redialEvery is the time between two tries to open a stream.
	redialEvery = 250 * time.Millisecond
	// silentLimit is the time without an answer to an open question after which
	// a stream is replaced.
	silentLimit = time.Second
)

// link is the stream to another router. The service's mutex guards its fields
// from up on.
type link struct {
	service  *Service
	instance string
	client   *rpc.Client
	wake     chan struct{}
	// deciding is held while the peer's messages are decided on, so that those of
	// a replaced stream count no more.
	deciding sync.Mutex

	up      bool
	pending []reservation.Message
	// asked is when the oldest open question was sent, or zero.
	asked time.Time
	open  int
}

func newLink(service *Service, peer settings.Peer) *link {
	return &link{
		service: service, instance: peer.Instance,
		client: rpc.NewClient(peer.Address, rpc.PurposeReserve), wake: make(chan struct{}, 1),
	}
}

// push queues a message; it is dropped while there is no stream, because a new
// one starts with all that is held.
func (l *link) push(message reservation.Message) {
	if !l.up {
		return
	}
	l.pending = append(l.pending, message)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run opens the stream anew whenever it has ended.
func (l *link) run(ctx context.Context) error {
	defer l.client.Close()
	for {
		err := l.client.Do(ctx, l.hold)
		if ctx.Err() != nil {
			return nil
		}
		l.service.log.Debug().Err(err).Str("peer", l.instance).Msg("stream for places ended")
		if !actor.Sleep(ctx, redialEvery) {
			return nil
		}
	}
}

// hold keeps one stream until it fails.
func (l *link) hold(ctx context.Context, conn drpc.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := reservepb.NewDRPCReserveClient(conn).Hold(ctx)
	if err != nil {
		return err
	}
	l.start()
	defer l.stop()
	numbers := newNumbers()
	received := make(chan error, 1)
	go func() { received <- l.receive(stream, numbers) }()
	err = l.sendAll(ctx, stream, numbers, received)
	cancel()
	_ = conn.Close()
	return err
}

// start queues all that is held on the peer's servers.
func (l *link) start() {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.up = true
	l.open, l.asked = 0, time.Time{}
	l.pending = s.book.Held(l.instance)
}

func (l *link) stop() {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.up = false
	l.pending = nil
	s.lost(l.instance)
}

// sendAll sends what is queued, in batches, until the stream fails.
func (l *link) sendAll(ctx context.Context, stream reservepb.DRPCReserve_HoldClient, numbers *numbers, received chan error) error {
	hello := &reservepb.HoldRequest{Instance: l.service.self}
	if err := stream.Send(hello); err != nil {
		return err
	}
	ticker := time.NewTicker(silentLimit / 4)
	defer ticker.Stop()
	for {
		if places := l.batch(numbers); len(places) > 0 {
			if err := stream.Send(&reservepb.HoldRequest{Places: places}); err != nil {
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
			if l.isSilent() {
				return ErrNoAnswer
			}
		}
	}
}

// batch takes the queued messages.
func (l *link) batch(numbers *numbers) []*reservepb.Place {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*reservepb.Place
	for _, message := range l.pending {
		out = append(out, numbers.place(message))
		l.noteAsked(message.Requested)
	}
	l.pending = nil
	return out
}

func (l *link) noteAsked(want int) {
	if want == 0 {
		return
	}
	if l.open == 0 {
		l.asked = time.Now()
	}
	l.open++
}

func (l *link) isSilent() bool {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.open > 0 && time.Since(l.asked) > silentLimit
}

func (l *link) receive(stream reservepb.DRPCReserve_HoldClient, numbers *numbers) error {
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		l.noteAnswers(len(response.GetAnswers()))
		for _, answer := range response.GetAnswers() {
			if server, ok := numbers.server(answer.GetNumber()); ok {
				l.service.answered(l.instance, server, int(answer.GetGranted()), int(answer.GetOthers()), answer.GetUnowned())
			}
		}
	}
}

func (l *link) noteAnswers(count int) {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.open = max(l.open-count, 0)
	l.asked = time.Now()
}
