package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/placement"
)

const (
	// maxBufferedAnswerBytes is the largest answer that is read completely before it is forwarded.
	// A larger one is forwarded as it arrives, so that it takes no memory.
	maxBufferedAnswerBytes = 64 << 10
	// maxDiscardedBytes bounds the body of an answer by which a server refuses a request.
	maxDiscardedBytes = 64 << 10
	// maxSends bounds the sends of one request, including those that a server refuses.
	maxSends = 4
	// attemptTimeoutShare is the share of the remaining time that an attempt may take if the request may
	// be retried on another server and the answer does not arrive fast enough.
	attemptTimeoutShare = 0.45
)

var errAttemptTimeout = errors.New("no answer within the attempt timeout")

// sendWithRetries sends the request to one server after another until one answers or
// the route, the request's idempotency or the retry budget forbids another send.
func (c *call) sendWithRetries() error {
	for {
		lease, err := c.acquire()
		if err != nil {
			return err
		}
		// The request may have waited for the slot for some time.
		if err := c.checkPrompt(); err != nil {
			lease.release(placement.Result{Kind: placement.ResultUnknown})
			return err
		}
		failure := c.attempt(lease)
		if failure == nil {
			return nil
		}
		if !c.mayRetry(failure) {
			return failure.finish(c)
		}
		if failure.withheld {
			continue
		}
		c.gateway.metrics.retries.Inc()
		c.exclude = append(c.exclude, lease.id)
		c.log(zerolog.InfoLevel).Str("server", lease.id).Int("sends", c.sends).Err(failure.err).Msg("retrying the request on another server")
	}
}

// recordWithdrawal records what the server's answer says about further requests to it.
func (c *call) recordWithdrawal(lease *lease, answer Answer) {
	leaving, paused := lease.recordWithdrawal(answer.Leaving, answer.Pause)
	line := func() *zerolog.Event {
		return c.gateway.log.Info().Str("server", lease.id).Str("address", lease.address).Str("requestId", c.in.ID).Str("source", "answer")
	}
	if leaving {
		c.gateway.client.CloseIdle(lease.address)
		line().Msg("backend server is leaving")
	}
	if paused {
		line().Time("until", time.Now().Add(answer.Pause)).Msg("backend server wants no requests")
	}
}

// bufferedAnswer is a server's answer that was read completely; see maxBufferedAnswerBytes.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to a server and forwards its answer. A returned failure
// reports whether the server may have run the request.
func (c *call) attempt(lease *lease) *failure {
	c.sends++
	c.lastServer = lease.hash
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	timer := newAttemptTimer(c.attemptTimeout(), c.deadline, func() { cancel(errAttemptTimeout) })
	defer timer.stop()
	guard := c.newStallGuard(lease, func() { cancel(errServerLost) })
	defer guard.stop()
	ex, err := c.gateway.client.Send(ctx, lease.address, c.backendRequest(lease))
	if err != nil {
		return c.handleSendError(lease, err)
	}
	answer := c.gateway.dialect.ParseAnswer(ex.StatusCode, ex.Header)
	lease.recordLoad(answer.Load)
	c.recordWithdrawal(lease, answer)
	firstByte := time.Since(lease.sentAt)
	if answer.NotRun {
		c.recordRate(lease, answer)
		return c.handleNotRun(lease, ex)
	}
	c.mayHaveRun = true
	c.attempts++
	if ex.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		ex.Close(false)
		lease.release(placement.Result{Kind: placement.ResultFailed, FirstByte: firstByte})
		return &failure{err: api.Errorf(api.CodeBackendFailed, "answer of %s has no signature", lease.id)}
	}
	c.recordRate(lease, answer)
	if isEventStream(ex) {
		timer.stop()
		guard.recordProgress()
		return c.relayStream(ctx, guard, ex, lease)
	}
	guard.stop()
	if c.streamStarted() {
		return c.rejectAsContinuation(ex, lease, firstByte)
	}
	return c.relayAnswer(ctx, timer, ex, lease, firstByte)
}

