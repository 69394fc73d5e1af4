package platform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// explains returns what the command says of the newest attempt, once its last line
// is in the log.
func (f *fleet) explains(router *machine, want string) {
	f.t.Helper()
	id := fmt.Sprintf("%016x", f.attempts.Load())
	f.Eventually(func() string {
		out, _ := testcluster.RunCommand("explain", id, router.LogPath())
		return out
	}, testcluster.WaitTimeout, 100*time.Millisecond).Should(ContainSubstring(want))
}

// TestAFailedRequestIsExplainedFromTheLogs brings about the three kinds of failed
// requests of docs/OPERATIONS.md and finds each cause by the command alone.
func TestAFailedRequestIsExplainedFromTheLogs(t *testing.T) {
	f := startFleet(t, 1)
	w := f.startWorker("i-1")
	router := f.routers[0]
	_, _, err := f.askWhenUp(router)
	f.Expect(err).NotTo(HaveOccurred())
	f.explains(router, "refused, and no server has run it: no route table yet")

	f.configure(f.config(7, 1000))
	f.serves(router, "/debit/x")
	f.explains(router, "answered by i-1 with status 200")

	w.setMode(modeClose)
	response, _, err := f.ask(router, http.MethodPost, "/debit/x")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	f.explains(router, "failed after it may have run on i-1")

	w.setMode(modeCutStream)
	_, _, err = f.ask(router, http.MethodPost, "/debit/x")
	f.Expect(err).To(HaveOccurred(), "the answer does not look complete")
	f.explains(router, `the stream was cut after event "2" from i-1`)
}
