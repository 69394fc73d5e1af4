package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/placement"
)

const (
	// maxAnswerBytes bounds an answer that is read whole before it is passed on.
	maxAnswerBytes = 16 << 20
	// maxSends bounds the servers that are asked for one request, those included
	// that refuse it.
	maxSends = 4
	// tryShare is the share of the time left that one of several tries may take.
	tryShare = 0.45
)

var errNoAnswer = errors.New("the server did not answer in time")

// perform sends the request to one server after the other as far as its kind, the
// route and the budget allow, until one has answered.
func (c *call) perform() error {
	for {
		lease, err := c.acquire()
		if err != nil {
			return err
		}
		failure := c.attempt(lease)
		if failure == nil {
			return nil
		}
		if !c.mayGoOn(failure) {
			return failure.end(c)
		}
		c.gateway.metrics.repeats.Inc()
		c.exclude = append(c.exclude, lease.id)
		c.log(zerolog.InfoLevel).Str("server", lease.id).Int("sends", c.sends).Err(failure.err).Msg("request is sent to another server")
	}
}

func (c *call) acquire() (*lease, error) {
	limit := time.Duration(waitShare * float64(c.route.Objective))
	if c.sends > 0 {
		limit /= 2
	}
	limit = min(limit, time.Until(c.deadline)/2)
	begun := time.Now()
	lease, err := c.pool.acquire(c.ctx, c.placeRequest(), c.priority(), limit)
	if err == nil {
		c.gateway.metrics.placed(lease, time.Since(begun))
	}
	if err != nil && c.ctx.Err() != nil {
		return nil, c.timeError(context.Cause(c.ctx))
	}
	return lease, err
}

// failure tells why an attempt did not answer the caller.
type failure struct {
	err error
	// notRun says that the server did not run the request.
	notRun bool
	// unsent says that nothing has reached the server, so that another send is none
	// more for the pool.
	unsent bool
	// answer is the server's own answer, which is passed on where no other comes.
	answer *wholeAnswer
}

// end passes the server's answer on, or returns the error for a refusal.
func (f *failure) end(c *call) error {
	if f.answer != nil && !f.notRun && (c.stream == nil || !c.stream.started) {
		return c.pass(f.answer)
	}
	return f.err
}

// mayGoOn reports whether the request may be sent once more.
func (c *call) mayGoOn(f *failure) bool {
	if c.ctx.Err() != nil || c.sends >= maxSends {
		return false
	}
	if !f.notRun && (!c.route.Repeatable() || c.attempts >= max(c.route.MaxServers, 1)) {
		return false
	}
	return f.unsent || c.pool.mayRepeat()
}

// wholeAnswer is a server's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to a server and passes its answer on. A failure says
// whether the server may have run it.
func (c *call) attempt(lease *lease) *failure {
	c.sends++
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.tryLimit(), func() { cancel(errNoAnswer) })
	defer watchdog.Stop()
	ex, err := c.gateway.client.Send(ctx, lease.address, c.outgoing(lease))
	if err != nil {
		return c.sendFailed(lease, err)
	}
	answer := c.gateway.dialect.ParseAnswer(ex.StatusCode, ex.Header)
	lease.told(answer.Load)
	took := time.Since(lease.sent)
	if answer.NotRun {
		return c.declined(lease, ex)
	}
	c.mayHaveRun = true
	c.attempts++
	if ex.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		ex.Close(false)
		lease.end(placement.Result{Kind: placement.ResultFailed, FirstByte: took})
		return &failure{err: api.Errorf(api.CodeBackendFailed, "the answer of %s bears no signature", lease.id)}
	}
	if isEventStream(ex) {
		watchdog.Stop()
		return c.relay(ctx, ex, lease)
	}
	return c.takeWhole(ctx, ex, lease, took)
}

// tryLimit returns the time that an attempt may take to begin its answer. The last
// one that the request may make is bounded by the request's own limit, which comes
// before this one.
func (c *call) tryLimit() time.Duration {
	if c.route.Repeatable() && c.attempts+1 < c.route.MaxServers {
		return time.Duration(tryShare * float64(time.Until(c.deadline)))
	}
	return 2 * c.route.Timeout
}

func (c *call) outgoing(lease *lease) *backend.Request {
	out := Outbound{Timeout: time.Until(c.deadline), Server: lease.id, LastEvent: c.in.LastEvent, CopyFrom: lease.copyFrom}
	if c.customer != nil {
		out.Customer = c.customer.Name
	}
	if c.stream != nil && c.stream.lastID != "" {
		out.LastEvent = c.stream.lastID
	}
	if len(c.in.Parts) > 0 {
		priority := min(max(c.priority(), 0), 9)
		out.Urgency = &priority
	}
	dialect, id := c.gateway.dialect, c.in.ID
	return &backend.Request{
		Method: c.r.Method, Target: targetOf(c.r), Host: c.r.Host, Body: c.body,
		HasBody:      c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != "",
		Header:       dialect.Forward(c.r.Header, out),
		AcceptAnswer: func(r *http.Response) bool { return dialect.AnswersAttempt(id, r.Header) },
	}
}

