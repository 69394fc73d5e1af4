package fleetsync_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
)

// TestEvacuationsReachAllRoutersThroughRelays guards against routers that keep sending to an
// evacuated domain, and that are not told of its return.
func TestEvacuationsReachAllRoutersThroughRelays(t *testing.T) {
	g := NewWithT(t)
	replica, _, _, routers := startRelayedFleet(t, 24)
	for revision, domains := range [][]string{{"a"}, {"a", "b"}, {"b"}, nil} {
		changedAt := time.Now()
		replica.setEvacuations(&evacuation.Set{Revision: uint64(revision + 1), Domains: domains})
		for _, r := range routers {
			g.Eventually(func() []string {
				sets := r.fleet.evacuations()
				if len(sets) <= revision {
					return []string{"no change yet"}
				}
				return sets[revision]
			}, time.Second, time.Millisecond).Should(Equal(domains))
		}
		g.Expect(time.Since(changedAt)).To(BeNumerically("<", 500*time.Millisecond))
	}
}

// TestRestartedRouterHasEvacuationsBeforeItServes guards against a router that serves with its
// first table before it knows which domains are evacuated: from a control replica, and from a relay
// that has not received the newest set yet when the router subscribes.
func TestRestartedRouterHasEvacuationsBeforeItServes(t *testing.T) {
	g := NewWithT(t)
	replica, _, proxy, routers := startRelayedFleet(t, 1)
	for revision := range uint64(20) {
		replica.setEvacuations(&evacuation.Set{Revision: revision + 1, Domains: []string{"a"}})
		for _, address := range []string{proxy.address, routers[0].address} {
			r := startRelayingRouter(t, "restarted", "domain-a", address)
			g.Eventually(generationOf(r.view), 10*time.Second, 100*time.Microsecond).Should(Equal(uint64(1)))
			sets := r.fleet.evacuations()
			g.Expect(sets).NotTo(BeEmpty(), "the table precedes the evacuations")
			g.Expect(sets[len(sets)-1]).To(Equal([]string{"a"}))
			r.stop()
		}
	}
}

// TestLaggingReplicaDoesNotRestoreEvacuations guards against a router that follows a replica which
// lacks the newest orders, and sends to an evacuated domain again.
func TestLaggingReplicaDoesNotRestoreEvacuations(t *testing.T) {
	g := NewWithT(t)
	replica, _, proxy := startReplica(t)
	replica.setEvacuations(&evacuation.Set{Revision: 5, Domains: []string{"a"}})
	view, fleet := startRouter(t, "router", proxy.address)
	g.Eventually(generationOf(view), 5*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	replica.setEvacuations(&evacuation.Set{Revision: 4})
	proxy.closeConnections()
	g.Eventually(proxy.conns.Load, 5*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 1))
	g.Consistently(fleet.evacuations, 500*time.Millisecond, 20*time.Millisecond).Should(Equal([][]string{{"a"}}))
	replica.setEvacuations(&evacuation.Set{Revision: 6})
	g.Eventually(fleet.evacuations, 5*time.Second, 5*time.Millisecond).Should(Equal([][]string{{"a"}, nil}))
}

// TestDomainsOfTheRegistry checks the failure domains that an operator may name if the settings
// list none.
func TestDomainsOfTheRegistry(t *testing.T) {
	g := NewWithT(t)
	service := newTestService(t, newFakeReplica(), reserveAddress(t))
	for i, domain := range []string{"b", "a", "b"} {
		server := testServer(i)
		server.Domain = domain
		server.State = registry.StateReady
		g.Expect(service.Announce(context.Background(), server)).To(Succeed())
	}
	domains, complete := service.Domains()
	g.Expect(domains).To(Equal([]string{"a", "b"}))
	g.Expect(complete).To(BeFalse(), "another replica may know more")
	g.Expect(fleetsync.FromEvacuations(nil)).To(Equal(&evacuation.Set{}))
}
