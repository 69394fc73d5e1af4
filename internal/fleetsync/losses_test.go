package fleetsync_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/quarantine"
)

// deadlyPart is a prompt part that ends servers in these tests.
const deadlyPart = 0xdead

// recordEnds records the ends of servers from first to last, one after the other: each request
// is sent 500 ms after the end before it, so that messages of different age keep the order.
func recordEnds(store *quarantine.Store, first, last uint64) {
	now := time.Now().Add(-time.Minute)
	for i := first; i <= last; i++ {
		lostAt := now.Add(time.Duration(i) * time.Second)
		store.Merge([]quarantine.Loss{{
			Server: i, Pool: "p", Parts: []uint64{deadlyPart}, SentAt: lostAt.Add(-500 * time.Millisecond), LostAt: lostAt,
		}}, now)
		store.RecordAnswer("p", []uint64{1}, now)
	}
}

func withholds(store *quarantine.Store) func() bool {
	return func() bool {
		return store.Decide("p", []uint64{deadlyPart}, time.Now()).Withheld
	}
}

// TestLossesOfSeveralRoutersAddUpEverywhere guards against routers that each wait for their own
// evidence: one after the other, three routers observe one end each.
func TestLossesOfSeveralRoutersAddUpEverywhere(t *testing.T) {
	g := NewWithT(t)
	_, _, _, routers := startRelayedFleet(t, 40)
	for i := range uint64(3) {
		recordEnds(routers[10*i].losses, i+1, i+1)
		time.Sleep(50 * time.Millisecond)
	}
	start := time.Now()
	for _, r := range routers {
		g.Eventually(withholds(r.losses), time.Second-time.Since(start), 5*time.Millisecond).Should(BeTrue())
	}
	routers[7].losses.RecordAnswer("p", []uint64{deadlyPart}, time.Now())
	for _, r := range routers {
		g.Eventually(withholds(r.losses), 2*time.Second, 5*time.Millisecond).Should(BeFalse(), "one answer releases the part on all routers")
	}
}

// TestLossesSpreadWithoutQuorum guards against evidence that waits for the control group.
func TestLossesSpreadWithoutQuorum(t *testing.T) {
	g := NewWithT(t)
	replica, _, _, routers := startRelayedFleet(t, 12)
	replica.setQuorum(false)
	recordEnds(routers[0].losses, 1, 3)
	for _, r := range routers {
		g.Eventually(withholds(r.losses), time.Second, 5*time.Millisecond).Should(BeTrue())
	}
}

// TestLossesPassFrozenRelays guards against evidence that stays on one side of a relay that is
// frozen but whose connections stay open, in both directions.
func TestLossesPassFrozenRelays(t *testing.T) {
	g := NewWithT(t)
	_, _, _, routers := startRelayedFleet(t, 16)
	var rest []*relayingRouter
	frozen := 0
	for _, r := range routers {
		if r.view.Followers() > 0 && frozen < 2 {
			r.gate.setClosed(true)
			frozen++
			continue
		}
		rest = append(rest, r)
	}
	g.Expect(frozen).To(Equal(2))
	start := time.Now()
	for i, r := range rest {
		recordEnds(r.losses, uint64(10*i), uint64(10*i))
	}
	for _, r := range rest {
		g.Eventually(func() int { return len(r.losses.Since(0)) }, 3*time.Second-time.Since(start), 5*time.Millisecond).Should(Equal(len(rest)))
	}
}

// TestRestartedProcessesLearnLosses guards against evidence that is gone after the restart of a
// control replica or of a router, while others still have it.
func TestRestartedProcessesLearnLosses(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newTestLosses(), newTestLosses()
	replica := newFakeReplica(one, two)
	replica.setTable(newTable(t, 1))
	serve(t, newTestServiceWithLosses(t, replica, first, one), one)
	router := startRelayingRouter(t, "router", "domain-a", one)
	g.Eventually(generationOf(router.view), 5*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	recordEnds(router.losses, 1, 3)
	g.Eventually(withholds(first), time.Second, 5*time.Millisecond).Should(BeTrue())
	time.Sleep(time.Second)
	serve(t, newTestServiceWithLosses(t, replica, second, two), two)
	g.Eventually(withholds(second), 3*time.Second, 5*time.Millisecond).Should(BeTrue(), "a control replica that starts later")
	restarted := startRelayingRouter(t, "router-2", "domain-a", two)
	g.Eventually(generationOf(restarted.view), 5*time.Second, time.Millisecond).Should(Equal(uint64(1)))
	g.Expect(withholds(restarted.losses)()).To(BeTrue(), "a router has the losses once it has a table")
}
