package ratelimit_test

import (
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

const (
	server = uint64(0x9e3779b97f4a7c15)
	// window, windowFactor and windowExtra are the users' bound on a server's requests.
	window       = 4 * time.Second
	windowFactor = 1.5
	windowExtra  = 5
	// transitTime bounds the time from a router's choice to the arrival of the request, and
	// positionDelay the time until a router learns that its position has changed.
	transitTime   = 350 * time.Millisecond
	positionDelay = 2 * time.Second
)

var start = time.Unix(1_000_000, 0)

func limitedTo(perSecond float64, at time.Time) ratelimit.Statement {
	return ratelimit.Statement{PerSecond: perSecond, Limited: true, StatedAt: at}
}

// modelRouter is a router of the model. Its new position is in force from positionAt.
type modelRouter struct {
	book       ratelimit.Book
	next       ratelimit.Position
	positionAt time.Time
	arrivals   []time.Time
}

// model is a fleet whose routers share the rate of one server.
type model struct {
	rt        *rapid.T
	now       time.Time
	perSecond float64
	// newsAreLost is set if a router learns only what the server states to itself.
	newsAreLost bool
	routers     []*modelRouter
}

// renumber gives each router a position, of which it learns within positionDelay.
func (m *model) renumber() {
	for i, r := range m.routers {
		r.next = ratelimit.Position{Index: i, Count: len(m.routers)}
		r.positionAt = m.now.Add(time.Duration(rapid.Int64Range(0, int64(positionDelay)).Draw(m.rt, "delay")))
	}
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, r := range m.routers {
		if !r.positionAt.IsZero() && !m.now.Before(r.positionAt) {
			r.book.SetPosition(r.next, r.positionAt)
			r.positionAt = time.Time{}
		}
	}
}

// trySend sends as many requests as the router may send now, up to a number.
func (m *model) trySend(r *modelRouter, count int) {
	for range count {
		if _, blocked := r.book.AvailableAt(server, m.now); blocked {
			return
		}
		r.book.Spend(server, m.now)
		r.arrivals = append(r.arrivals, m.now.Add(time.Duration(rapid.Int64Range(0, int64(transitTime)).Draw(m.rt, "transit"))))
		if m.newsAreLost {
			r.book.RecordAnswer(server, limitedTo(m.perSecond, m.now))
			continue
		}
		for _, each := range m.routers {
			each.book.RecordPeer(server, limitedTo(m.perSecond, m.now))
		}
	}
}

// arrivals returns the arrivals of the routers that have not restarted.
func (m *model) arrivals() []time.Time {
	var all []time.Time
	for _, r := range m.routers {
		all = append(all, r.arrivals...)
	}
	return all
}

// worstExcess returns by how many requests the fullest window exceeds what a rate allows.
func worstExcess(arrivals []time.Time, perSecond float64) float64 {
	slices.SortFunc(arrivals, time.Time.Compare)
	worst := math.Inf(-1)
	for first, last := 0, 0; last < len(arrivals); last++ {
		for arrivals[last].Sub(arrivals[first]) > window {
			first++
		}
		worst = max(worst, float64(last-first+1)-windowFactor*perSecond*window.Seconds()-windowExtra)
	}
	return worst
}

// TestFleetNeverSendsMoreThanTheRateAllows guards against shares that add up to more than a server
// takes in some window, over random demand, rates, restarts of routers, and positions that routers
// learn at different times.
func TestFleetNeverSendsMoreThanTheRateAllows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		highest := rapid.SampledFrom([]float64{0.5, 3, 12}).Draw(rt, "highest rate")
		m := &model{rt: rt, now: start, perSecond: rapid.Float64Range(0, highest).Draw(rt, "rate"), newsAreLost: rapid.Bool().Draw(rt, "news are lost")}
		for i := range rapid.IntRange(1, 40).Draw(rt, "routers") {
			r := &modelRouter{}
			r.book.SetPosition(ratelimit.Position{Index: i}, start)
			m.routers = append(m.routers, r)
		}
		for i, r := range m.routers {
			r.book.SetPosition(ratelimit.Position{Index: i, Count: len(m.routers)}, start.Add(-time.Minute))
			r.book.RecordPeer(server, limitedTo(m.perSecond, start))
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			m.advance(time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(rt, "step")))
			switch rapid.IntRange(0, 20).Draw(rt, "event") {
			case 0:
				if len(m.routers) > 1 {
					i := rapid.IntRange(0, len(m.routers)-1).Draw(rt, "stops")
					m.routers = slices.Delete(m.routers, i, i+1)
					m.renumber()
				}
			case 1:
				r := &modelRouter{}
				r.book.RecordPeer(server, limitedTo(m.perSecond, m.now))
				m.routers = slices.Insert(m.routers, rapid.IntRange(0, len(m.routers)).Draw(rt, "starts"), r)
				m.renumber()
				// A router has its position before it serves.
				r.book.SetPosition(r.next, m.now)
				r.positionAt = time.Time{}
			case 2, 3, 4, 5, 6, 7:
				for _, r := range m.routers {
					m.trySend(r, 100)
				}
			default:
				m.trySend(m.routers[rapid.IntRange(0, len(m.routers)-1).Draw(rt, "router")], rapid.IntRange(1, 4).Draw(rt, "requests"))
			}
		}
		if excess := worstExcess(m.arrivals(), m.perSecond); excess > 0 {
			rt.Fatalf("%.1f requests too many in %v", excess, window)
		}
	})
}

