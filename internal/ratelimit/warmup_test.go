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

// warmup has a total of 17 requests per second, of which 13 are shared.
var warmup = ratelimit.Warmup{PerSecond: 8.6, Duration: 3 * time.Second, Overage: 1.5, Slack: 5}

const warmupTotal = 17

// setupTime bounds the time from a router's choice to its send, with which a connection may be set up.
const setupTime = 400 * time.Millisecond

// warmupRouter is a router of the model. It sends the requests that it has assigned at the times in
// assigned, and is frozen until frozenUntil: it then neither learns nor sends anything.
type warmupRouter struct {
	modelRouter
	assigned    []time.Time
	frozenUntil time.Time
}

func newWarmupRouter(index, count int, from time.Time) *warmupRouter {
	r := &warmupRouter{}
	r.book.SetWarmup(warmup)
	r.book.SetPosition(ratelimit.Position{Index: index, Count: count}, from)
	return r
}

// step sends the assigned requests that are due, and assigns others while the router may.
func (r *warmupRouter) step(now time.Time, setup func() time.Duration) {
	if now.Before(r.frozenUntil) {
		return
	}
	if !r.positionAt.IsZero() && !now.Before(r.positionAt) {
		r.book.SetPosition(r.next, now)
		r.positionAt = time.Time{}
	}
	r.assigned = slices.DeleteFunc(r.assigned, func(at time.Time) bool {
		if now.Before(at) {
			return false
		}
		if r.book.ConfirmWarming(server, true, now) {
			r.arrivals = append(r.arrivals, now)
		}
		return true
	})
	for range warmupTotal {
		if _, warming := r.book.WarmingUntil(server, now); !warming {
			return
		}
		if _, blocked := r.book.WarmupAvailableAt(server, now); blocked {
			return
		}
		r.book.Reserve(server, now)
		r.assigned = append(r.assigned, now.Add(setup()))
	}
}

// mostInSecond returns the highest number of requests in a second that begins anywhere.
func mostInSecond(arrivals []time.Time) (most int) {
	slices.SortFunc(arrivals, time.Time.Compare)
	for first, last := 0, 0; last < len(arrivals); last++ {
		for arrivals[last].Sub(arrivals[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestWarmingServerGetsNoMoreThanItsTotal guards against shares that add up to more than the total of a
// warm-up in some second while every router has requests for the server: with late news of the
// warm-up and of the numbering, frozen routers, and connections that take a while.
func TestWarmingServerGetsNoMoreThanItsTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.SampledFrom([]int{1, 3, 12, 13, 14, 20, 90}).Draw(rt, "routers")
		var routers []*warmupRouter
		for i := range count {
			r := newWarmupRouter(i, count, start.Add(-time.Minute))
			r.book.MarkWarming(server, start.Add(time.Hour), start.Add(drawTime(rt, "news", 2*time.Second)))
			routers = append(routers, r)
		}
		var arrivals []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
			switch rapid.IntRange(0, 40).Draw(rt, "event") {
			case 0:
				routers = append(routers, newWarmupRouter(len(routers), 0, now))
				renumberWarmups(rt, routers, now)
			case 1:
				if len(routers) > 1 {
					i := rapid.IntRange(0, len(routers)-1).Draw(rt, "stops")
					arrivals = append(arrivals, routers[i].arrivals...)
					routers = slices.Delete(routers, i, i+1)
					renumberWarmups(rt, routers, now)
				}
			case 2:
				frozen := routers[rapid.IntRange(0, len(routers)-1).Draw(rt, "frozen")]
				frozen.frozenUntil = now.Add(drawTime(rt, "freeze", 2*time.Second))
			}
			for _, r := range routers {
				r.book.MarkWarming(server, now.Add(time.Minute), now)
				r.step(now, func() time.Duration { return drawTime(rt, "setup", setupTime) })
			}
		}
		for _, r := range routers {
			arrivals = append(arrivals, r.arrivals...)
		}
		if most := mostInSecond(arrivals); most > warmupTotal {
			rt.Fatalf("%d requests in a second, %d are allowed", most, warmupTotal)
		}
	})
}

func drawTime(rt *rapid.T, name string, limit time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(rt, name))
}

// renumberWarmups gives each router a position, of which it learns within positionDelay.
func renumberWarmups(rt *rapid.T, routers []*warmupRouter, now time.Time) {
	for i, r := range routers {
		r.next = ratelimit.Position{Index: i, Count: len(routers)}
		r.positionAt = now.Add(drawTime(rt, "delay", positionDelay))
	}
}

