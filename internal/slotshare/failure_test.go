package slotshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// split sends the requests of each router to one of several rules.
type split struct{ rules [2]*coordinated }

func (s *split) arrive(a arrival) { s.rules[a.router%2].arrive(a) }

// restarted replaces the coordinator once by one that knows nothing, while routers hold slots.
type restarted struct{ *coordinated }

func newRestarted(m *model) rule {
	r := &restarted{newCoordinated(m, remoteDelay)}
	m.after(*modelLength/2, func() {
		old := r.coordinated
		next := newCoordinated(m, remoteDelay)
		next.local, next.nextID = old.local, old.nextID
		// The requests that waited at the process that ended are sent by their routers.
		old.isDead = true
		for router := range modelRouters {
			old.settle(router)
		}
		r.coordinated = next
	})
	return r
}

// newLosingRouters ends the stream of a router each second, and lets it return at once.
func newLosingRouters(m *model) rule {
	c := newCoordinated(m, remoteDelay)
	for at := time.Second; at < *modelLength; at += time.Second {
		m.after(at, func() {
			router := m.rng.IntN(modelRouters)
			c.coordinator.RouterLost(routerName(router), m.now)
			c.links[router].Lost(m.now)
			c.coordinator.RouterReturned(routerName(router))
			c.settle(router)
		})
	}
	return c
}

// TestFailuresOfTheCoordinatorAreNotWorseThanNone guards against failures that cost more than the
// coordinator gains: with each of them, fewer requests have to be late or refused than if all
// routers decide alone.
func TestFailuresOfTheCoordinatorAreNotWorseThanNone(t *testing.T) {
	cases := []struct {
		name  string
		build func(*model) rule
	}{
		{"no coordinator", func(m *model) rule {
			c := newCoordinated(m, remoteDelay)
			c.isDead = true
			return c
		}},
		{"stopped for 500 ms of each 3 s", func(m *model) rule {
			c := newCoordinated(m, remoteDelay)
			c.frozen = func(now time.Time) bool { return now.Sub(modelStart)%(3*time.Second) > 2500*time.Millisecond }
			return c
		}},
		{"stopped for 60 ms of each 200 ms", func(m *model) rule {
			c := newCoordinated(m, remoteDelay)
			c.frozen = func(now time.Time) bool { return now.Sub(modelStart)%(200*time.Millisecond) > 140*time.Millisecond }
			return c
		}},
		{"two coordinators", func(m *model) rule {
			return &split{[2]*coordinated{newCoordinated(m, remoteDelay), newCoordinated(m, remoteDelay)}}
		}},
		{"coordinator replaced", newRestarted},
		{"a router lost each second", newLosingRouters},
		{"half of the routers cut off", func(m *model) rule {
			cut := newCoordinated(m, remoteDelay)
			cut.isDead = true
			return &split{[2]*coordinated{newCoordinated(m, remoteDelay), cut}}
		}},
	}
	for _, load := range []float64{274, 380} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			today := playAll(load, func(m *model) rule { return newTodaysRule(m) })
			t.Logf("%3.0f/s %-32s late %6.2f%%  refused %5.2f%%", load, "today's rule", 100*today.late, 100*today.refused)
			for _, test := range cases {
				sum := playAll(load, test.build)
				t.Logf("%3.0f/s %-32s late %6.2f%%  refused %5.2f%%", load, test.name, 100*sum.late, 100*sum.refused)
				NewWithT(t).Expect(sum.late+sum.refused).To(BeNumerically("<=", today.late+today.refused), test.name)
			}
		})
	}
}

// TestEachRequestIsServedOnce guards against requests that are sent twice, or lost, if grants come
// after their routers have decided alone.
func TestEachRequestIsServedOnce(t *testing.T) {
	g := NewWithT(t)
	var c *coordinated
	var m *model
	_, _ = play(1, 380, *modelLength, func(built *model) rule {
		m, c = built, newCoordinated(built, remoteDelay)
		c.frozen = func(now time.Time) bool { return now.Sub(modelStart)%(400*time.Millisecond) > 300*time.Millisecond }
		return c
	})
	g.Expect(c.late).To(BeNumerically(">", 0), "slots granted too late")
	seen := make(map[time.Time]int)
	for _, r := range m.served {
		seen[r.at]++
		g.Expect(seen[r.at]).To(Equal(1))
	}
	g.Expect(m.sends-m.full).To(BeNumerically("<=", len(m.served)), "completed sends")
	taken, _ := c.coordinator.Held()
	g.Expect(taken).To(BeZero(), "slots that are still held at the end")
	g.Expect(c.coordinator.Waiting()).To(BeZero())
}

