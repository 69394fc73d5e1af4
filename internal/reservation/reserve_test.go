package reservation_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/reservation"
)

// Size of the simulated failure domain.
const (
	routers        = 3
	servers        = 2
	slotsPerServer = 4
)

// stream is an ordered stream from one router to one owner.
type stream struct {
	requests []reservation.Message
	answers  []ownerAnswer
}

type ownerAnswer struct {
	server  string
	granted int
}

// simulation is a failure domain in which the test delivers each message.
type simulation struct {
	t        *rapid.T
	names    []string
	trackers map[string]*reservation.Tracker
	counts   map[string]*reservation.PeerCounts
	streams  map[string]*stream
	// held is the number of requests of each router on each server.
	held   map[string]int
	tokens reservation.Token
	// mayUndercount is set after a stream or an owner was lost: an owner's counts may
	// be too low until all routers have reported their reservations again.
	mayUndercount bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, trackers: map[string]*reservation.Tracker{}, counts: map[string]*reservation.PeerCounts{},
		streams: map[string]*stream{}, held: map[string]int{},
	}
	for i := range routers {
		name := fmt.Sprintf("router-%d", i)
		s.names = append(s.names, name)
		s.trackers[name] = reservation.NewTracker(name)
		s.counts[name] = reservation.NewPeerCounts()
	}
	for _, name := range s.names {
		s.assign(name, s.names)
	}
	return s
}

func serverName(i int) string { return fmt.Sprintf("server-%d", i) }

func (s *simulation) assign(router string, live []string) {
	for i := range servers {
		s.send(router, s.trackers[router].Assign(serverName(i), reservation.Owner(serverName(i), live)))
	}
}

func (s *simulation) stream(from, to string) *stream {
	key := from + ">" + to
	if s.streams[key] == nil {
		s.streams[key] = &stream{}
	}
	return s.streams[key]
}

func (s *simulation) send(from string, messages []reservation.Outgoing) {
	for _, m := range messages {
		st := s.stream(from, m.Owner)
		st.requests = append(st.requests, m.Message)
	}
}

// load returns a server's load as its owner counts it.
func (s *simulation) load(owner, server string) int {
	return s.held[owner+"@"+server] + s.counts[owner].Sum(server)
}

// request requests a reservation, or adds one if the router owns the server and
// the server has a free slot.
func (s *simulation) request(router, server string, ignoreLoadBound bool) {
	owner := s.trackers[router].Owner(server)
	if owner == router {
		if s.load(router, server) < slotsPerServer {
			s.held[router+"@"+server]++
			s.send(router, s.trackers[router].AddUngranted(server))
		}
		return
	}
	s.tokens++
	s.send(router, s.trackers[router].Request(server, s.tokens, ignoreLoadBound))
}

func (s *simulation) release(router, server string) {
	if s.held[router+"@"+server] == 0 {
		return
	}
	s.held[router+"@"+server]--
	s.send(router, s.trackers[router].Release(server))
}

// deliver delivers the oldest message of a stream, or its oldest answer if no
// message is queued. It reports whether there was one.
func (s *simulation) deliver(from, to string) bool {
	st := s.stream(from, to)
	if len(st.requests) > 0 {
		message := st.requests[0]
		st.requests = st.requests[1:]
		s.handle(from, to, message)
		return true
	}
	return s.deliverAnswer(from, to)
}

func (s *simulation) handle(from, to string, message reservation.Message) {
	counts := s.counts[to]
	counts.Set(message.Server, from, message.Held)
	granted := 0
	for granted < message.Requested && s.load(to, message.Server) < slotsPerServer && s.trackers[to].Owner(message.Server) == to {
		granted++
		counts.Set(message.Server, from, message.Held+granted)
	}
	if message.Requested > 0 {
		st := s.stream(from, to)
		st.answers = append(st.answers, ownerAnswer{message.Server, granted})
	}
}

func (s *simulation) deliverAnswer(from, to string) bool {
	st := s.stream(from, to)
	if len(st.answers) == 0 {
		return false
	}
	answer := st.answers[0]
	st.answers = st.answers[1:]
	granted, _, messages := s.trackers[from].HandleAnswer(to, answer.server, answer.granted)
	s.held[from+"@"+answer.server] += len(granted)
	s.send(from, messages)
	return true
}

// replaceStream closes a stream, which drops all that is in transit, and opens a
// new one.
func (s *simulation) replaceStream(from, to string) {
	s.mayUndercount = true
	s.trackers[from].OwnerLost(to)
	s.counts[to].Forget(from)
	s.streams[from+">"+to] = &stream{requests: s.trackers[from].Held(to)}
}

// deliverAll delivers messages and answers until none are left.
func (s *simulation) deliverAll() {
	for progressed := true; progressed; {
		progressed = false
		for _, from := range s.names {
			for _, to := range s.names {
				for from != to && s.deliver(from, to) {
					progressed = true
				}
			}
		}
	}
}

func (s *simulation) total(server string) int {
	total := 0
	for _, router := range s.names {
		total += s.held[router+"@"+server]
	}
	return total
}

