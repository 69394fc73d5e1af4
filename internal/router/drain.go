package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// cutGrace is the time that cut requests get to answer with an explicit error
// and to release their claims.
const cutGrace = time.Second

// Times of waiting for the last requests.
const (
	// quietTime is how long kept-alive connections stay open after the last
	// request in progress. An answer that began before the drain did not announce
	// that its connection closes, so its caller may send one more request on it.
	quietTime = 500 * time.Millisecond
	quietPoll = 20 * time.Millisecond
)

// serveCallers serves callers until ctx ends, then drains: the readiness probe
// fails already, the listener stays open for the announce time, and then all
// requests in progress finish. The drain timeout or a second signal ends that.
func (r *Router) serveCallers(ctx context.Context) error {
	server := &http.Server{Handler: r.proxy.Handler(), ReadHeaderTimeout: httpx.ReadHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(r.callers) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(r.life.Forced(), r.settings.Timeouts.Drain())
	defer cancel()
	r.proxy.AnnounceDrain()
	actor.Sleep(limit, r.settings.Timeouts.Announce())
	_ = r.callers.Close()
	r.awaitQuiet(limit)
	if err := server.Shutdown(limit); err != nil {
		r.cutOff(server)
	}
	return nil
}

// awaitQuiet returns once no request has been in progress for quietTime, or ctx
// has ended.
func (r *Router) awaitQuiet(ctx context.Context) {
	quietSince := time.Now()
	for ctx.Err() == nil && time.Since(quietSince) < quietTime {
		if r.proxy.InProgress() > 0 {
			quietSince = time.Now()
		}
		actor.Sleep(ctx, quietPoll)
	}
}

// cutOff ends the requests in progress.
func (r *Router) cutOff(server *http.Server) {
	ids := r.proxy.AbortRequests()
	grace, cancel := context.WithTimeout(context.Background(), cutGrace)
	defer cancel()
	_ = server.Shutdown(grace)
	_ = server.Close()
	if len(ids) == 0 {
		return
	}
	r.log.Error().Int("count", len(ids)).Strs("requestIds", ids).Msg("the shutdown cut requests off")
	r.life.ReportCut(api.Errorf(api.CodeDrainCut, "%d requests in progress", len(ids)))
}
