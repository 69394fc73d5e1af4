// Package reservationrpc reserves slots of backend servers among the routers of a
// failure domain: it carries the messages of package reservation over drpc streams,
// one to each other router.
package reservationrpc

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/rpc/reservepb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Times of the service.
const (
	// reviewInterval is the time between two checks of the set of live routers.
	reviewInterval = 100 * time.Millisecond
	// settleDelay is how long the set of live routers must be unchanged before this
	// router grants reservations: by then the others have reported what they hold.
	settleDelay = time.Second
	// reserveTimeout is how long Reserve waits for an answer.
	reserveTimeout = 100 * time.Millisecond
	// forgetInterval is the time between two removals of servers that no pool lists.
	forgetInterval = time.Minute
)

// ErrNoAnswer means that the owner of a server did not answer in time, cannot be
// reached or does not own the server.
var ErrNoAnswer = errors.New("reservationrpc: no answer from the server's owner")

// Members lists the routers of the failure domain.
type Members interface {
	// LiveRouters returns the instances of the live routers, including this one.
	LiveRouters() []string
}

// Granter grants reservations on the servers that this router owns. Service calls it
// without holding its own mutex.
type Granter interface {
	// HandleReservation records how many reservations a router holds on a server and
	// grants up to the requested number of further ones. It returns owned as false,
	// and grants nothing, if this router does not own the server. peerInFlight is the
	// number of requests of all other routers on the server.
	HandleReservation(router string, message reservation.Message) (granted, peerInFlight int, owned bool)
	// RouterLost drops all reservations of a router.
	RouterLost(router string)
}

// Answer is an owner's answer to a request for one reservation.
type Answer struct {
	Granted bool
	// PeerInFlight is the number of requests of the other routers on the server.
	PeerInFlight int
	// unavailable is set if the owner cannot be reached or does not own the server.
	unavailable bool
}

// Service reserves slots for a router, and grants reservations on the servers that
// the router owns. It is safe for concurrent use.
type Service struct {
	log     zerolog.Logger
	self    string
	members Members
	granter Granter
	links   map[string]*link

	mu          sync.Mutex
	tracker     *reservation.Tracker
	liveRouters []string
	// ownerByKey caches the owners among the live routers by reservation.OwnerKey.
	ownerByKey    map[string]string
	liveChangedAt time.Time
	// inbound has the current inbound stream of each router.
	inbound map[string]*inboundStream
	// lastToken is the token of the latest request.
	lastToken reservation.Token
	waiters   map[reservation.Token]chan Answer
	// listed has the servers passed to Owners since the last forgetUnlisted.
	listed map[string]struct{}
}

// New returns the service of a router. The granter handles the messages of the other
// routers of the failure domain.
func New(s *settings.Settings, log zerolog.Logger, members Members, granter Granter) *Service {
	service := &Service{
		log: log, self: s.Instance, members: members, granter: granter,
		links: make(map[string]*link), tracker: reservation.NewTracker(s.Instance),
		inbound: make(map[string]*inboundStream), waiters: make(map[reservation.Token]chan Answer),
		listed: make(map[string]struct{}), ownerByKey: make(map[string]string),
	}
	for _, peer := range s.PeersWithRole(settings.RoleRouter) {
		if peer.Instance != s.Instance && peer.FailureDomain == s.FailureDomain {
			service.links[peer.Instance] = newLink(service, peer)
		}
	}
	return service
}

// Register adds the service's RPCs to a server.
func (s *Service) Register(mux drpc.Mux) error { return reservepb.DRPCRegisterReserve(mux, s) }

// Owners returns for each server of a pool whether this router, a peer or no reachable
// router grants its reservations. It assigns the owners that Reserve, AddUngranted and
// Release use.
func (s *Service) Owners(pool string, servers []string) []balance.Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]balance.Ownership, len(servers))
	ready := s.ready()
	for i, server := range servers {
		owner := s.ownerOf(reservation.OwnerKey(pool, server, len(servers)))
		s.listed[server] = struct{}{}
		s.send(s.tracker.Assign(server, owner))
		out[i] = s.ownership(owner, ready)
	}
	return out
}

// ownerOf returns the owner of a key, from the cache if it is there.
func (s *Service) ownerOf(key string) string {
	owner, cached := s.ownerByKey[key]
	if !cached {
		owner = reservation.Owner(key, s.liveRouters)
		s.ownerByKey[key] = owner
	}
	return owner
}

func (s *Service) ownership(owner string, ready bool) balance.Ownership {
	if owner == s.self && ready {
		return balance.OwnerSelf
	}
	if link := s.links[owner]; link != nil && link.connected {
		return balance.OwnerPeer
	}
	return balance.OwnerNone
}

