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

// TestKeptConnectionsAreAnsweredAfterListenerCloses guards against kept-alive
// connections that a graceful shutdown closes unanswered. Streams begin before
// the shutdown and end after the listener has closed. Their responses did not
// announce "Connection: close", so each caller sends its next request on the same
// connection: it must get a complete answer or a numbered error.
func TestKeptConnectionsAreAnsweredAfterListenerCloses(t *testing.T) {
	t.Parallel()
	const callers = 20
	d := deploy(t, chatSpec(1, 2, settings.Timeouts{AnnounceMS: 50, SilenceMS: longSilenceMS}, "-token-time", "10ms"))
	d.waitServing("router-1")
	results := make(chan error, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { results <- d.askTwice(i) })
	}
	for i := range callers {
		d.Expect(testcluster.Eventually(func() error { return checkExecuted(d, firstRequestID(i)) })).To(Succeed())
	}
	stopping := d.Daemons["router-1"]
	d.Expect(stopping.Signal(sigterm)).To(Succeed())
	group.Wait()
	d.Expect(stopping.Wait()).To(Succeed(), "the exit code is 0")
	for range callers {
		d.Expect(<-results).To(Succeed())
	}
}

// firstRequestID returns the request ID of a caller's first request.
func firstRequestID(caller int) string { return fmt.Sprintf("first-%d", caller) }

// askTwice sends a streamed request and a second one on the same connection.
func (d deployment) askTwice(i int) error {
	caller := &testcluster.Caller{Token: callerToken, HTTP: http.Client{Transport: &http.Transport{}}}
	router := d.callersAddress("router-1")
	header := map[string][]string{api.HeaderRequestID: {firstRequestID(i)}}
	if err := caller.AskVerified(context.Background(), router, streamRequest(i, 150), header); err != nil {
		return fmt.Errorf("first request: %w", err)
	}
	err := caller.AskVerified(context.Background(), router, streamRequest(i, 5), nil)
	var refusal *api.Error
	if err == nil || errors.As(err, &refusal) {
		return nil
	}
	return fmt.Errorf("second request: %w", err)
}