// at returns a time of a test.
func at(ms int) time.Time { return modelStart.Add(time.Duration(ms) * time.Millisecond) }

// newSmall returns a coordinator of servers 1 and 2 with a slot each that served requests in 60 ms.
func newSmall() *slotshare.Coordinator {
	c := slotshare.New()
	c.SetServers([]slotshare.Server{{Hash: 1, Slots: 1}, {Hash: 2, Slots: 1}})
	for i := range 20 {
		c.Take("old", slotshare.Ask{ID: 1, Deadline: at(0)}, 1, at(i*60-1260))
		c.Take("old", slotshare.Ask{ID: 2, Deadline: at(0)}, 2, at(i*60-1260))
		c.Release("old", 1, slotshare.OutcomeAnswered, at(i*60-1200))
		c.Release("old", 2, slotshare.OutcomeAnswered, at(i*60-1200))
	}
	return c
}

func ask(id uint64, customer uint64, priority, onTimeMS int) slotshare.Ask {
	return slotshare.Ask{ID: id, Customer: customer, Priority: priority, OnTime: at(onTimeMS), Deadline: at(2000)}
}

// fill takes the slots of both servers and the requests that they may hold beyond them.
func fill(c *slotshare.Coordinator) {
	for id := range uint64(4) {
		c.Ask("filler", slotshare.Ask{ID: id, Customer: 99, OnTime: at(1000), Deadline: at(2000)}, at(0))
	}
}

// drain releases the slots one by one and returns the order in which requests are granted.
func drain(c *slotshare.Coordinator, now time.Time) (order []uint64) {
	for id := range uint64(4) {
		c.Release("filler", id, slotshare.OutcomeUnknown, now)
		for _, d := range c.Dispatch(now) {
			order = append(order, d.ID)
		}
	}
	return order
}

// TestOrderOfWaitingRequests guards against an order that serves the requests of one customer, or
// those that are late already, before others.
func TestOrderOfWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	c := newSmall()
	fill(c)
	c.Ask("r", ask(20, 5, 4, 500), at(0))
	c.Ask("r", ask(21, 6, 1, 500), at(0))
	c.Ask("r", ask(22, 99, 1, 300), at(0))
	c.Ask("r", ask(23, 7, 1, 400), at(0))
	g.Expect(drain(c, at(10))).To(Equal([]uint64{23, 21, 22, 20}), "priority, then customers with few requests, then time")

	c = newSmall()
	fill(c)
	c.Ask("r", ask(30, 1, 1, 100), at(0))
	c.Ask("r", ask(31, 2, 9, 500), at(0))
	g.Expect(drain(c, at(90))).To(Equal([]uint64{31, 30}), "a request that is late in any case")
}

// TestHopelessRequestIsRefusedAtOnce guards against requests that wait although they cannot be
// answered before their deadline, and against refusals without need.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newSmall()
	fill(c)
	hopeless := slotshare.Ask{ID: 40, OnTime: at(50), Deadline: at(70)}
	d := c.Ask("r", hopeless, at(0))
	g.Expect(d.Verdict).To(Equal(slotshare.VerdictRefused))
	g.Expect(d.RetryAfter).To(BeNumerically("~", 30*time.Millisecond, 10*time.Millisecond))
	late := slotshare.Ask{ID: 41, OnTime: at(50), Deadline: at(400)}
	g.Expect(c.Ask("r", late, at(0)).Verdict).To(Equal(slotshare.VerdictQueued))
	g.Expect(c.Dispatch(at(330))).To(BeEmpty())
	refused := c.Dispatch(at(345))
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Verdict).To(Equal(slotshare.VerdictRefused))
	g.Expect(c.Waiting()).To(BeZero())
}

// TestSlotsOfLostRouters guards against slots that are never free again after a router ended, and
// against those that are free while its servers still run its requests.
func TestSlotsOfLostRouters(t *testing.T) {
	g := NewWithT(t)
	c := newSmall()
	fill(c)
	g.Expect(c.Ask("r", ask(50, 1, 1, 500), at(0)).Verdict).To(Equal(slotshare.VerdictQueued))
	g.Expect(c.Ask("gone", ask(51, 1, 1, 400), at(0)).Verdict).To(Equal(slotshare.VerdictQueued))
	c.RouterLost("filler", at(10))
	c.RouterLost("gone", at(10))
	g.Expect(c.Dispatch(at(20))).To(BeEmpty())
	granted := c.Dispatch(at(10 + 121))
	g.Expect(granted).To(HaveLen(1))
	g.Expect(granted[0].ID).To(Equal(uint64(50)))

	c = newSmall()
	fill(c)
	c.RouterLost("filler", at(10))
	c.RouterReturned("filler")
	c.Take("filler", slotshare.Ask{ID: 3, Deadline: at(2000)}, 1, at(20))
	taken, slots := c.Held()
	g.Expect([]int{taken, slots}).To(Equal([]int{1, 2}), "what the router states after its return")
}

