package gateway

import (
	"context"

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
	// withheld reports whether the request was not sent because the server is warming up. It may be
	// sent to the server later.
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
	if errors.Is(err, errWarmingUp) {
		return c.handleWithheldSend(lease)
	}
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
	lease.release(placement.Result{Kind: kind})
	c.logAttempt(lease).Bool("written", written).Err(err).Msg("send failed")
	lostServer := written && c.recordLoss(lease, err)
	if c.ctx.Err() != nil {
		return &failure{err: c.contextError(context.Cause(c.ctx)), notRun: !written}
	}
	return &failure{err: api.Errorf(api.CodeBackendFailed, "%s: %v", lease.id, err), notRun: !written, unsent: !written, lostServer: lostServer}
}