// TestPressureUsesTheRateAndNoMore guards against shares that leave most of a server's rate unused
// while all routers have requests for it, and against windows that get more than it allows.
func TestPressureUsesTheRateAndNoMore(t *testing.T) {
	for _, routers := range []int{1, 7, 80} {
		for _, perSecond := range []float64{0, 0.5, 2.6, 30, 400} {
			for _, newsAreLost := range []bool{false, true} {
				g := NewWithT(t)
				arrivals := press(routers, perSecond, newsAreLost)
				name := []any{"%d routers, %g/s, news are lost: %t", routers, perSecond, newsAreLost}
				g.Expect(worstExcess(arrivals, perSecond)).To(BeNumerically("<=", 0), name...)
				g.Expect(float64(len(arrivals))).To(BeNumerically(">=", 0.9*perSecond*pressTime.Seconds()), name...)
			}
		}
	}
}

const pressTime = time.Minute

// press returns the arrivals of requests at a server to which each router always has some to send.
func press(routers int, perSecond float64, newsAreLost bool) (arrivals []time.Time) {
	return pressWithDemand(routers, perSecond, 0, newsAreLost)
}

// pressWithDemand does the same with routers that had fewer requests before, demand per second each.
func pressWithDemand(routers int, perSecond, demand float64, newsAreLost bool) (arrivals []time.Time) {
	books := make([]ratelimit.Book, routers)
	for i := range books {
		books[i].SetDemand(demand)
		books[i].SetPosition(ratelimit.Position{Index: i, Count: routers}, start.Add(-time.Minute))
		books[i].RecordPeer(server, limitedTo(perSecond, start))
	}
	for now := start; now.Before(start.Add(pressTime)); now = now.Add(20 * time.Millisecond) {
		for i := range books {
			sent := false
			for {
				if _, blocked := books[i].AvailableAt(server, now); blocked {
					break
				}
				books[i].Spend(server, now)
				arrivals, sent = append(arrivals, now), true
			}
			for j := range books {
				if sent && (j == i || !newsAreLost) {
					books[j].RecordPeer(server, limitedTo(perSecond, now))
				}
			}
		}
	}
	return arrivals
}

// TestOldStatementDoesNotReplaceNewerOne guards against a limit that comes back, or ends, because
// a statement travelled for longer than a newer one.
func TestOldStatementDoesNotReplaceNewerOne(t *testing.T) {
	g := NewWithT(t)
	var b ratelimit.Book
	g.Expect(b.RecordPeer(server, limitedTo(2, start))).To(BeTrue())
	g.Expect(b.RecordAnswer(server, ratelimit.Statement{StatedAt: start.Add(time.Second)})).To(BeTrue())
	g.Expect(b.RecordPeer(server, limitedTo(2, start.Add(500*time.Millisecond)))).To(BeFalse())
	g.Expect(b.IsLimited(server)).To(BeFalse())
	g.Expect(b.TakeReports()).To(HaveKeyWithValue(server, ratelimit.Statement{StatedAt: start.Add(time.Second)}))
	g.Expect(b.TakeReports()).To(BeEmpty())
	g.Expect(b.RecordAnswer(server, limitedTo(2, start.Add(2*time.Second)))).To(BeTrue())
}

