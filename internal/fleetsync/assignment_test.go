package fleetsync_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReplicaIsAssignedItsShareOfServers guards against all servers assigned to the first replica that they
// reach, as after a restart of the others.
func TestReplicaIsAssignedItsShareOfServers(t *testing.T) {
	g := NewWithT(t)
	one, two, three := reserveAddress(t), reserveAddress(t), reserveAddress(t)
	service := newTestService(t, newFakeReplica(one, two, three), one)
	g.Expect(service.ShareRequestTo(two)).NotTo(BeNil(), "two other replicas are known")
	for i := range 3000 {
		g.Expect(service.Announce(context.Background(), testServer(i))).To(Succeed())
	}
	now, assigned := time.Now(), 0
	for i := range 3000 {
		server := testServer(i)
		if service.AssignServer(server.Hash(), now) {
			assigned++
		}
	}
	g.Expect(assigned).To(Equal(1250), "a third of 3,000 and a quarter more")
	first := testServer(0)
	g.Expect(service.AssignServer(first.Hash(), now)).To(BeTrue(), "an assigned server")
	service.Expire(now.Add(10 * time.Second))
	g.Expect(service.AssignedServers()).To(BeZero(), "servers that announce themselves elsewhere")
}

// TestLateAnnouncementsAreNotAssigned guards against servers that count against the share of a replica
// until it restarts: those whose announcements were dropped as late, of older incarnations.
func TestLateAnnouncementsAreNotAssigned(t *testing.T) {
	g := NewWithT(t)
	own := reserveAddress(t)
	service := newTestService(t, newFakeReplica(own), own)
	for i := range 1500 {
		g.Expect(service.Announce(context.Background(), testServer(i))).To(Succeed())
	}
	now := time.Now()
	for i := range 100 {
		late := testServer(i)
		late.StartedMS--
		g.Expect(service.Announce(context.Background(), late)).To(Succeed())
		g.Expect(service.AssignServer(late.Hash(), now)).To(BeFalse())
	}
	for second := range 1000 {
		service.Expire(now.Add(time.Duration(second) * time.Second))
	}
	g.Expect(service.AssignedServers()).To(BeZero())
}