// attemptTimeout returns how long the server may take before it has to show progress. The last attempt
// that the request may make is bounded by the request's own deadline, which expires first. So is one that
// may be resumed: its server may still work on it, see stallGuard.
func (c *call) attemptTimeout() time.Duration {
	if c.route.Retryable() && !c.route.Resumable && c.attempts+1 < c.route.MaxServers {
		return time.Duration(attemptTimeoutShare * float64(time.Until(c.deadline)))
	}
	return 2 * c.route.Timeout
}

func (c *call) backendRequest(lease *lease) *backend.Request {
	out := Outbound{Timeout: time.Until(c.deadline), ServerID: lease.id, LastEventID: c.in.LastEventID, CopyFrom: lease.copyFrom}
	if c.customer != nil {
		out.Customer = c.customer.Name
	}
	if c.stream != nil && c.stream.lastID != "" {
		out.LastEventID = c.stream.lastID
	}
	if len(c.in.PromptParts) > 0 {
		priority := min(max(c.priority(), 0), 9)
		out.Priority = &priority
	}
	return &backend.Request{
		ID: c.in.ID, Method: c.r.Method, Target: targetOf(c.r), Host: c.r.Host, Body: c.body,
		HasBody:      c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != "",
		Header:       c.gateway.dialect.Forward(c.r.Header, out),
		AcceptAnswer: func(r *http.Response, connReused bool) bool { return c.acceptAnswer(lease, r, connReused) },
		BeforeWrite:  lease.confirmSend,
	}
}

// contextError returns the caller's error for a request whose context ended before an answer.
func (c *call) contextError(cause error) error {
	if errors.Is(cause, errDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded) {
		return api.Errorf(api.CodeTimeout, "no answer within %v", time.Since(c.receivedAt).Round(time.Millisecond))
	}
	if errors.Is(cause, errAborted) {
		return api.Errorf(api.CodeDraining, "%v", cause)
	}
	return api.Errorf(api.CodeBackendFailed, "%v", cause)
}

// handleNotRun handles an answer by which the server states that it did not run the request.
func (c *call) handleNotRun(lease *lease, ex *backend.Exchange) *failure {
	ex.Discard(maxDiscardedBytes)
	lease.release(placement.Result{Kind: placement.ResultRefused})
	c.logAttempt(lease).Str("localAddress", ex.LocalAddress()).Int("status", ex.StatusCode).Msg("server did not run the request")
	return &failure{err: api.Errorf(api.CodeOverloaded, "%s refused the request with status %d", lease.id, ex.StatusCode), notRun: true}
}

// rejectAsContinuation handles an answer that is no stream after a part of one was forwarded.
func (c *call) rejectAsContinuation(ex *backend.Exchange, lease *lease, firstByte time.Duration) *failure {
	ex.Close(false)
	lease.release(placement.Result{Kind: placement.ResultFailed, FirstByte: firstByte})
	c.logAttempt(lease).Int("status", ex.StatusCode).Str("lastEvent", c.stream.lastID).Msg("server did not resume the stream")
	return &failure{err: api.Errorf(api.CodeStreamBroken, "%s answered with status %d instead of resuming the stream", lease.id, ex.StatusCode)}
}

// relayAnswer forwards an answer that is no stream. One of up to maxBufferedAnswerBytes is read
// completely first, so that another server can take over if it ends early or takes too long.
func (c *call) relayAnswer(ctx context.Context, timer *attemptTimer, ex *backend.Exchange, lease *lease, firstByte time.Duration) *failure {
	progress := &bodyProgress{Reader: ex.Body, length: ex.ContentLength, startedAt: time.Now()}
	timer.watch(progress)
	body, err := io.ReadAll(io.LimitReader(progress, maxBufferedAnswerBytes+1))
	if err == nil && len(body) > maxBufferedAnswerBytes {
		timer.stop()
		return c.relayLargeAnswer(ctx, ex, lease, body, firstByte)
	}
	if err == nil && len(body) == 0 && !ex.IsFramed() && c.r.Method != http.MethodHead {
		// An answer without a length ends with its connection. Before its body, only a server that
		// failed ends it.
		err = io.ErrUnexpectedEOF
	}
	ex.Close(err == nil)
	if err != nil {
		return c.handleBrokenAnswer(ctx, lease, err)
	}
	answer := &bufferedAnswer{status: ex.StatusCode, header: ex.Header, body: body}
	if ex.StatusCode >= http.StatusInternalServerError {
		lease.release(placement.Result{Kind: placement.ResultFailed, FirstByte: firstByte})
		c.logAttempt(lease).Int("status", answer.status).Msg("server failed the request")
		return &failure{err: api.Errorf(api.CodeBackendFailed, "%s answered with status %d", lease.id, ex.StatusCode), answer: answer}
	}
	c.recordAnswer()
	lease.release(placement.Result{Kind: placement.ResultAnswered, FirstByte: firstByte})
	c.logAttempt(lease).Int("status", answer.status).Dur("total", time.Since(c.receivedAt)).Msg("request answered")
	if err := c.writeAnswer(answer); err != nil {
		return &failure{err: err}
	}
	return nil
}

