package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestRouterSetsAreSharedAsDeltas shares the reports of one replica with another while routers
// appear, apply a revision, stop reporting and are removed, and while the receiver restarts.
// It guards against a receiver that renews the lease of a silent router and against deltas to
// a receiver that lacks the set.
func TestRouterSetsAreSharedAsDeltas(t *testing.T) {
	g := NewWithT(t)
	const recentAge = 1100 * time.Millisecond
	now := time.Unix(1000, 0)
	sender, receiver, peerSets := newLeases(nil, now), newLeases(nil, now), newPeerRouterSets()
	var acked routerSet
	listed := 0
	share := func() bool {
		request, set := newShareRequest(now, sender.directReports(now), acked, recentAge)
		request.From = "c1"
		listed = len(request.GetReports())
		known := peerSets.update(now, request, receiver)
		acked = set
		if !known {
			acked = nil
		}
		return known
	}
	reportAll := func(revision uint64, routers ...string) {
		now = now.Add(time.Second)
		for _, router := range routers {
			sender.recordDirect(now, router, revision)
		}
	}

	reportAll(7, "a", "b", "c")
	g.Expect(share()).To(BeTrue())
	g.Expect(listed).To(Equal(3))
	for range 5 {
		reportAll(7, "a", "b", "c")
		g.Expect(share()).To(BeTrue())
		g.Expect(listed).To(BeZero(), "a request without changes must list no router")
	}
	for _, router := range []string{"a", "b", "c"} {
		g.Expect(receiver.reports[router]).To(Equal(routerReport{revision: 7, at: now}))
	}

	reportAll(8, "a")
	sender.recordDirect(now, "b", 7)
	lastReport := sender.reports["c"].at
	now = now.Add(200 * time.Millisecond)
	g.Expect(share()).To(BeTrue())
	g.Expect(listed).To(Equal(2), "a has a new revision, c has stopped reporting")
	g.Expect(receiver.reports["a"].revision).To(BeNumerically("==", 8))
	g.Expect(receiver.reports["c"].at).To(Equal(lastReport), "the lease of a silent router must not be renewed")

	now = now.Add(leaseDuration)
	reportAll(8, "a", "b")
	g.Expect(share()).To(BeTrue())
	g.Expect(receiver.reports["c"].at).To(Equal(lastReport))
	reportAll(8, "a", "b", "c")
	g.Expect(share()).To(BeTrue())
	g.Expect(receiver.reports["c"].at).To(Equal(now))

	peerSets = newPeerRouterSets()
	reportAll(8, "a", "b", "c")
	g.Expect(share()).To(BeFalse(), "a restarted receiver has no set")
	g.Expect(share()).To(BeTrue())
	g.Expect(listed).To(Equal(3))
}

// TestShareRequestWithoutChangesIsSmall limits the size of the request that a replica sends
// each peer per second at the target of 72 routers.
func TestShareRequestWithoutChangesIsSmall(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	reports := make(map[string]routerReport)
	for i := range 72 {
		reports[fmt.Sprint("router-", i)] = routerReport{revision: 1 << 20, at: now.Add(-time.Second), direct: true}
	}
	_, set := newShareRequest(now, reports, nil, settings.DefaultHeartbeat*3)
	request, _ := newShareRequest(now, reports, set, settings.DefaultHeartbeat*3)
	request.From = "control-a"
	g.Expect(proto.Size(request)).To(BeNumerically("<", 30))
}