// TestServersThatFail guards against grants of servers that are lost or full while others are free,
// and against a coordinator that refuses requests because it knows no server.
func TestServersThatFail(t *testing.T) {
	g := NewWithT(t)
	c := newSmall()
	first := c.Ask("r", ask(60, 1, 1, 500), at(0))
	g.Expect(first.Verdict).To(Equal(slotshare.VerdictGranted))
	c.Release("r", 60, slotshare.OutcomeLost, at(1))
	for id := uint64(61); id < 63; id++ {
		d := c.Ask("r", ask(id, 1, 1, 500), at(2))
		g.Expect(d.Verdict).To(Equal(slotshare.VerdictGranted))
		g.Expect(d.Server).NotTo(Equal(first.Server))
	}
	g.Expect(c.Ask("r", ask(63, 1, 1, 500), at(2)).Verdict).To(Equal(slotshare.VerdictQueued))
	c.Release("r", 61, slotshare.OutcomeLost, at(3))
	decisions := c.Dispatch(at(3))
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].Verdict).To(Equal(slotshare.VerdictPassed), "no server is left")

	c = newSmall()
	unusable := ask(70, 1, 1, 500)
	unusable.Unusable = []uint64{1}
	g.Expect(c.Ask("r", unusable, at(0)).Server).To(Equal(uint64(2)))
	unusable.ID, unusable.Unusable = 71, []uint64{1, 2}
	g.Expect(c.Ask("r", unusable, at(0)).Verdict).To(Equal(slotshare.VerdictPassed))
	g.Expect(slotshare.New().Ask("r", ask(72, 1, 1, 500), at(0)).Verdict).To(Equal(slotshare.VerdictPassed))
}

// TestQueueIsBounded guards against memory that grows with the load.
func TestQueueIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := newSmall()
	fill(c)
	refused := 0
	for id := range uint64(2000) {
		long := slotshare.Ask{ID: 100 + id, OnTime: at(10), Deadline: at(1_000_000)}
		if c.Ask("r", long, at(0)).Verdict == slotshare.VerdictRefused {
			refused++
		}
	}
	g.Expect(c.Waiting()).To(Equal(512))
	g.Expect(refused).To(Equal(2000 - 512))
	// A full queue keeps no urgent request out.
	urgent := slotshare.Ask{ID: 9000, Priority: -1, OnTime: at(10), Deadline: at(1_000_000)}
	g.Expect(c.Ask("r", urgent, at(0)).Verdict).To(Equal(slotshare.VerdictQueued))
	g.Expect(c.Waiting()).To(Equal(512))
	decisions := c.Dispatch(at(0))
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].ID).To(Equal(uint64(611)), "the last one that waited")
	g.Expect(decisions[0].Verdict).To(Equal(slotshare.VerdictRefused))
}

// TestMonitor guards against a coordinator that is used although it answers late, and one that is
// not used again after it has recovered.
func TestMonitor(t *testing.T) {
	g := NewWithT(t)
	m := &slotshare.Monitor{}
	g.Expect(m.IsUsable()).To(BeFalse())
	first := m.Ping(at(0))
	g.Expect(m.Ping(at(50))).To(BeZero(), "too soon")
	g.Expect(m.Pong(first, at(41))).To(BeFalse(), "late")
	second := m.Ping(at(100))
	g.Expect(m.Pong(first, at(101))).To(BeFalse(), "of an earlier ping")
	g.Expect(m.Pong(second, at(102))).To(BeTrue())
	g.Expect(m.IsUsable()).To(BeTrue())
	g.Expect(m.Ping(at(300))).To(BeZero())
	m.Lost(at(20_000))
	g.Expect(m.IsUsable()).To(BeFalse())
	// A coordinator that is lost again soon is pinged after ever longer times.
	g.Expect(m.Pong(m.Ping(at(20_100)), at(20_101))).To(BeTrue())
	m.Lost(at(20_200))
	g.Expect(m.Ping(at(22_100))).To(BeZero())
	g.Expect(m.Pong(m.Ping(at(22_200)), at(22_201))).To(BeTrue())
	m.Lost(at(22_300))
	g.Expect(m.Ping(at(26_200))).To(BeZero())
	g.Expect(m.Ping(at(26_300))).NotTo(BeZero())
	g.Expect(slotshare.Patience(300 * time.Millisecond)).To(Equal(30 * time.Millisecond))
	g.Expect(slotshare.Patience(2 * time.Second)).To(Equal(40 * time.Millisecond))
}
