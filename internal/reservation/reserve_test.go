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
	routers  = 3
	servers  = 2
	capacity = 4
)

// stream carries one router's messages to one owner, in order.
type stream struct {
	requests []reservation.Message
	answers  []reply
}

type reply struct {
	server  string
	granted int
}

// simulation is a failure domain whose messages wait until the test delivers them.
type simulation struct {
	t       *rapid.T
	names   []string
	books   map[string]*reservation.Tracker
	counts  map[string]*reservation.PeerCounts
	streams map[string]*stream
	// held counts the requests of each router on each server.
	held   map[string]int
	tokens reservation.Token
	// lossy is set once a stream or an owner was lost: until all is told again,
	// an owner may know too little.
	lossy bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, books: map[string]*reservation.Tracker{}, counts: map[string]*reservation.PeerCounts{},
		streams: map[string]*stream{}, held: map[string]int{},
	}
	for i := range routers {
		name := fmt.Sprintf("router-%d", i)
		s.names = append(s.names, name)
		s.books[name] = reservation.NewTracker(name)
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
		s.send(router, s.books[router].Assign(serverName(i), reservation.Owner(serverName(i), live)))
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
		link := s.stream(from, m.Owner)
		link.requests = append(link.requests, m.Message)
	}
}

// load is what an owner knows of a server's load.
func (s *simulation) load(owner, server string) int {
	return s.held[owner+"@"+server] + s.counts[owner].Sum(server)
}

// request asks for a place, or takes one where the router owns the server.
func (s *simulation) request(router, server string, firm bool) {
	owner := s.books[router].Owner(server)
	if owner == router {
		if s.load(router, server) < capacity {
			s.held[router+"@"+server]++
			s.send(router, s.books[router].AddUngranted(server))
		}
		return
	}
	s.tokens++
	s.send(router, s.books[router].Request(server, s.tokens, firm))
}

func (s *simulation) release(router, server string) {
	if s.held[router+"@"+server] == 0 {
		return
	}
	s.held[router+"@"+server]--
	s.send(router, s.books[router].Release(server))
}

// deliver hands the oldest message of a stream over.
func (s *simulation) deliver(from, to string) bool {
	link := s.stream(from, to)
	if len(link.requests) > 0 {
		message := link.requests[0]
		link.requests = link.requests[1:]
		s.decide(from, to, message)
		return true
	}
	return s.deliverAnswer(from, to)
}

func (s *simulation) decide(from, to string, message reservation.Message) {
	counts := s.counts[to]
	counts.Set(message.Server, from, message.Held)
	granted := 0
	for granted < message.Requested && s.load(to, message.Server) < capacity && s.books[to].Owner(message.Server) == to {
		granted++
		counts.Set(message.Server, from, message.Held+granted)
	}
	if message.Requested > 0 {
		link := s.stream(from, to)
		link.answers = append(link.answers, reply{message.Server, granted})
	}
}

func (s *simulation) deliverAnswer(from, to string) bool {
	link := s.stream(from, to)
	if len(link.answers) == 0 {
		return false
	}
	answer := link.answers[0]
	link.answers = link.answers[1:]
	got, _, messages := s.books[from].HandleAnswer(to, answer.server, answer.granted)
	s.held[from+"@"+answer.server] += len(got)
	s.send(from, messages)
	return true
}

// lose ends a stream and opens it anew.
func (s *simulation) lose(from, to string) {
	s.lossy = true
	s.books[from].OwnerLost(to)
	s.counts[to].Forget(from)
	s.streams[from+">"+to] = &stream{requests: s.books[from].Held(to)}
}

// settle delivers everything.
func (s *simulation) settle() {
	for moved := true; moved; {
		moved = false
		for _, from := range s.names {
			for _, to := range s.names {
				for from != to && s.deliver(from, to) {
					moved = true
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

// checkCapacity checks that no server has more than its owner may grant.
func (s *simulation) checkCapacity() {
	if s.lossy {
		return
	}
	for i := range servers {
		if total := s.total(serverName(i)); total > capacity {
			s.t.Fatalf("%s holds %d of %d", serverName(i), total, capacity)
		}
	}
}

// checkAgreement checks that after all is delivered each owner knows exactly
// what each router holds, and others know nothing.
func (s *simulation) checkAgreement() {
	for _, owner := range s.names {
		for _, router := range s.names {
			for i := range servers {
				server := serverName(i)
				want := 0
				if router != owner && s.books[router].Owner(server) == owner {
					want = s.held[router+"@"+server]
				}
				if got := s.counts[owner].Get(server, router); got != want {
					s.t.Fatalf("%s counts %d of %s on %s, not %d", owner, got, router, server, want)
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
		s.request(router, server, rapid.Bool().Draw(s.t, "firm"))
	case 2:
		s.release(router, server)
	case 3, 4:
		if router != other {
			s.deliver(router, other)
		}
	case 5:
		if router != other {
			s.lose(router, other)
		}
	case 6:
		s.lossy = true
		live := []string{router}
		if other != router {
			live = append(live, other)
		}
		s.assign(rapid.SampledFrom(s.names).Draw(s.t, "follows"), live)
	}
}

// TestOwnersGrantWithinCapacity delivers messages late and in any order between
// streams: no server ever gets more than its owner may grant.
func TestOwnersGrantWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step(false)
			s.checkCapacity()
		}
		s.settle()
		s.checkCapacity()
		s.checkAgreement()
	})
}

// TestCountsRecoverAfterLoss loses streams with all that is under way, and lets
// routers disagree on the owners: once all agree, each owner knows all again.
func TestCountsRecoverAfterLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step(true)
		}
		for _, router := range s.names {
			s.assign(router, s.names)
		}
		s.settle()
		s.checkAgreement()
	})
}

// TestRepeatedMessageCountsOnce checks that counts are absolute.
func TestRepeatedMessageCountsOnce(t *testing.T) {
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

// TestFirmQuestionsGoFirst checks the order in which granted places are given out.
func TestFirmQuestionsGoFirst(t *testing.T) {
	g := NewWithT(t)
	h := reservation.NewHolder()
	_, sent := h.Request("s", 1, false)
	g.Expect(sent).To(BeTrue())
	for token := reservation.Token(2); token <= 3; token++ {
		_, sent = h.Request("s", token, token == 3)
		g.Expect(sent).To(BeFalse(), "one question is open already")
	}
	_, refused, message, more := h.HandleAnswer("s", 0)
	g.Expect(refused).To(ConsistOf(reservation.Token(1)))
	g.Expect(more).To(BeTrue())
	g.Expect(message).To(Equal(reservation.Message{Server: "s", Requested: 2, IgnoringBound: 1}))
	got, refused, _, _ := h.HandleAnswer("s", 1)
	g.Expect(got).To(ConsistOf(reservation.Token(3)))
	g.Expect(refused).To(ConsistOf(reservation.Token(2)))
}

// TestOwnersSpread checks that small pools have one owner and large ones many.
func TestOwnersSpread(t *testing.T) {
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
