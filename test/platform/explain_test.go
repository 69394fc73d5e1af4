package platform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// awaitExplanation waits until the explain command prints the wanted text for the newest
// attempt. The router may write the last log line of an attempt after its answer.
func (f *fleet) awaitExplanation(router *machine, want string) {
	f.t.Helper()
	id := fmt.Sprintf("%016x", f.attempts.Load())
	f.Eventually(func() string {
		out, _ := testcluster.RunCommand("explain", id, router.LogPath())
		return out
	}, testcluster.WaitTimeout, 100*time.Millisecond).Should(ContainSubstring(want))
}

// TestFailedRequestIsExplainedFromLogs produces the three kinds of failed requests that
// docs/OPERATIONS.md lists, and checks that the explain command finds each cause from the
// router's log alone.
func TestFailedRequestIsExplainedFromLogs(t *testing.T) {
	f := startFleet(t, 1)
	w := f.startWorker("i-1")
	router := f.routers[0]
	_, _, err := f.sendWhenListening(router)
	f.Expect(err).NotTo(HaveOccurred())
	f.awaitExplanation(router, "refused, and no server has run it: no route table yet")

	f.configure(f.config(7, 1000))
	f.awaitServing(router, "/debit/x")
	f.awaitExplanation(router, "answered by i-1 with status 200")

	w.setMode(modeClose)
	response, _, err := f.sendRequest(router, http.MethodPost, "/debit/x")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	f.awaitExplanation(router, "failed after it may have run on i-1")

	w.setMode(modeCutStream)
	_, _, err = f.sendRequest(router, http.MethodPost, "/debit/x")
	f.Expect(err).To(HaveOccurred(), "a cut stream must not look complete")
	f.awaitExplanation(router, `the stream was cut after event "2" from i-1`)
}
