package membership_test

import (
	"fmt"
	"net"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// twoDomains starts routers x0, x1 ... of failure domain x and y0, y1 ... of y.
func twoDomains(routers int) map[string]*member {
	listeners := make(map[string]net.Listener)
	var peers []settings.Peer
	for _, domain := range []string{"x", "y"} {
		for i := range routers {
			name := fmt.Sprintf("%s%d", domain, i)
			listeners[name] = listen()
			peers = append(peers, peer(name, domain, listeners[name].Addr().String()))
		}
	}
	quick := settings.Timeouts{HeartbeatMS: 20, SilenceMS: 1000}
	members := make(map[string]*member)
	for name, listener := range listeners {
		members[name] = startMember(name, name[:1], listener, quick, peers)
	}
	return members
}

// sequence numbers the announcements of the tests' backend server.
var sequence uint64

// waitForSlots announces a server with so many slots to a router of failure
// domain x until another router knows of it.
func waitForSlots(announced, m *member, slots int) {
	GinkgoHelper()
	Expect(testcluster.Eventually(func() error {
		sequence++
		server := announcement(7, sequence, api.ServerServing)
		server.Slots = slots
		announced.announce(server)
		if summaries := m.Summaries(); len(summaries) == 1 && summaries[0].Slots == slots {
			return nil
		}
		return errors.Errorf("not %d slots: %+v", slots, m.Summaries())
	})).To(Succeed())
}

var _ = Describe("summaries between failure domains", func() {
	It("reach every router, also after the one that reports has gone", func() {
		members := twoDomains(3)
		names := []string{"x0", "x1", "x2"}
		reporter := membership.Reporter(names, "y")
		left := names[(slices.Index(names, reporter)+1)%len(names)]
		for _, name := range []string{"y0", "y1", "y2"} {
			waitForSlots(members[left], members[name], 8)
		}
		members[reporter].stop()
		for _, name := range []string{"y0", "y1", "y2"} {
			waitForSlots(members[left], members[name], 9)
		}
	})

	It("reach the routers that are left, whichever has gone", func() {
		for _, gone := range []string{"y0", "y1"} {
			members := twoDomains(2)
			left := map[string]string{"y0": "y1", "y1": "y0"}[gone]
			waitForSlots(members["x0"], members[left], 8)
			members[gone].stop()
			waitForSlots(members["x0"], members[left], 9)
		}
	})
})

func TestReporterFollowsOneLoss(t *testing.T) {
	g := NewWithT(t)
	live := []string{"r0", "r1", "r2", "r3", "r4"}
	reports := make(map[string]int)
	for i := range 100 {
		domain := fmt.Sprintf("domain-%d", i)
		reporter := membership.Reporter(live, domain)
		reports[reporter]++
		if reporter != "r4" {
			g.Expect(membership.Reporter(live[:4], domain)).To(Equal(reporter), "another router's loss changes nothing")
		}
	}
	g.Expect(reports).To(HaveLen(len(live)))
}