// TestRoutersWithoutAShareLearnThatTheLimitHasEnded guards against a server that keeps a limit for
// good at routers that may send it nothing, if those that may have no request for it.
func TestRoutersWithoutAShareLearnThatTheLimitHasEnded(t *testing.T) {
	g := NewWithT(t)
	const count = 80
	for i := range count {
		var b ratelimit.Book
		b.SetPosition(ratelimit.Position{Index: i, Count: count}, start.Add(-time.Minute))
		b.RecordPeer(server, limitedTo(0.2, start))
		at, _ := b.AvailableAt(server, start.Add(time.Minute))
		g.Expect(at).To(BeTemporally("<", start.Add(time.Minute+count*8*time.Second)), "router %d", i)
		_, blocked := b.AvailableAt(server, at)
		g.Expect(blocked).To(BeFalse(), "router %d", i)
	}
}

// TestBookIsBounded guards against servers that fill a router's memory by restarting.
func TestBookIsBounded(t *testing.T) {
	g := NewWithT(t)
	var b ratelimit.Book
	for i := range uint64(10_000) {
		b.RecordAnswer(i, limitedTo(1, start.Add(time.Duration(i)*time.Millisecond)))
	}
	g.Expect(len(b.TakeReports())).To(BeNumerically("<=", 4096))
}

// TestParse guards against garbage that counts as a limit or as the end of one.
func TestParse(t *testing.T) {
	g := NewWithT(t)
	for _, bad := range []string{"-1", "NaN", "+Inf", "1e999", "", "soon", "3,1", "2 3"} {
		_, limited, ok := ratelimit.Parse([]string{bad})
		g.Expect([]bool{limited, ok}).To(Equal([]bool{false, false}), bad)
	}
	for value, want := range map[string]float64{"0": 0, " 2.6 ": 2.6, "1e2": 100, "10000": 10_000} {
		perSecond, limited, ok := ratelimit.Parse([]string{value})
		g.Expect([]any{perSecond, limited, ok}).To(Equal([]any{want, true, true}), value)
	}
	_, limited, ok := ratelimit.Parse([]string{"1e308"})
	g.Expect([]bool{limited, ok}).To(Equal([]bool{false, true}))
	_, limited, ok = ratelimit.Parse(nil)
	g.Expect([]bool{limited, ok}).To(Equal([]bool{false, true}))
	perSecond, _, _ := ratelimit.Parse([]string{"5", "x", "3"})
	g.Expect(perSecond).To(Equal(3.0))
	g.Expect(math.IsNaN(perSecond)).To(BeFalse())
}

// TestChangingLowerCountsAreUsedInTheEnd guards against a router that divides a rate among routers that are
// gone, as long as the number of those that are left changes.
func TestChangingLowerCountsAreUsedInTheEnd(t *testing.T) {
	g := NewWithT(t)
	var b ratelimit.Book
	b.SetPosition(ratelimit.Position{Index: 99, Count: 100}, start.Add(-time.Minute))
	b.RecordPeer(server, limitedTo(0.5, start))
	now := start
	for i := range 60 {
		now = now.Add(700 * time.Millisecond)
		b.SetPosition(ratelimit.Position{Index: 0, Count: 2 + i/10%2}, now)
		b.RecordPeer(server, limitedTo(0.5, now))
	}
	_, blocked := b.AvailableAt(server, now)
	g.Expect(blocked).To(BeFalse())
}

// TestManyRoutersSendThreeBurstsAtMost guards against an excess that grows with the number of routers,
// when all of them have requests at once after a time with few.
func TestManyRoutersSendThreeBurstsAtMost(t *testing.T) {
	g := NewWithT(t)
	for _, demand := range []float64{0.001, 0.02, 0.1} {
		for _, perSecond := range []float64{0.5, 2.6} {
			arrivals := pressWithDemand(300, perSecond, demand, false)
			burst := 4 + 6*perSecond
			g.Expect(worstExcess(arrivals, perSecond)).To(BeNumerically("<=", 2*burst-1), "demand %g/s, %g/s", demand, perSecond)
		}
	}
}