// sendFailed judges a send without an answer.
func (c *call) sendFailed(lease *lease, err error) *failure {
	var sendErr *backend.SendError
	written := !errors.As(err, &sendErr) || sendErr.Written
	if written {
		c.mayHaveRun = true
		c.attempts++
	}
	kind := placement.ResultLost
	switch {
	case c.ctx.Err() != nil:
		kind = placement.ResultUnknown
	case !written:
		kind = placement.ResultUnreachable
		c.gateway.client.CloseIdle(lease.address)
	}
	lease.end(placement.Result{Kind: kind})
	c.logAttempt(lease).Bool("written", written).Err(err).Msg("send failed")
	if c.ctx.Err() != nil {
		return &failure{err: c.timeError(context.Cause(c.ctx)), notRun: !written}
	}
	return &failure{err: api.Errorf(api.CodeBackendFailed, "%s: %v", lease.id, err), notRun: !written, unsent: !written}
}

// timeError names why a request ended without an answer.
func (c *call) timeError(cause error) error {
	if errors.Is(cause, errTimeLimit) || errors.Is(cause, context.DeadlineExceeded) {
		return api.Errorf(api.CodeTimeout, "no answer within %v", time.Since(c.begun).Round(time.Millisecond))
	}
	if errors.Is(cause, errCut) {
		return api.Errorf(api.CodeDraining, "%v", cause)
	}
	return api.Errorf(api.CodeBackendFailed, "%v", cause)
}

// declined takes a server's statement that it did not run the request.
func (c *call) declined(lease *lease, ex *backend.Exchange) *failure {
	_, err := io.Copy(io.Discard, io.LimitReader(ex.Body, maxAnswerBytes))
	ex.Close(err == nil)
	lease.end(placement.Result{Kind: placement.ResultRefused})
	c.logAttempt(lease).Int("status", ex.StatusCode).Msg("server did not run the request")
	return &failure{err: api.Errorf(api.CodeOverloaded, "%s refused with status %d", lease.id, ex.StatusCode), notRun: true}
}

// takeWhole reads an answer to its end and passes it on.
func (c *call) takeWhole(ctx context.Context, ex *backend.Exchange, lease *lease, took time.Duration) *failure {
	body, err := io.ReadAll(io.LimitReader(ex.Body, maxAnswerBytes))
	ex.Close(err == nil)
	if err != nil {
		lease.end(placement.Result{Kind: placement.ResultLost})
		if c.ctx.Err() != nil {
			return &failure{err: c.timeError(context.Cause(c.ctx))}
		}
		return &failure{err: api.Errorf(api.CodeBackendFailed, "%s broke its answer off: %v", lease.id, cause(ctx, err))}
	}
	answer := &wholeAnswer{status: ex.StatusCode, header: ex.Header, body: body}
	if ex.StatusCode >= http.StatusInternalServerError {
		lease.end(placement.Result{Kind: placement.ResultFailed, FirstByte: took})
		c.logAttempt(lease).Int("status", answer.status).Msg("server failed the request")
		return &failure{err: api.Errorf(api.CodeBackendFailed, "%s answered with status %d", lease.id, ex.StatusCode), answer: answer}
	}
	lease.end(placement.Result{Kind: placement.ResultAnswered, FirstByte: took})
	c.logAttempt(lease).Int("status", answer.status).Dur("total", time.Since(c.begun)).Msg("request answered")
	if err := c.pass(answer); err != nil {
		return &failure{err: err}
	}
	return nil
}

// logAttempt returns a log line with what decided a send to a server.
func (c *call) logAttempt(lease *lease) *zerolog.Event {
	line := c.log(zerolog.InfoLevel).Str("server", lease.id).Str("address", lease.address).Int("sends", c.sends).
		Str("choice", string(lease.choice.Reason)).Float64("load", lease.choice.Load).
		Dur("took", time.Since(lease.sent))
	if lease.choice.Age >= 0 {
		line = line.Dur("loadAge", lease.choice.Age)
	}
	if len(c.in.Parts) > 0 {
		line = line.Str("promptKey", promptKey(c.in.Parts)).Int("tokens", tokensOf(c.in.Parts)).Str("copyFrom", lease.copyFrom)
	}
	return line
}

func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// pass sends a server's whole answer to the caller.
func (c *call) pass(answer *wholeAnswer) error {
	copyAnswerHeader(c.w.Header(), answer.header)
	c.w.WriteHeader(answer.status)
	_, err := c.w.Write(answer.body)
	c.gateway.metrics.outcome(c, "answered")
	c.gateway.metrics.answered(c.kind(), time.Since(c.begun))
	if err != nil {
		c.log(zerolog.DebugLevel).Err(err).Msg("the caller left before its answer")
	}
	return nil
}

func copyAnswerHeader(to, from http.Header) {
	closes := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	httpx.RemoveHopByHopHeaders(to)
	if closes != "" {
		to.Set("Connection", closes)
	}
}
