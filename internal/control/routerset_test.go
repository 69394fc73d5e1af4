package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestSetsOfRoutersAreSharedByTheirChanges follows two replicas through routers
// that come, apply a revision, fall silent and go, and a receiver that restarts.
func TestSetsOfRoutersAreSharedByTheirChanges(t *testing.T) {
	g := NewWithT(t)
	const prompt = 1100 * time.Millisecond
	now := time.Unix(1000, 0)
	sender, receiver, others := newLeases(nil, now), newLeases(nil, now), newPeerRouterSets()
	var told routerSet
	reports := 0
	share := func() bool {
		request, set := newShareRequest(now, sender.directReports(now), told, prompt)
		request.From = "c1"
		reports = len(request.GetReports())
		known := others.update(now, request, receiver)
		told = set
		if !known {
			told = nil
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
	g.Expect(reports).To(Equal(3))
	for range 5 {
		reportAll(7, "a", "b", "c")
		g.Expect(share()).To(BeTrue())
		g.Expect(reports).To(BeZero(), "a calm round names no router")
	}
	for _, router := range []string{"a", "b", "c"} {
		g.Expect(receiver.reports[router]).To(Equal(routerReport{revision: 7, at: now}))
	}

	reportAll(8, "a")
	sender.recordDirect(now, "b", 7)
	heardLast := sender.reports["c"].at
	now = now.Add(200 * time.Millisecond)
	g.Expect(share()).To(BeTrue())
	g.Expect(reports).To(Equal(2), "a has a new revision, c is silent")
	g.Expect(receiver.reports["a"].revision).To(BeNumerically("==", 8))
	g.Expect(receiver.reports["c"].at).To(Equal(heardLast), "a silent router is not kept alive")

	now = now.Add(leaseDuration)
	reportAll(8, "a", "b")
	g.Expect(share()).To(BeTrue())
	g.Expect(receiver.reports["c"].at).To(Equal(heardLast))
	reportAll(8, "a", "b", "c")
	g.Expect(share()).To(BeTrue())
	g.Expect(receiver.reports["c"].at).To(Equal(now))

	others = newPeerRouterSets()
	reportAll(8, "a", "b", "c")
	g.Expect(share()).To(BeFalse(), "a receiver that has restarted knows no set")
	g.Expect(share()).To(BeTrue())
	g.Expect(reports).To(Equal(3))
}

// TestBytesOfACalmShare bounds what 72 of the target's routers cost a replica for
// each other replica and second.
func TestBytesOfACalmShare(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	heard := make(map[string]routerReport)
	for i := range 72 {
		heard[fmt.Sprint("router-", i)] = routerReport{revision: 1 << 20, at: now.Add(-time.Second), direct: true}
	}
	_, set := newShareRequest(now, heard, nil, settings.DefaultHeartbeat*3)
	request, _ := newShareRequest(now, heard, set, settings.DefaultHeartbeat*3)
	request.From = "control-a"
	g.Expect(proto.Size(request)).To(BeNumerically("<", 30))
}
