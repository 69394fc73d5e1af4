package fleetsync_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
)

// TestReplicasStartedTogetherSyncBeforeNextDigest guards against a delayed start: the second
// replica listens shortly after the first one's initial request to it, and neither may wait for
// the next digest.
func TestReplicasStartedTogetherSyncBeforeNextDigest(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newTestService(t, newFakeReplica(one, two), one), newTestService(t, newFakeReplica(one, two), two)
	serve(t, first, one)
	time.Sleep(150 * time.Millisecond)
	g.Expect(first.IsSynced()).To(BeFalse())
	serve(t, second, two)
	// The next digest would be sent 550 ms from now.
	g.Eventually(first.IsSynced, 500*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
	g.Eventually(second.IsSynced, 500*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
}

// TestAnnouncementReachesOtherReplicas guards against announcements that wait for the next
// digest, and against Announce returning before the other replicas have a draining server.
func TestAnnouncementReachesOtherReplicas(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newTestService(t, newFakeReplica(one, two), one), newTestService(t, newFakeReplica(one, two), two)
	serve(t, first, one)
	serve(t, second, two)
	g.Eventually(second.IsSynced, time.Second, 10*time.Millisecond).Should(BeTrue())
	server := testServer(1)
	first.Announce(context.Background(), server)
	g.Eventually(func() bool { return second.StateOf(server.ID) == registry.StateReady }, 600*time.Millisecond, 5*time.Millisecond).Should(BeTrue(), "before the next digest")
	server.State, server.Sequence = registry.StateDraining, 2
	first.Announce(context.Background(), server)
	g.Expect(second.StateOf(server.ID)).To(Equal(registry.StateDraining), "Announce returns after the other replicas have the draining state")
}