// TestWarmingServerIsUsed guards against a limit that leaves a pool without servers if all of them warm
// up at once.
func TestWarmingServerIsUsed(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{1, 5, 90} {
		var arrivals []time.Time
		for i := range count {
			r := newWarmupRouter(i, count, start.Add(-time.Minute))
			r.book.MarkWarming(server, start.Add(10*time.Second), start)
			for now := start; now.Before(start.Add(9 * time.Second)); now = now.Add(20 * time.Millisecond) {
				r.step(now, func() time.Duration { return 0 })
			}
			arrivals = append(arrivals, r.arrivals...)
		}
		g.Expect(mostInSecond(arrivals)).To(BeNumerically("<=", 13), "%d routers", count)
		g.Expect(len(arrivals)).To(BeNumerically(">=", 70), "%d routers", count)
	}
}

// TestRoutersThatControlHasLostKeepTheirShares guards against a sum above the total while control
// numbers only the routers that it reaches, and the others still use their earlier positions.
func TestRoutersThatControlHasLostKeepTheirShares(t *testing.T) {
	g := NewWithT(t)
	const count, lost = 90, 30
	for key := range uint64(300) {
		shares := 0
		for i := range count {
			r := newWarmupRouter(i, count, start.Add(-time.Minute))
			if i >= lost {
				r.book.SetPosition(ratelimit.Position{Index: i - lost, Count: count - lost}, start)
				r.book.SetPosition(ratelimit.Position{Index: i - lost, Count: count - lost + 1}, start.Add(11*time.Second))
			}
			now := start.Add(20 * time.Second)
			address := key * 0x9e3779b97f4a7c15
			r.book.MarkWarming(address, now.Add(10*time.Second), now)
			if at, _ := r.book.WarmupAvailableAt(address, now); at.Before(now.Add(5 * time.Second)) {
				shares++
			}
		}
		g.Expect(shares).To(BeNumerically("<=", warmupTotal), "server %d", key)
	}
}

// TestFewerRoutersUseTheWholeTotalInTheEnd guards against a part of the total that stays unused after
// routers were removed for good.
func TestFewerRoutersUseTheWholeTotalInTheEnd(t *testing.T) {
	g := NewWithT(t)
	shares := func(after time.Duration) (count int) {
		for i := range 20 {
			r := newWarmupRouter(i, 90, start.Add(-time.Hour))
			r.book.SetPosition(ratelimit.Position{Index: i, Count: 20}, start)
			r.book.SetPosition(ratelimit.Position{Index: i, Count: 21}, start.Add(11*time.Second))
			now := start.Add(after)
			r.book.MarkWarming(server, now.Add(10*time.Second), now)
			if at, _ := r.book.WarmupAvailableAt(server, now); at.Before(now.Add(5 * time.Second)) {
				count++
			}
		}
		return count
	}
	g.Expect(shares(time.Minute)).To(BeNumerically("<=", 3))
	g.Expect(shares(11 * time.Minute)).To(BeNumerically(">=", 12))
}

// TestBookWithoutWarmupParametersHasNoLimit guards against limits on deployments that state none, and
// against values that no server means.
func TestBookWithoutWarmupParametersHasNoLimit(t *testing.T) {
	g := NewWithT(t)
	for _, w := range []ratelimit.Warmup{
		{}, {PerSecond: 8.6}, {Overage: 1.5, Slack: 5}, {PerSecond: -1, Overage: 1.5}, {PerSecond: math.NaN(), Overage: 1.5},
		{PerSecond: math.Inf(1), Overage: 1.5}, {PerSecond: 8.6, Overage: math.NaN()}, {PerSecond: 1e308, Overage: 1e308},
	} {
		var b ratelimit.Book
		b.SetWarmup(w)
		g.Expect(b.MarkWarming(server, start.Add(time.Second), start)).To(BeFalse(), "%+v", w)
		_, blocked := b.WarmupAvailableAt(server, start)
		g.Expect(blocked).To(BeFalse(), "%+v", w)
		g.Expect(b.ConfirmWarming(server, false, start)).To(BeTrue(), "%+v", w)
	}
}

// TestEndOfWarmup guards against a server that is not used for as long as it claims, and against a
// router without a position that sends.
func TestEndOfWarmup(t *testing.T) {
	g := NewWithT(t)
	var b ratelimit.Book
	b.SetWarmup(warmup)
	g.Expect(b.MarkWarming(server, start.Add(time.Hour), start)).To(BeTrue())
	at, blocked := b.WarmupAvailableAt(server, start)
	g.Expect(blocked).To(BeTrue())
	g.Expect(at).To(Equal(start.Add(30 * time.Second)))
	_, blocked = b.WarmupAvailableAt(server, at)
	g.Expect(blocked).To(BeFalse())
	g.Expect(b.MarkWarming(server, at.Add(time.Second), at)).To(BeTrue(), "a server may warm up again")
}
