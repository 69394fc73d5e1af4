package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// abortGracePeriod is how long aborted requests have to answer with an explicit
// error and to release their claims.
const abortGracePeriod = time.Second

// Timing of the wait for the last requests.
const (
	// idleGracePeriod is how long keep-alive connections stay open after the last
	// request in progress. An answer that began before the drain did not announce
	// that its connection closes, so its caller may send one more request on it.
	idleGracePeriod  = 500 * time.Millisecond
	idlePollInterval = 20 * time.Millisecond
)

// serveCallers serves callers until ctx ends, then drains: the readiness probe
// already fails, the listener stays open for the announce time, and then all
// requests in progress finish. The drain timeout or a second signal aborts those
// that remain. Callers may send requests on kept connections throughout; those of the
// second half of the drain timeout are refused.
func (r *Router) serveCallers(ctx context.Context) error {
	server := &http.Server{Handler: r.proxy.Handler(), ReadHeaderTimeout: httpx.ReadHeaderTimeout}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(r.callers) }()
	select {
	case err := <-serveResult:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(r.lifecycle.ForcedContext(), r.settings.Timeouts.Drain())
	defer cancel()
	r.proxy.AnnounceDrain(time.Now().Add(r.settings.Timeouts.Drain() / 2))
	actor.Sleep(drainCtx, r.settings.Timeouts.Announce())
	_ = r.callers.Close()
	// Shutdown would close a listener in use once more, and return the error.
	if err := <-serveResult; !errors.Is(err, net.ErrClosed) {
		r.log.Warn().Err(err).Msg("listener for callers failed")
	}
	r.waitUntilIdle(drainCtx)
	if err := server.Shutdown(drainCtx); err != nil {
		r.abortRequests(server)
	}
	return nil
}

// waitUntilIdle returns once no request has been in progress for idleGracePeriod,
// or when ctx ends.
func (r *Router) waitUntilIdle(ctx context.Context) {
	idleSince := time.Now()
	for ctx.Err() == nil && time.Since(idleSince) < idleGracePeriod {
		if r.proxy.InProgress() > 0 {
			idleSince = time.Now()
		}
		actor.Sleep(ctx, idlePollInterval)
	}
}

// abortRequests aborts the requests in progress and closes the server.
func (r *Router) abortRequests(server *http.Server) {
	ids := r.proxy.AbortRequests()
	graceCtx, cancel := context.WithTimeout(context.Background(), abortGracePeriod)
	defer cancel()
	_ = server.Shutdown(graceCtx)
	_ = server.Close()
	if len(ids) == 0 {
		return
	}
	r.log.Error().Int("count", len(ids)).Strs("requestIds", ids).Msg("shutdown aborted requests in progress")
	r.lifecycle.ReportAborted(api.Errorf(api.CodeDrainCut, "shutdown aborted %d requests in progress", len(ids)))
}
