package platform

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// TestRouterTakesAnnouncements guards against a router whose listener for announcements does not reach
// control, acknowledges nothing itself, or names an address in a small fleet.
func TestRouterTakesAnnouncements(t *testing.T) {
	f := newFleet(t, 1)
	router := f.routers[0]
	ip, _, err := net.SplitHostPort(router.settings.Listen.Peers)
	f.Expect(err).NotTo(HaveOccurred())
	router.settings.Listen.Announcements = ip + ":" + f.freePort(ip)
	f.prepare(router)
	f.start()
	f.configure(f.config(7, 1000))
	call := func(method, state string) (int, string) {
		direct := *router
		direct.settings.Listen.Operators = router.settings.Listen.Announcements
		body := `{"Service":"app","Address":"10.0.0.9:80","Zone":"zone-0","Version":"v1","Slots":6,"State":"` + state + `","Seq":5,"born":1000}`
		return f.callControl(&direct, method, "/instances/i-9", body)
	}
	status := func(method, state string) func() int {
		return func() int { code, _ := call(method, state); return code }
	}
	f.Eventually(status(http.MethodPut, "ready"), testcluster.WaitTimeout).Should(Equal(http.StatusOK))
	f.Eventually(func() string {
		code, answer := call(http.MethodPut, "ready")
		f.Expect(code).To(Equal(http.StatusOK))
		f.Expect(strings.TrimSpace(answer)).To(Equal("{}"))
		return f.scrapeMetrics(router)
	}, testcluster.WaitTimeout).Should(ContainSubstring(`peridotwinch_view_announcements_total{result="acknowledged"} 1`))
	f.Eventually(status(http.MethodPut, "draining"), testcluster.WaitTimeout).Should(Equal(http.StatusOK))
	f.Eventually(status(http.MethodDelete, "draining"), testcluster.WaitTimeout).Should(Equal(http.StatusOK))
	logs := ""
	for _, control := range f.controls {
		logs += f.readLog(control)
	}
	f.Expect(logs).To(And(ContainSubstring("backend server changed"), ContainSubstring("backend server withdrawn")))
	f.Expect(f.scrapeMetrics(router)).To(MatchRegexp(`peridotwinch_view_announcements_total\{result="forwarded"\} [3-9]`))
}
