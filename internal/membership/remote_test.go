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
	timeouts := settings.Timeouts{HeartbeatMS: 20, SilenceMS: 1000}
	members := make(map[string]*member)
	for name, listener := range listeners {
		members[name] = startMember(name, name[:1], listener, timeouts, peers)
	}
	return members
}

// sequence numbers the announcements of the tests' backend server.
var sequence uint64

// waitForSlots announces a server with the given slots to a router of failure domain
// x until another router has a summary with these slots.
func waitForSlots(announcing, m *member, slots int) {
	GinkgoHelper()
	Expect(testcluster.Eventually(func() error {
		sequence++
		server := announcement(7, sequence, api.ServerServing)
		server.Slots = slots
		announcing.announce(server)
		if summaries := m.Summaries(); len(summaries) == 1 && summaries[0].Slots == slots {
			return nil
		}
		return errors.Errorf("want one summary with %d slots, got %+v", slots, m.Summaries())
	})).To(Succeed())
}

var _ = Describe("summaries between failure domains", func() {
	It("reach every router, also after the reporting router has stopped", func() {
		members := twoDomains(3)
		names := []string{"x0", "x1", "x2"}
		reporter := membership.Reporter(names, "y")
		remaining := names[(slices.Index(names, reporter)+1)%len(names)]
		for _, name := range []string{"y0", "y1", "y2"} {
			waitForSlots(members[remaining], members[name], 8)
		}
		members[reporter].stop()
		for _, name := range []string{"y0", "y1", "y2"} {
			waitForSlots(members[remaining], members[name], 9)
		}
	})

	It("reach the remaining router, whichever router has stopped", func() {
		for _, stopped := range []string{"y0", "y1"} {
			members := twoDomains(2)
			remaining := map[string]string{"y0": "y1", "y1": "y0"}[stopped]
			waitForSlots(members["x0"], members[remaining], 8)
			members[stopped].stop()
			waitForSlots(members["x0"], members[remaining], 9)
		}
	})
})

// TestLostRouterMovesOnlyItsReports guards against a loss of one router that changes
// the reporters for failure domains to which other routers report.
func TestLostRouterMovesOnlyItsReports(t *testing.T) {
	g := NewWithT(t)
	live := []string{"r0", "r1", "r2", "r3", "r4"}
	reports := make(map[string]int)
	for i := range 100 {
		domain := fmt.Sprintf("domain-%d", i)
		reporter := membership.Reporter(live, domain)
		reports[reporter]++
		if reporter != "r4" {
			g.Expect(membership.Reporter(live[:4], domain)).To(Equal(reporter), "the loss of another router must not change the reporter")
		}
	}
	g.Expect(reports).To(HaveLen(len(live)))
}
