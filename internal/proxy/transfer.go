package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// maxTriesWithoutProgress bounds the consecutive tries of a request that bring no
// progress.
const maxTriesWithoutProgress = 3

// otherServerTimeout is how long a request waits for a server that it has not
// excluded before it accepts an excluded one.
const otherServerTimeout = 100 * time.Millisecond

// transfer runs a call on backend servers, one server at a time.
type transfer struct {
	proxy *Proxy
	call  *call
	job   job
	w     http.ResponseWriter
	// waitCtx bounds the time before a dispatch, runCtx the time after it. For a
	// request that must not be repeated, only waitCtx ends when the caller
	// disconnects.
	waitCtx, runCtx context.Context
	// attemptID identifies the attempt that holds the claim of the call's key.
	attemptID ledger.AttemptID
	// excluded lists the servers that failed or declined the request.
	excluded []balance.ServerID
}

// failure describes why a try on a server brought no complete answer.
type failure struct {
	apiErr *api.Error
	// answer is the server's answer, or nil.
	answer *answer
	// unsent is set if no byte was written.
	unsent bool
	// retryable is set if the request may be retried on another server.
	retryable bool
	// notServerFault is set if the failure must not count against the server.
	notServerFault bool
}

// run tries servers until one has answered or no retry is allowed. It returns the
// error of the last try unless it has already answered the caller.
func (t *transfer) run() error {
	for try := 1; ; try++ {
		offsetBefore := t.call.callerStream.offset()
		failed := t.try()
		if t.call.callerStream.offset() > offsetBefore {
			// The server made progress, so the stream does not fail on all servers.
			try = 1
		}
		if failed == nil {
			return nil
		}
		if !t.mayRetry(failed, try) {
			return t.reportFailure(failed)
		}
		retries.Inc()
	}
}

func (t *transfer) mayRetry(failed *failure, try int) bool {
	if !failed.retryable || try >= maxTriesWithoutProgress || t.waitCtx.Err() != nil {
		return false
	}
	if failed.unsent {
		// The server received no work, so a retry adds no load.
		return true
	}
	if !t.proxy.retryBudgets.spend(t.call.callerStream.offset() > 0) {
		retryBudgetExhausted.Inc()
		return false
	}
	return true
}

// reportFailure writes the last server's answer if there is one, or returns its error.
func (t *transfer) reportFailure(failed *failure) error {
	if failed.answer == nil || t.call.streamStarted() || failed.answer.declined() {
		return failed.apiErr
	}
	if err := t.call.state.finishWithoutAnswer(t.call.key != ""); err != nil {
		return err
	}
	failed.answer.write(t.w, t.call.state.outcome())
	return nil
}

// try sends the request to one server.
func (t *transfer) try() *failure {
	lease, failed := t.acquire()
	if failed != nil {
		return failed
	}
	result := balance.Result{}
	defer func() { lease.Release(result) }()
	t.proxy.fire(t.call, eventDispatch)
	firstByteTimeout := t.job.firstByteTimeout(t.proxy.progressTimeout)
	ex, err := t.proxy.upstream.send(t.runCtx, t.requestFor(lease), string(lease.Server), firstByteTimeout)
	if err != nil {
		failed := t.handleSendError(lease, err)
		result.Failed = !failed.notServerFault
		return failed
	}
	defer ex.close()
	ex.onFirstByte = func(took time.Duration) {
		result.FirstByte = took
		lease.RecordFirstByte(took)
	}
	failed = t.receive(ex, lease)
	result.Failed = failed != nil && !failed.notServerFault
	return failed
}

func (t *transfer) requestFor(lease *dispatch.Lease) outboundRequest {
	outbound := t.job.backendRequest
	if lease.Remote {
		outbound = t.job.forwardedRequest
	}
	if offset := t.call.callerStream.offset(); offset > 0 {
		streamResumes.Inc()
		return outbound.resumeAt(offset)
	}
	return outbound
}

// acquire returns a lease on a server. It accepts an excluded server if no other
// one is available.
func (t *transfer) acquire() (*dispatch.Lease, *failure) {
	if err := context.Cause(t.waitCtx); err != nil {
		return nil, &failure{apiErr: toAPIError(err), notServerFault: true}
	}
	request := t.job.placement
	request.Exclude = t.excluded
	// The other router would claim the key again, and a stream that has begun
	// must be resumed by this router.
	request.NoOverflow = request.NoOverflow || t.call.key != "" || t.call.callerStream.offset() > 0
	lease, err := t.acquireOther(request)
	if lease == nil && t.waitCtx.Err() == nil {
		request.Exclude = nil
		lease, err = t.requestLease(t.waitCtx, request)
	}
	if err == nil {
		return lease, nil
	}
	if cause := context.Cause(t.waitCtx); cause != nil {
		err = cause
	}
	return nil, &failure{apiErr: toAPIError(err), notServerFault: true}
}

// acquireOther returns a lease on a server that is not excluded, or nil if none is
// available within otherServerTimeout.
func (t *transfer) acquireOther(request balance.Request) (*dispatch.Lease, error) {
	if len(request.Exclude) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(t.waitCtx, otherServerTimeout)
	defer cancel()
	return t.requestLease(ctx, request)
}

func (t *transfer) requestLease(ctx context.Context, request balance.Request) (*dispatch.Lease, error) {
	route := t.job.route
	return t.proxy.dispatcher.Acquire(ctx, t.call.config, route.Pool, route.Model, request)
}

// handleSendError handles the failure of a server that did not begin to answer.
func (t *transfer) handleSendError(lease *dispatch.Lease, err error) *failure {
	var sendErr *backend.SendError
	if !errors.As(err, &sendErr) {
		return &failure{apiErr: toAPIError(err)}
	}
	if sendErr.Written {
		return t.handleServerFailure(lease, sendErr.Cause)
	}
	t.recordDecline()
	t.excluded = append(t.excluded, lease.Server)
	return &failure{apiErr: toAPIError(sendErr.Cause), unsent: true, retryable: true, notServerFault: t.runCtx.Err() != nil}
}

// recordDecline records that the request did not run on the last server.
func (t *transfer) recordDecline() {
	if t.call.key != "" && t.call.state.current() == stateDispatched {
		t.proxy.fire(t.call, eventDeclineClaimed)
		return
	}
	t.proxy.fire(t.call, eventDecline)
}

// handleServerFailure handles the failure of a server that may have begun to run
// the request. An idempotent request is retried on another server, any other one
// ends.
func (t *transfer) handleServerFailure(lease *dispatch.Lease, cause error) *failure {
	failed := &failure{apiErr: toAPIError(cause), notServerFault: t.runCtx.Err() != nil}
	if !t.job.idempotent {
		t.proxy.fire(t.call, eventFail)
		return failed
	}
	if t.runCtx.Err() != nil {
		canceledRequests.Inc()
		return failed
	}
	t.proxy.fire(t.call, eventLose)
	t.excluded = append(t.excluded, lease.Server)
	failed.retryable = true
	return failed
}

// toAPIError returns the API error for a failed try.
func toAPIError(cause error) *api.Error {
	var apiErr *api.Error
	switch {
	case errors.As(cause, &apiErr):
		return apiErr
	case errors.Is(cause, errNoProgress):
		return api.Errorf(api.CodeTimeout, "the backend server made no progress within the timeout")
	case errors.Is(cause, errAborted):
		return api.Errorf(api.CodeDraining, "%v", cause)
	case errors.Is(cause, context.Canceled):
		return api.Errorf(api.CodeBackendFailed, "the caller disconnected")
	default:
		return api.Errorf(api.CodeBackendFailed, "%v", cause)
	}
}