// checkCapacity checks that no server has more requests than slots.
func (s *simulation) checkCapacity() {
	if s.mayUndercount {
		return
	}
	for i := range servers {
		if total := s.total(serverName(i)); total > slotsPerServer {
			s.t.Fatalf("%s has %d requests in flight and only %d slots", serverName(i), total, slotsPerServer)
		}
	}
}

// checkCountsAgree checks, after all messages are delivered, that each owner counts
// exactly the reservations of each router on its servers, and that no other router
// counts any.
func (s *simulation) checkCountsAgree() {
	for _, owner := range s.names {
		for _, router := range s.names {
			for i := range servers {
				server := serverName(i)
				want := 0
				if router != owner && s.trackers[router].Owner(server) == owner {
					want = s.held[router+"@"+server]
				}
				if got := s.counts[owner].Get(server, router); got != want {
					s.t.Fatalf("%s counts %d reservations of %s on %s, want %d", owner, got, router, server, want)
				}
			}
		}
	}
}

func (s *simulation) step(withLoss bool) {
	router := rapid.SampledFrom(s.names).Draw(s.t, "router")
	other := rapid.SampledFrom(s.names).Draw(s.t, "other")
	server := serverName(rapid.IntRange(0, servers-1).Draw(s.t, "server"))
	last := 4
	if withLoss {
		last = 6
	}
	switch rapid.IntRange(0, last).Draw(s.t, "step") {
	case 0, 1:
		s.request(router, server, rapid.Bool().Draw(s.t, "ignoreLoadBound"))
	case 2:
		s.release(router, server)
	case 3, 4:
		if router != other {
			s.deliver(router, other)
		}
	case 5:
		if router != other {
			s.replaceStream(router, other)
		}
	case 6:
		s.mayUndercount = true
		live := []string{router}
		if other != router {
			live = append(live, other)
		}
		s.assign(rapid.SampledFrom(s.names).Draw(s.t, "reassigned router"), live)
	}
}

// TestOwnersGrantWithinCapacity guards against two routers filling the same slot:
// with messages delayed and reordered across streams, no server ever has more
// requests in flight than slots.
func TestOwnersGrantWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step(false)
			s.checkCapacity()
		}
		s.deliverAll()
		s.checkCapacity()
		s.checkCountsAgree()
	})
}

// TestPeerCountsConvergeAfterStreamLoss guards against counts that stay wrong after
// a fault: streams are lost with the messages in transit, and routers disagree on
// the owners. Once all routers agree, each owner has the exact counts again.
func TestPeerCountsConvergeAfterStreamLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step(true)
		}
		for _, router := range s.names {
			s.assign(router, s.names)
		}
		s.deliverAll()
		s.checkCountsAgree()
	})
}

// TestRepeatedMessageIsIdempotent checks that Set takes absolute counts.
func TestRepeatedMessageIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	counts := reservation.NewPeerCounts()
	for range 3 {
		counts.Set("s", "a", 2)
	}
	counts.Set("s", "b", 1)
	g.Expect(counts.Sum("s")).To(Equal(3))
	g.Expect(counts.Forget("a")).To(ConsistOf("s"))
	g.Expect(counts.Sum("s")).To(Equal(1))
}

// TestRequestsIgnoringBoundAreGrantedFirst checks that a partial grant goes to the
// requests that ignore the load bound before those that respect it.
func TestRequestsIgnoringBoundAreGrantedFirst(t *testing.T) {
	g := NewWithT(t)
	h := reservation.NewHolder()
	_, sent := h.Request("s", 1, false)
	g.Expect(sent).To(BeTrue())
	for token := reservation.Token(2); token <= 3; token++ {
		_, sent = h.Request("s", token, token == 3)
		g.Expect(sent).To(BeFalse(), "a message is still unanswered")
	}
	_, refused, message, more := h.HandleAnswer("s", 0)
	g.Expect(refused).To(ConsistOf(reservation.Token(1)))
	g.Expect(more).To(BeTrue())
	g.Expect(message).To(Equal(reservation.Message{Server: "s", Requested: 2, IgnoringLoadBound: 1}))
	granted, refused, _, _ := h.HandleAnswer("s", 1)
	g.Expect(granted).To(ConsistOf(reservation.Token(3)))
	g.Expect(refused).To(ConsistOf(reservation.Token(2)))
}

// TestOnlyLargePoolsHaveSeveralOwners checks that one router owns a small pool and
// that all routers share a large one about equally.
func TestOnlyLargePoolsHaveSeveralOwners(t *testing.T) {
	g := NewWithT(t)
	names := []string{"a", "b", "c"}
	owners := map[string]int{}
	for i := range 300 {
		owners[reservation.Owner(reservation.OwnerKey("pool", serverName(i), 300), names)]++
		g.Expect(reservation.Owner(reservation.OwnerKey("pool", serverName(i), 7), names)).To(Equal(reservation.Owner("pool", names)))
	}
	for _, name := range names {
		g.Expect(owners[name]).To(BeNumerically(">", 60), name)
	}
	g.Expect(reservation.Owner("pool", nil)).To(BeEmpty())
}
