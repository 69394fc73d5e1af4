package platform

import (
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// hasMetric returns a function that reports whether a machine's metrics page has a line with the
// prefix whose value is not 0.
func (f *fleet) hasMetric(m *machine, prefix string) func() bool {
	return func() bool {
		for line := range strings.Lines(f.scrapeMetrics(m)) {
			if strings.HasPrefix(line, prefix) && !strings.HasSuffix(line, " 0\n") {
				return true
			}
		}
		return false
	}
}

// TestRoutersShareSlots guards against routers that do not find the coordinator that control names,
// and against requests that fail when it is killed.
func TestRoutersShareSlots(t *testing.T) {
	f := newFleet(t, 3)
	for _, m := range f.routers {
		m.settings.Slots.Shared = true
		f.prepare(m)
	}
	f.start()
	f.startWorker("i-1")
	f.startWorker("i-2")
	f.configure(f.config(7, 1000))
	var coordinator *machine
	for _, m := range f.routers {
		f.awaitServing(m, "/look/x")
		f.Eventually(f.hasMetric(m, "peridotwinch_slots_coordinator_usable"), testcluster.WaitTimeout).Should(BeTrue(), lastLines(m))
	}
	for _, m := range f.routers {
		f.Eventually(func() bool {
			f.awaitServing(m, "/debit/x")
			return f.hasMetric(m, `peridotwinch_slots_asks_total{decision="granted"}`)()
		}, testcluster.WaitTimeout).Should(BeTrue(), lastLines(m))
		log, err := os.ReadFile(m.LogPath())
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(string(log)).To(ContainSubstring(`"choice":"shared_slot"`))
		if f.hasMetric(m, "peridotwinch_slots_routers")() {
			coordinator = m
		}
	}
	f.Expect(coordinator).NotTo(BeNil())
	f.Expect(coordinator.Kill()).To(Succeed())
	for _, m := range f.routers {
		if m == coordinator {
			continue
		}
		for range 20 {
			response, body, err := f.sendRequest(m, http.MethodPost, "/debit/x")
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(response.StatusCode).To(Equal(http.StatusOK), body)
		}
		f.Eventually(f.hasMetric(m, "peridotwinch_slots_coordinator_usable"), testcluster.WaitTimeout).Should(BeTrue(), lastLines(m))
	}
}
