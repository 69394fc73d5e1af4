package faults

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// TestKeptConnectionsAreAnsweredAfterAStream lets streams begin before a
// shutdown and end after the listener has closed. Their answers did not
// announce that the connection closes, so that each caller sends its next
// request on it: it must be answered, whole or with a numbered refusal.
func TestKeptConnectionsAreAnsweredAfterAStream(t *testing.T) {
	t.Parallel()
	const callers = 20
	d := deploy(t, chatSpec(1, 2, settings.Timeouts{AnnounceMS: 50, SilenceMS: patientSilenceMS}, "-token-time", "10ms"))
	d.firstAnswer("router-1")
	results := make(chan error, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { results <- d.askTwice(i) })
	}
	for i := range callers {
		d.Expect(testcluster.Eventually(func() error { return executed(d, firstID(i)) })).To(Succeed())
	}
	leaving := d.Daemons["router-1"]
	d.Expect(leaving.Signal(sigterm)).To(Succeed())
	group.Wait()
	d.Expect(leaving.Wait()).To(Succeed(), "the exit code is 0")
	for range callers {
		d.Expect(<-results).To(Succeed())
	}
}

// firstID is the request ID of a caller's first request.
func firstID(caller int) string { return fmt.Sprintf("first-%d", caller) }

// askTwice streams an answer and asks again on the same connection.
func (d deployed) askTwice(i int) error {
	caller := &testcluster.Caller{Token: callerToken, HTTP: http.Client{Transport: &http.Transport{}}}
	router := d.callers("router-1")
	header := map[string][]string{api.HeaderRequestID: {firstID(i)}}
	if err := caller.AskVerified(context.Background(), router, streamRequest(i, 150), header); err != nil {
		return fmt.Errorf("first: %w", err)
	}
	err := caller.AskVerified(context.Background(), router, streamRequest(i, 5), nil)
	var refusal *api.Error
	if err == nil || errors.As(err, &refusal) {
		return nil
	}
	return fmt.Errorf("second: %w", err)
}
