package fleetsync_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
)

// TestReplicasThatStartTogetherServeRoutersSoon starts two replicas, of which the second
// listens a moment later than the first asks it: neither waits for the next digest.
func TestReplicasThatStartTogetherServeRoutersSoon(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newTestService(newFakeGroup(one, two), one), newTestService(newFakeGroup(one, two), two)
	serve(t, first, one)
	time.Sleep(150 * time.Millisecond)
	g.Expect(first.IsSynced()).To(BeFalse())
	serve(t, second, two)
	// The next digest would come 550 ms from here.
	g.Eventually(first.IsSynced, 500*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
	g.Eventually(second.IsSynced, 500*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
}

func TestAnAnnouncementReachesTheOtherReplicas(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newTestService(newFakeGroup(one, two), one), newTestService(newFakeGroup(one, two), two)
	serve(t, first, one)
	serve(t, second, two)
	g.Eventually(second.IsSynced, time.Second, 10*time.Millisecond).Should(BeTrue())
	server := testServer(1)
	first.Announce(context.Background(), server)
	g.Eventually(func() bool { return second.StateOf(server.ID) == registry.StateReady }, 600*time.Millisecond, 5*time.Millisecond).Should(BeTrue(), "before the next digest")
	server.State, server.Sequence = registry.StateDraining, 2
	first.Announce(context.Background(), server)
	g.Expect(second.StateOf(server.ID)).To(Equal(registry.StateDraining), "Announce returns once the others know that a server leaves")
}