// relayLargeAnswer forwards an answer as it arrives. If it ends early, the caller's connection is
// aborted, so that the answer does not look complete.
func (c *call) relayLargeAnswer(ctx context.Context, ex *backend.Exchange, lease *lease, start []byte, firstByte time.Duration) *failure {
	c.forwarding = true
	c.recordAnswer()
	c.copyAnswerHeader(ex.Header)
	if ex.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(ex.ContentLength, 10))
	}
	controller := http.NewResponseController(c.w)
	if err := controller.SetWriteDeadline(c.deadline); err != nil {
		c.log(zerolog.WarnLevel).Err(err).Msg("write deadline of the caller's connection not set")
	}
	c.w.WriteHeader(ex.StatusCode)
	c.gateway.metrics.recordFirstByte(c.kindLabel(), time.Since(c.receivedAt))
	to := callerWriter{c.w}
	_, err := to.Write(start)
	size := int64(len(start))
	if err == nil {
		var rest int64
		rest, err = io.Copy(to, ex.Body)
		size += rest
	}
	ex.Close(err == nil)
	if err != nil {
		return c.handleBrokenAnswer(ctx, lease, err)
	}
	kind := placement.ResultAnswered
	if ex.StatusCode >= http.StatusInternalServerError {
		kind = placement.ResultFailed
	}
	lease.release(placement.Result{Kind: kind, FirstByte: firstByte})
	c.gateway.metrics.recordOutcome(c, "answered")
	c.logAttempt(lease).Int("status", ex.StatusCode).Int64("bytes", size).Dur("total", time.Since(c.receivedAt)).Msg("request answered")
	// The server has no write timeout, so the deadline would apply to the connection's next answers.
	if err := controller.SetWriteDeadline(time.Time{}); err != nil {
		c.log(zerolog.WarnLevel).Err(err).Msg("write deadline of the caller's connection not removed")
	}
	return nil
}

// handleBrokenAnswer handles an answer whose body ended early.
func (c *call) handleBrokenAnswer(ctx context.Context, lease *lease, err error) *failure {
	cause := contextCause(ctx, err)
	result := lossResult(cause)
	if c.ctx.Err() != nil {
		result.Kind = placement.ResultUnknown
	}
	lease.release(result)
	c.logAttempt(lease).Err(cause).Msg("answer ended early")
	if c.ctx.Err() != nil {
		return &failure{err: c.contextError(context.Cause(c.ctx))}
	}
	return &failure{
		err:        api.Errorf(api.CodeBackendFailed, "answer of %s ended early: %v", lease.id, cause),
		lostServer: !c.forwarding && c.recordLoss(lease, cause),
	}
}

// writeAnswer writes a buffered answer to the caller.
func (c *call) writeAnswer(answer *bufferedAnswer) error {
	c.copyAnswerHeader(answer.header)
	c.w.WriteHeader(answer.status)
	_, err := c.w.Write(answer.body)
	c.gateway.metrics.recordOutcome(c, "answered")
	c.gateway.metrics.recordFirstByte(c.kindLabel(), time.Since(c.receivedAt))
	if err != nil {
		c.log(zerolog.DebugLevel).Err(err).Msg("caller disconnected before the answer was written")
	}
	return nil
}

// copyAnswerHeader copies those headers of a server's answer that are for the caller.
func (c *call) copyAnswerHeader(from http.Header) {
	to := c.w.Header()
	connection := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	httpx.RemoveHopByHopHeaders(to)
	c.gateway.dialect.ForwardAnswer(to)
	if connection != "" {
		to.Set("Connection", connection)
	}
}
