package slotshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// TestCoordinatorHandlesAnyOrderOfEvents guards against events that the coordinator does not expect in its
// state, such as the end of a request at a server that is no longer listed: they come from other processes.
func TestCoordinatorHandlesAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		c := slotshare.New()
		now := modelStart
		routers := rapid.SampledFrom([]string{"router-1", "router-2", "router-3"})
		hashes := rapid.Uint64Range(1, 4)
		request := func() slotshare.Ask {
			return slotshare.Ask{
				ID: rapid.Uint64Range(0, 5).Draw(rt, "id"), Customer: rapid.Uint64Range(0, 2).Draw(rt, "customer"),
				Priority: rapid.IntRange(0, 2).Draw(rt, "priority"), OnTime: now.Add(100 * time.Millisecond), Deadline: now.Add(time.Second),
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				var servers []slotshare.Server
				for _, hash := range rapid.SliceOfNDistinct(hashes, 0, 3, rapid.ID[uint64]).Draw(rt, "servers") {
					servers = append(servers, slotshare.Server{Hash: hash, Slots: rapid.IntRange(0, 2).Draw(rt, "slots")})
				}
				c.SetServers(servers)
			case 1:
				c.Ask(routers.Draw(rt, "router"), request(), now)
			case 2:
				c.Take(routers.Draw(rt, "router"), request(), hashes.Draw(rt, "server"), now)
			case 3:
				outcome := rapid.SampledFrom([]slotshare.Outcome{
					slotshare.OutcomeUnknown, slotshare.OutcomeAnswered, slotshare.OutcomeFull, slotshare.OutcomeFailed, slotshare.OutcomeLost,
				}).Draw(rt, "outcome")
				c.Release(routers.Draw(rt, "router"), rapid.Uint64Range(0, 5).Draw(rt, "id"), outcome, now)
			case 4:
				c.RouterLost(routers.Draw(rt, "router"), now)
			case 5:
				c.RouterReturned(routers.Draw(rt, "router"))
			case 6:
				c.Dispatch(now)
			}
		}
		c.Dispatch(now.Add(time.Minute))
		g.Expect(c.Waiting()).To(BeZero(), "requests that wait beyond their deadlines")
	})
}

// TestRequestEndsAtAServerThatIsNoLongerListed guards against a coordinator that ends with its process if
// the first request that is answered was at a server that has left.
func TestRequestEndsAtAServerThatIsNoLongerListed(t *testing.T) {
	g := NewWithT(t)
	c := slotshare.New()
	c.SetServers([]slotshare.Server{{Hash: 1, Slots: 1}})
	g.Expect(c.Ask("router", ask(1, 0, 1, 1000), at(0)).Server).To(BeEquivalentTo(1))
	c.SetServers([]slotshare.Server{{Hash: 2, Slots: 1}})
	c.Release("router", 1, slotshare.OutcomeAnswered, at(60))
	g.Expect(c.Ask("router", ask(2, 0, 1, 1000), at(70)).Server).To(BeEquivalentTo(2))
}
