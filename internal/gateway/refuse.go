package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Bounds of the time after which a refused caller is asked to come back.
const (
	// retrySoonest is about the time in which a busy server frees a place.
	retrySoonest = 150 * time.Millisecond
	// startTakes is about the time from a router's start to its route table after a loss
	// of power of all: control replicas load their state for 0.5 s, elect a leader within
	// 0.2 s, and are found within 0.2 s.
	startTakes = 900 * time.Millisecond
	// retryStarting is the pause where a router still knows no table or server after
	// that: servers announce themselves every 1.2 s.
	retryStarting = 800 * time.Millisecond
	// retrySpread keeps callers that were refused together from coming back together.
	retrySpread = 350 * time.Millisecond
	// retryLeft is the share of the caller's time that a retry may wait.
	retryLeft = 0.3
)

// refuse ends a call without a server's answer. What it says of the request
// having run follows from what was sent, not from the error.
func (c *call) refuse(err error) {
	g := c.gateway
	numbered := *api.AsError(err)
	numbered.RequestID = c.in.ID
	end := c.log(zerolog.InfoLevel).Int("code", int(numbered.Code)).Bool("mayHaveRun", c.mayHaveRun).Int("sends", c.sends).
		Dur("total", time.Since(c.begun)).Str("cause", numbered.Message)
	if c.r.Context().Err() != nil {
		g.metrics.outcome(c, "left")
		end.Msg("caller left")
		panic(http.ErrAbortHandler)
	}
	switch {
	case c.stream != nil && c.stream.started:
		end.Str("lastEvent", c.stream.lastID).Msg("stream cut")
	case c.mayHaveRun:
		end.Msg("request failed")
	default:
		end.Msg("request refused")
	}
	if c.stream != nil && c.stream.started {
		g.metrics.outcome(c, "cut")
		// The caller sees that the answer is not complete.
		panic(http.ErrAbortHandler)
	}
	status := numbered.Code.Info().HTTPStatus
	if c.mayHaveRun {
		numbered.Outcome = api.OutcomeMayHaveRun
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status < http.StatusInternalServerError {
			status = http.StatusBadGateway
		}
	} else {
		numbered.Outcome = api.OutcomeNotRun
		if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
			status = http.StatusServiceUnavailable
			c.w.Header().Set("Retry-After", strconv.FormatFloat(c.retryAfter(numbered.Code).Seconds(), 'f', 3, 64))
		}
	}
	g.metrics.outcome(c, "refused")
	g.dialect.MarkRouterAnswer(c.w.Header(), c.in.ID)
	httpx.WriteJSON(c.w, status, &api.ErrorBody{Error: &numbered})
}

func (c *call) retryAfter(code api.Code) time.Duration {
	after := retrySoonest
	if code == api.CodeNotConfigured || code == api.CodeNoBackendServer {
		after = retryStarting
		if left := startTakes - c.begun.Sub(c.gateway.started); left > 0 {
			after = max(left, retrySoonest)
		}
	}
	after += rand.N(retrySpread)
	if left := c.timeLeft(); left > 0 {
		after = min(after, time.Duration(retryLeft*float64(left)))
	}
	return max(after, time.Millisecond)
}

// timeLeft returns how long the caller still waits, 0 where that is not known.
func (c *call) timeLeft() time.Duration {
	if !c.deadline.IsZero() {
		return time.Until(c.deadline)
	}
	return c.in.Timeout - time.Since(c.begun)
}
