// Package reservationrpc reserves places on backend servers among the routers of a
// failure domain: it carries the rules of reservation over drpc streams, one to
// each other router.
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
	// reviewEvery is the time between two looks at which routers are live.
	reviewEvery = 100 * time.Millisecond
	// settleTime is how long the live routers must be the same before this one
	// grants places: by then the others have told it what they hold.
	settleTime = time.Second
	// askTimeout bounds the wait for an answer.
	askTimeout = 100 * time.Millisecond
	// forgetEvery is the time after which servers that left are forgotten.
	forgetEvery = time.Minute
)

// ErrNoAnswer says that the owner of a server has not answered in time.
var ErrNoAnswer = errors.New("places: the server's owner has not answered")

// Members tells the routers of the failure domain.
type Members interface {
	// LiveRouters returns the instances of the live routers, this one included.
	LiveRouters() []string
}

// Granter decides for this router as an owner. It is called without locks held.
type Granter interface {
	// HandleReservation records what a router holds on a server and grants of what it asks
	// for. It grants nothing and returns false where it does not own the server.
	HandleReservation(from string, message reservation.Message) (granted, others int, owned bool)
	// RouterLost drops all that a router held.
	RouterLost(from string)
}

// Answer is an owner's answer to a question for one place.
type Answer struct {
	Granted bool
	// PeerInFlight counts the requests of the other routers on the server.
	PeerInFlight int
	none         bool
}

// Service reserves places for a router, and grants them as an owner. It is safe
// for concurrent use.
type Service struct {
	log     zerolog.Logger
	self    string
	members Members
	granter Granter
	links   map[string]*link

	mu   sync.Mutex
	book *reservation.Tracker
	live []string
	// owners are those found among the live routers, by key.
	owners   map[string]string
	settled  time.Time
	incoming map[string]*incoming
	tokens   reservation.Token
	waiters  map[reservation.Token]chan Answer
	used     map[string]struct{}
}

// New returns the service of a router. Granter decides on the places that others ask for.
func New(s *settings.Settings, log zerolog.Logger, members Members, granter Granter) *Service {
	service := &Service{
		log: log, self: s.Instance, members: members, granter: granter,
		links: make(map[string]*link), book: reservation.NewTracker(s.Instance),
		incoming: make(map[string]*incoming), waiters: make(map[reservation.Token]chan Answer),
		used: make(map[string]struct{}), owners: make(map[string]string),
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

// Owners returns who grants places on each of a pool's servers, and remembers it
// for the calls below.
func (s *Service) Owners(pool string, servers []string) []balance.Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]balance.Ownership, len(servers))
	ready := s.ready()
	for i, server := range servers {
		owner := s.owner(reservation.OwnerKey(pool, server, len(servers)))
		s.used[server] = struct{}{}
		s.send(s.book.Assign(server, owner))
		out[i] = s.ownership(owner, ready)
	}
	return out
}

// owner finds an owner, or remembers it.
func (s *Service) owner(key string) string {
	owner, known := s.owners[key]
	if !known {
		owner = reservation.Owner(key, s.live)
		s.owners[key] = owner
	}
	return owner
}

func (s *Service) ownership(owner string, ready bool) balance.Ownership {
	if owner == s.self && ready {
		return balance.OwnerSelf
	}
	if link := s.links[owner]; link != nil && link.up {
		return balance.OwnerPeer
	}
	return balance.OwnerNone
}

// ready reports whether this router knows what each live router holds.
func (s *Service) ready() bool {
	if len(s.live) == 0 || time.Since(s.settled) < settleTime {
		return false
	}
	for _, router := range s.live {
		if router != s.self && s.incoming[router] == nil {
			return false
		}
	}
	return true
}

// Reserve asks the owner of a server for one place. It fails where there is no
// answer in time.
func (s *Service) Reserve(ctx context.Context, server string, firm bool) (Answer, error) {
	s.mu.Lock()
	link := s.links[s.book.Owner(server)]
	if link == nil || !link.up {
		s.mu.Unlock()
		return Answer{}, ErrNoAnswer
	}
	s.tokens++
	token := s.tokens
	answered := make(chan Answer, 1)
	s.waiters[token] = answered
	s.send(s.book.Request(server, token, firm))
	s.mu.Unlock()
	return s.wait(ctx, token, answered)
}

func (s *Service) wait(ctx context.Context, token reservation.Token, answered chan Answer) (Answer, error) {
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case answer := <-answered:
		return checked(answer)
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case answer := <-answered:
		return checked(answer)
	default:
	}
	// A place that is granted later is given back.
	delete(s.waiters, token)
	return Answer{}, ErrNoAnswer
}

func checked(answer Answer) (Answer, error) {
	if answer.none {
		return Answer{}, ErrNoAnswer
	}
	return answer, nil
}

// AddUngranted counts a place that no owner has granted.
func (s *Service) AddUngranted(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(s.book.AddUngranted(server))
}

// Release gives a place back.
func (s *Service) Release(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(s.book.Release(server))
}

func (s *Service) send(messages []reservation.Outgoing) {
	for _, message := range messages {
		if link := s.links[message.Owner]; link != nil {
			link.push(message.Message)
		}
	}
}

// answered hands an owner's answer to the requests that asked.
func (s *Service) answered(owner, server string, granted, others int, unowned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	got, refused, messages := s.book.HandleAnswer(owner, server, granted)
	s.send(messages)
	for _, token := range got {
		if !s.deliver(token, Answer{Granted: true, PeerInFlight: others}) {
			s.send(s.book.Release(server))
		}
	}
	for _, token := range refused {
		s.deliver(token, Answer{PeerInFlight: others, none: unowned})
	}
}

// lost ends the open questions to an owner whose stream has ended.
func (s *Service) lost(owner string) {
	for _, token := range s.book.OwnerLost(owner) {
		s.deliver(token, Answer{none: true})
	}
}

func (s *Service) deliver(token reservation.Token, answer Answer) bool {
	waiter := s.waiters[token]
	delete(s.waiters, token)
	if waiter == nil {
		return false
	}
	waiter <- answer
	return true
}

// Run keeps the streams to the other routers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var group run.Group
	actor.Add(&group, func(own context.Context) error {
		select {
		case <-ctx.Done():
		case <-own.Done():
		}
		return nil
	})
	actor.Add(&group, s.review)
	for _, link := range s.links {
		actor.Add(&group, link.run)
	}
	return group.Run()
}

// review follows the live routers.
func (s *Service) review(ctx context.Context) error {
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	forgotten := time.Now()
	for {
		s.follow(s.members.LiveRouters())
		if time.Since(forgotten) >= forgetEvery {
			s.forget()
			forgotten = time.Now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Service) follow(live []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(live, s.live) {
		s.live = live
		s.settled = time.Now()
		clear(s.owners)
	}
	for router, stream := range s.incoming {
		if !slices.Contains(live, router) {
			stream.end()
		}
	}
}

// forget drops the servers that no pool has listed for a while.
func (s *Service) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.used
	s.used = make(map[string]struct{})
	clear(s.owners)
	s.book.Forget(func(server string) bool {
		_, ok := used[server]
		return ok
	})
}