// ready reports whether each live router has had time to report its reservations to
// this one: the set of live routers is stable and all of them have a stream.
func (s *Service) ready() bool {
	if len(s.liveRouters) == 0 || time.Since(s.liveChangedAt) < settleDelay {
		return false
	}
	for _, router := range s.liveRouters {
		if router != s.self && s.inbound[router] == nil {
			return false
		}
	}
	return true
}

// Reserve requests one reservation from the owner of a server. With ignoreLoadBound the
// owner refuses it only if no slot is free, whatever the load bound. Reserve returns
// ErrNoAnswer if no answer is received within 100 ms or before ctx ends, if the
// owner cannot be reached, or if it does not own the server.
func (s *Service) Reserve(ctx context.Context, server string, ignoreLoadBound bool) (Answer, error) {
	s.mu.Lock()
	link := s.links[s.tracker.Owner(server)]
	if link == nil || !link.connected {
		s.mu.Unlock()
		return Answer{}, ErrNoAnswer
	}
	s.lastToken++
	token := s.lastToken
	answerCh := make(chan Answer, 1)
	s.waiters[token] = answerCh
	s.send(s.tracker.Request(server, token, ignoreLoadBound))
	s.mu.Unlock()
	return s.awaitAnswer(ctx, token, answerCh)
}

func (s *Service) awaitAnswer(ctx context.Context, token reservation.Token, answerCh chan Answer) (Answer, error) {
	timer := time.NewTimer(reserveTimeout)
	defer timer.Stop()
	select {
	case answer := <-answerCh:
		return answerOrError(answer)
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case answer := <-answerCh:
		return answerOrError(answer)
	default:
	}
	// handleAnswer releases a reservation that is granted after the timeout.
	delete(s.waiters, token)
	return Answer{}, ErrNoAnswer
}

// answerOrError returns ErrNoAnswer in place of an unavailable answer.
func answerOrError(answer Answer) (Answer, error) {
	if answer.unavailable {
		return Answer{}, ErrNoAnswer
	}
	return answer, nil
}

// AddUngranted adds a reservation that no owner has granted.
func (s *Service) AddUngranted(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(s.tracker.AddUngranted(server))
}

// Release releases one reservation on a server.
func (s *Service) Release(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(s.tracker.Release(server))
}

func (s *Service) send(messages []reservation.Outgoing) {
	for _, message := range messages {
		if link := s.links[message.Owner]; link != nil {
			link.push(message.Message)
		}
	}
}

// handleAnswer delivers an owner's answer, which grants count reservations, to the
// waiting requests. It releases the reservations of requests that no longer wait.
func (s *Service) handleAnswer(owner, server string, count, peerInFlight int, unowned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted, refused, messages := s.tracker.HandleAnswer(owner, server, count)
	s.send(messages)
	for _, token := range granted {
		if !s.deliver(token, Answer{Granted: true, PeerInFlight: peerInFlight}) {
			s.send(s.tracker.Release(server))
		}
	}
	for _, token := range refused {
		s.deliver(token, Answer{PeerInFlight: peerInFlight, unavailable: unowned})
	}
}

// cancelRequests fails all pending requests to an owner whose stream has ended.
func (s *Service) cancelRequests(owner string) {
	for _, token := range s.tracker.OwnerLost(owner) {
		s.deliver(token, Answer{unavailable: true})
	}
}

// deliver passes an answer to the request with a token, and reports whether the request
// was still waiting.
func (s *Service) deliver(token reservation.Token, answer Answer) bool {
	waiter := s.waiters[token]
	delete(s.waiters, token)
	if waiter == nil {
		return false
	}
	waiter <- answer
	return true
}

// Run keeps the streams to the other routers open until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var group run.Group
	actor.AddContext(ctx, &group)
	actor.Add(&group, s.review)
	for _, link := range s.links {
		actor.Add(&group, link.run)
	}
	return group.Run()
}

// review updates the set of live routers periodically until ctx ends.
func (s *Service) review(ctx context.Context) error {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	lastForget := time.Now()
	for {
		s.updateLiveRouters(s.members.LiveRouters())
		if time.Since(lastForget) >= forgetInterval {
			s.forgetUnlisted()
			lastForget = time.Now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// updateLiveRouters applies a changed set of live routers, and closes the inbound
// streams of routers outside it.
func (s *Service) updateLiveRouters(liveRouters []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(liveRouters, s.liveRouters) {
		s.liveRouters = liveRouters
		s.liveChangedAt = time.Now()
		clear(s.ownerByKey)
	}
	for router, stream := range s.inbound {
		if !slices.Contains(liveRouters, router) {
			stream.cancel()
		}
	}
}

// forgetUnlisted drops the servers that no pool has listed since the previous call.
func (s *Service) forgetUnlisted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := s.listed
	s.listed = make(map[string]struct{})
	clear(s.ownerByKey)
	s.tracker.Forget(func(server string) bool {
		_, ok := listed[server]
		return ok
	})
}
