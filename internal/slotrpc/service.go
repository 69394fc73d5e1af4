package slotrpc

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/rpc/slotpb"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

const (
	// dispatchInterval is how often waiting requests are decided on without a message: deadlines
	// end, and servers that failed are used again.
	dispatchInterval = 10 * time.Millisecond
	// maxUnsent bounds the decisions that a router has not received. A stream whose router does
	// not read them is closed.
	maxUnsent = 4096
	// maxUnusable and maxTimeLeft bound the values of an ask.
	maxUnusable = 64
	maxTimeLeft = time.Hour
)

var errSlowReader = errors.New("slotrpc: the router does not read its decisions")

// service grants slots to routers.
type service struct {
	log zerolog.Logger
	// wake receives a value when a request waits.
	wake chan struct{}

	mu      sync.Mutex
	pools   map[string]*slotshare.Coordinator
	streams map[string]*inbound
}

// inbound is the stream of a router. Its response has the decisions that were not sent yet and is
// guarded by the service's mu.
type inbound struct {
	router   string
	domain   string
	response *slotpb.ShareResponse
	wake     chan struct{}
	cancel   context.CancelCauseFunc
}

func newService(log zerolog.Logger) *service {
	return &service{
		log: log, wake: make(chan struct{}, 1),
		pools: make(map[string]*slotshare.Coordinator), streams: make(map[string]*inbound),
	}
}

func (s *service) setServers(pools map[string][]slotshare.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, servers := range pools {
		if s.pools[name] == nil {
			s.pools[name] = slotshare.New()
		}
		s.pools[name].SetServers(servers)
	}
	for name, coordinator := range s.pools {
		if pools[name] == nil {
			coordinator.SetServers(nil)
		}
		s.push(coordinator.Dispatch(now))
	}
}

// Share implements slotpb.DRPCSlotsServer.
func (s *service) Share(stream slotpb.DRPCSlots_ShareStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetInstance() == "" {
		return errors.New("slotrpc: the first message has no instance")
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	in := s.open(first.GetInstance(), first.GetDomain(), cancel)
	defer s.close(in)
	// Closing the stream ends a Recv that waits.
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	go func() { cancel(s.send(ctx, stream, in)) }()
	for request := first; ; {
		if err := s.handle(in, request); err != nil {
			return err
		}
		if request, err = stream.Recv(); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return err
		}
	}
}

// open makes a stream the current one of its router, which states its slots anew.
func (s *service) open(router, domain string, cancel context.CancelCauseFunc) *inbound {
	in := &inbound{router: router, domain: domain, response: &slotpb.ShareResponse{}, wake: make(chan struct{}, 1), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous := s.streams[router]; previous != nil {
		previous.cancel(errors.New("slotrpc: a newer stream has replaced this one"))
	}
	s.streams[router] = in
	for _, coordinator := range s.pools {
		coordinator.RouterReturned(router)
	}
	return in
}

// close records that a stream has ended, unless a newer one has replaced it.
func (s *service) close(in *inbound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[in.router] != in {
		return
	}
	delete(s.streams, in.router)
	now := time.Now()
	for _, coordinator := range s.pools {
		coordinator.RouterLost(in.router, now)
		s.push(coordinator.Dispatch(now))
	}
}

// handle applies the messages of a batch.
func (s *service) handle(in *inbound, request *slotpb.ShareRequest) error {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[in.router] != in {
		return errors.New("slotrpc: a newer stream has replaced this one")
	}
	changed := make(map[*slotshare.Coordinator]bool)
	for _, take := range request.GetTakes() {
		if c := s.pools[take.GetPool()]; c != nil {
			ask := slotshare.Ask{ID: take.GetId(), Customer: take.GetCustomer(), Deadline: now.Add(timeLeft(take.GetDeadlineUs()))}
			c.Take(in.router, ask, take.GetServer(), now)
		}
	}
	for _, message := range request.GetAsks() {
		c := s.pools[message.GetPool()]
		if c == nil {
			s.pushTo(in, slotshare.Decision{ID: message.GetId(), Verdict: slotshare.VerdictPassed})
			continue
		}
		s.pushTo(in, c.Ask(in.router, in.ask(message, now), now))
		changed[c] = true
	}
	for _, release := range request.GetReleases() {
		if c := s.pools[release.GetPool()]; c != nil {
			c.Release(in.router, release.GetId(), slotshare.Outcome(min(release.GetOutcome(), math.MaxUint8)), now)
			changed[c] = true
		}
	}
	if request.GetPing() > 0 {
		in.response.Pong = request.GetPing()
		notify(in.wake)
	}
	for c := range changed {
		s.push(c.Dispatch(now))
		if c.Waiting() > 0 {
			notify(s.wake)
		}
	}
	return nil
}

func (in *inbound) ask(message *slotpb.Ask, now time.Time) slotshare.Ask {
	return slotshare.Ask{
		ID: message.GetId(), Customer: message.GetCustomer(), Priority: int(message.GetPriority()), Domain: in.domain,
		OnTime: now.Add(timeLeft(message.GetOnTimeUs())), Deadline: now.Add(timeLeft(message.GetDeadlineUs())),
		Unusable: message.GetUnusable()[:min(len(message.GetUnusable()), maxUnusable)],
	}
}

// timeLeft returns a time from the network.
func timeLeft(us int64) time.Duration {
	return time.Duration(min(max(us, -maxTimeLeft.Microseconds()), maxTimeLeft.Microseconds())) * time.Microsecond
}

// push adds decisions to the responses of their routers; the caller holds mu.
func (s *service) push(decisions []slotshare.Decision) {
	for _, d := range decisions {
		if in := s.streams[d.Router]; in != nil {
			s.pushTo(in, d)
		}
	}
}

// pushTo adds a decision to the response of a stream; the caller holds mu.
func (s *service) pushTo(in *inbound, d slotshare.Decision) {
	if len(in.response.Decisions) >= maxUnsent {
		in.cancel(errSlowReader)
		return
	}
	in.response.Decisions = append(in.response.Decisions, &slotpb.Decision{
		Id: d.ID, Verdict: uint32(d.Verdict), Server: d.Server, RetryAfterMs: uint32(min(max(d.RetryAfter, 0), maxTimeLeft).Milliseconds()),
	})
	notify(in.wake)
}

// notify signals a channel without blocking.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// send sends the decisions of a stream in batches until ctx ends.
func (s *service) send(ctx context.Context, stream slotpb.DRPCSlots_ShareStream, in *inbound) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.wake:
		}
		s.mu.Lock()
		response := in.response
		in.response = &slotpb.ShareResponse{}
		s.mu.Unlock()
		if len(response.GetDecisions()) == 0 && response.GetPong() == 0 {
			continue
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

// run decides on waiting requests periodically while there are some, until ctx ends.
func (s *service) run(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		ticker.Reset(dispatchInterval)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case now := <-ticker.C:
				waiting = s.dispatch(now)
			}
		}
		ticker.Stop()
	}
}

// dispatch decides on waiting requests, and reports whether some still wait.
func (s *service) dispatch(now time.Time) (waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, coordinator := range s.pools {
		s.push(coordinator.Dispatch(now))
		waiting = waiting || coordinator.Waiting() > 0
	}
	return waiting
}

// stats returns the numbers of streams, of waiting requests and of slots.
func (s *service) stats() (streams, waiting, taken, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, coordinator := range s.pools {
		t, n := coordinator.Held()
		waiting, taken, slots = waiting+coordinator.Waiting(), taken+t, slots+n
	}
	return len(s.streams), waiting, taken, slots
}
