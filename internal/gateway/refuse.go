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

// Constants of the Retry-After header of a refusal.
const (
	// minRetryAfter is the shortest delay that the header can state, which has three decimals.
	minRetryAfter = time.Millisecond
	// baseRetryAfter is about the time in which a busy server frees a slot.
	baseRetryAfter = 150 * time.Millisecond
	// startupDuration is about the time from a router's start to its first route table after a
	// power loss of the whole cluster: control replicas load their state for 0.5 s, elect
	// a leader within 0.2 s, and are found within 0.2 s.
	startupDuration = 900 * time.Millisecond
	// startupRetryAfter applies if a router has no route table or no server after
	// startupDuration: servers announce themselves every 1.2 s.
	startupRetryAfter = 800 * time.Millisecond
	// retryAfterJitter spreads the retries of callers that were refused at the same time.
	retryAfterJitter = 350 * time.Millisecond
	// retryAfterShare is the share of the caller's remaining time that Retry-After may take.
	retryAfterShare = 0.3
)

// refuse ends a call without a server's answer. The outcome that it reports (not run, or
// may have run) depends on what was sent, not on the error. A started answer, and a call
// whose caller disconnected, are aborted by a panic with http.ErrAbortHandler.
func (c *call) refuse(err error) {
	g := c.gateway
	apiErr := *api.AsError(err)
	apiErr.RequestID = c.in.ID
	event := c.log(zerolog.InfoLevel).Int("code", int(apiErr.Code)).Bool("mayHaveRun", c.mayHaveRun).Int("sends", c.sends).
		Dur("total", time.Since(c.receivedAt)).Str("cause", apiErr.Message)
	if c.r.Context().Err() != nil {
		g.metrics.recordOutcome(c, "left")
		event.Msg("caller left")
		panic(http.ErrAbortHandler)
	}
	switch {
	case c.streamStarted():
		event.Str("lastEvent", c.stream.lastID).Msg("stream cut")
	case c.forwarding:
		event.Msg("answer cut")
	case c.mayHaveRun:
		event.Msg("request failed")
	default:
		event.Msg("request refused")
	}
	if c.answerStarted() {
		g.metrics.recordOutcome(c, "cut")
		if c.stream != nil {
			c.stream.writer.flushNow()
		}
		// Aborting the connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	status := apiErr.Code.Info().HTTPStatus
	if c.mayHaveRun {
		apiErr.Outcome = api.OutcomeMayHaveRun
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status < http.StatusInternalServerError {
			status = http.StatusBadGateway
		}
	} else {
		apiErr.Outcome = api.OutcomeNotRun
		if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
			status = http.StatusServiceUnavailable
			c.w.Header().Set("Retry-After", strconv.FormatFloat(c.retryAfter(apiErr.Code).Seconds(), 'f', 3, 64))
		}
	}
	g.metrics.recordOutcome(c, "refused")
	g.dialect.MarkRouterAnswer(c.w.Header(), c.in.ID)
	write := func() { httpx.WriteJSON(c.w, status, &api.ErrorBody{Error: &apiErr}) }
	if apiErr.Code != api.CodeMemoryExhausted {
		write()
	} else if err := httpx.AnswerUnread(c.w, c.r, c.callerDeadline(), write); err != nil {
		c.log(zerolog.InfoLevel).Err(err).Msg("body of a refused request not read to its end")
	}
}

func (c *call) retryAfter(code api.Code) time.Duration {
	if code == api.CodePromptWithheld {
		return max(time.Until(c.withheldUntil), baseRetryAfter)
	}
	if code == api.CodeDraining {
		// Another router can serve the request at once.
		return minRetryAfter
	}
	if remaining := time.Until(c.availableAt); remaining > 0 {
		// Servers that have asked for a pause should not receive all callers at its end.
		return remaining + rand.N(max(retryAfterJitter, remaining/2))
	}
	delay := baseRetryAfter
	if code == api.CodeNotConfigured || code == api.CodeNoBackendServer || code == api.CodeDomainEvacuated {
		delay = startupRetryAfter
		if remaining := startupDuration - c.receivedAt.Sub(c.gateway.startedAt); remaining > 0 {
			delay = max(remaining, baseRetryAfter)
		}
	}
	delay += rand.N(retryAfterJitter)
	if remaining := c.remainingTime(); remaining > 0 {
		delay = min(delay, time.Duration(retryAfterShare*float64(remaining)))
	}
	return max(delay, minRetryAfter)
}

// callerDeadline returns the caller's deadline, or the zero time if it is unknown.
func (c *call) callerDeadline() time.Time {
	if c.deadline.IsZero() && c.in.Timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(c.remainingTime())
}

// remainingTime returns the time until the caller's deadline; at most 0 if it is unknown or
// has passed.
func (c *call) remainingTime() time.Duration {
	if !c.deadline.IsZero() {
		return time.Until(c.deadline)
	}
	return c.in.Timeout - time.Since(c.receivedAt)
}
