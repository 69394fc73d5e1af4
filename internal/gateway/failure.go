package gateway

import (
	"context"
	"io"
	"syscall"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/placement"
)

// failure is why an attempt did not answer the caller.
type failure struct {
	err error
	// notRun reports whether the server certainly did not run the request.
	notRun bool
	// unsent reports whether no byte reached the server. Another send then adds no
	// load to the pool and costs no retry budget.
	unsent bool
	// withheld reports whether the request was not sent because of a warm-up or an evacuation. The next
	// send is then no retry.
	withheld bool
	// lostServer reports whether the server closed the connection before it began to answer.
	lostServer bool
	// answer is the server's error answer, forwarded if no other server answers.
	answer *bufferedAnswer
}

// finish forwards the server's error answer if there is one, or returns the error with
// which the call is refused.
func (f *failure) finish(c *call) error {
	if f.answer != nil && !f.notRun && !c.answerStarted() {
		return c.writeAnswer(f.answer)
	}
	return f.err
}

// mayRetry reports whether the request may be sent to another server. A request that a
// server may have run is retried only if its route is retryable.
func (c *call) mayRetry(f *failure) bool {
	if c.ctx.Err() != nil || c.forwarding || c.sends >= maxSends || f.lostServer && !c.mayRetryAfterLoss() {
		return false
	}
	if !f.notRun && (!c.route.Retryable() || c.attempts >= max(c.route.MaxServers, 1)) {
		return false
	}
	return f.unsent || c.pool.spendRetry()
}

// handleSendError records a send that failed before an answer arrived.
func (c *call) handleSendError(lease *lease, err error) *failure {
	if errors.Is(err, errWarmingUp) || errors.Is(err, errEvacuated) {
		return c.handleWithheldSend(lease, err)
	}
	var sendErr *backend.SendError
	written := !errors.As(err, &sendErr) || sendErr.Written
	if written {
		c.mayHaveRun = true
		c.attempts++
	}
	result := lossResult(err)
	switch {
	case c.ctx.Err() != nil:
		result.Kind = placement.ResultUnknown
	case !written:
		result = placement.Result{Kind: placement.ResultUnreachable}
		c.gateway.client.CloseIdle(lease.address)
	}
	lease.release(result)
	c.logAttempt(lease).Bool("written", written).Err(err).Msg("send failed")
	lostServer := written && c.recordLoss(lease, err)
	if c.ctx.Err() != nil {
		return &failure{err: c.contextError(context.Cause(c.ctx)), notRun: !written}
	}
	return &failure{err: api.Errorf(api.CodeBackendFailed, "%s: %v", lease.id, err), notRun: !written, unsent: !written, lostServer: lostServer}
}

// lossResult returns the result of a send whose connection was lost after a byte was sent. The kernel
// times a connection out if the server's machine acknowledges nothing, which may be a restart too.
func lossResult(err error) placement.Result {
	byServer := backend.IsClosedByServer(err) || errors.Is(err, syscall.ETIMEDOUT)
	return placement.Result{Kind: placement.ResultLost, ByRouter: !byServer}
}

// callerError returns the error of a write to the caller without its cause: a connection that the caller
// has closed must not look like one that the server has closed.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Errorf("write to the caller: %v", err)
}

// callerWriter writes to the caller; its errors are those of callerError.
type callerWriter struct{ io.Writer }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	return n, callerError(err)
}
