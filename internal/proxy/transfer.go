package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// maxTries bounds the backend servers that one request is sent to without any
// progress.
const maxTries = 3

// avoidFailed is how long a request waits for a server that has not failed it.
const avoidFailed = 100 * time.Millisecond

// transfer carries one call to backend servers, one after the other.
type transfer struct {
	proxy *Proxy
	call  *call
	job   job
	w     http.ResponseWriter
	// waiting bounds the time before a dispatch, running the time after it.
	waiting, running context.Context
	// attempt holds the claim of the call's key.
	attempt ledger.AttemptID
	exclude []balance.ServerID
}

// failure tells why a try on a server brought no whole answer.
type failure struct {
	err *api.Error
	// answer is what the server answered, where it answered at all.
	answer *answer
	// unsent says that no byte was written.
	unsent bool
	// repeatable says that another server may be tried.
	repeatable bool
	// blameless says that the server is not at fault.
	blameless bool
}

// run tries servers until one has answered. It returns why none has.
func (t *transfer) run() error {
	for try := 1; ; try++ {
		before := t.call.stream.offset()
		failed := t.try()
		if t.call.stream.offset() > before {
			// A stream that has come further is not failing everywhere.
			try = 1
		}
		if failed == nil {
			return nil
		}
		if !t.mayRepeat(failed, try) {
			return t.giveUp(failed)
		}
		retries.Inc()
	}
}

func (t *transfer) mayRepeat(failed *failure, try int) bool {
	if !failed.repeatable || try >= maxTries || t.waiting.Err() != nil {
		return false
	}
	if failed.unsent {
		// The server got no work, so that another try adds no load.
		return true
	}
	if !t.proxy.budgets.spend(t.call.stream.offset() > 0) {
		budgetExhausted.Inc()
		return false
	}
	return true
}

// giveUp answers with what the last server answered, or returns its error.
func (t *transfer) giveUp(failed *failure) error {
	if failed.answer == nil || t.call.streamStarted() || failed.answer.refusedAsNotRun() {
		return failed.err
	}
	if err := t.call.life.end(t.call.key != ""); err != nil {
		return err
	}
	failed.answer.write(t.w, t.call.life.outcome())
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
	firstByte := t.job.firstByte(t.proxy.progress)
	ex, err := t.proxy.upstream.send(t.running, t.outgoing(lease), string(lease.Server), firstByte)
	if err != nil {
		failed := t.sendFailed(lease, err)
		result.Failed = !failed.blameless
		return failed
	}
	defer ex.close()
	ex.began = func(took time.Duration) {
		result.FirstByte = took
		lease.FirstByte(took)
	}
	failed = t.receive(ex, lease)
	result.Failed = failed != nil && !failed.blameless
	return failed
}

func (t *transfer) outgoing(lease *dispatch.Lease) outgoing {
	out := t.job.local
	if lease.Remote {
		out = t.job.remote
	}
	if offset := t.call.stream.offset(); offset > 0 {
		resumes.Inc()
		return out.resumeAt(offset)
	}
	return out
}

// acquire returns a lease on a server. Where all others are out of question,
// a server that failed the request before is taken again.
func (t *transfer) acquire() (*dispatch.Lease, *failure) {
	if err := context.Cause(t.waiting); err != nil {
		return nil, &failure{err: callerError(err), blameless: true}
	}
	request := t.job.balance
	request.Exclude = t.exclude
	// Another router would claim the key again; a broken stream goes on here.
	request.NoOverflow = request.NoOverflow || t.call.key != "" || t.call.stream.offset() > 0
	lease, err := t.acquireOther(request)
	if lease == nil && t.waiting.Err() == nil {
		request.Exclude = nil
		lease, err = t.acquireAny(t.waiting, request)
	}
	if err == nil {
		return lease, nil
	}
	if cause := context.Cause(t.waiting); cause != nil {
		err = cause
	}
	return nil, &failure{err: callerError(err), blameless: true}
}

// acquireOther returns a lease on a server that has not failed the request, or
// nil where none has room for avoidFailed.
func (t *transfer) acquireOther(request balance.Request) (*dispatch.Lease, error) {
	if len(request.Exclude) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(t.waiting, avoidFailed)
	defer cancel()
	return t.acquireAny(ctx, request)
}

func (t *transfer) acquireAny(ctx context.Context, request balance.Request) (*dispatch.Lease, error) {
	route := t.job.route
	return t.proxy.dispatcher.Acquire(ctx, t.call.view, route.Pool, route.Model, request)
}

// sendFailed tells what follows from a server that did not begin to answer.
func (t *transfer) sendFailed(lease *dispatch.Lease, err error) *failure {
	var sent *sendError
	if !errors.As(err, &sent) {
		return &failure{err: callerError(err)}
	}
	if sent.written {
		return t.lost(lease, sent.cause)
	}
	t.decline()
	if !sent.stale {
		t.exclude = append(t.exclude, lease.Server)
	}
	return &failure{err: callerError(sent.cause), unsent: true, repeatable: true, blameless: t.running.Err() != nil}
}

// decline records that the request did not run on the server that had it last.
func (t *transfer) decline() {
	if t.call.key != "" && t.call.life.current() == stateDispatched {
		t.proxy.fire(t.call, eventDeclineClaimed)
		return
	}
	t.proxy.fire(t.call, eventDecline)
}

// lost tells what follows from a server that failed after it may have begun to
// run the request: an idempotent one goes on elsewhere, another one ends.
func (t *transfer) lost(lease *dispatch.Lease, cause error) *failure {
	failed := &failure{err: callerError(cause), blameless: t.running.Err() != nil}
	if !t.job.idempotent {
		t.proxy.fire(t.call, eventFail)
		return failed
	}
	if t.running.Err() != nil {
		canceledAtServer.Inc()
		return failed
	}
	t.proxy.fire(t.call, eventLose)
	t.exclude = append(t.exclude, lease.Server)
	failed.repeatable = true
	return failed
}

// callerError returns the numbered error for a failed try.
func callerError(cause error) *api.Error {
	var numbered *api.Error
	switch {
	case errors.As(cause, &numbered):
		return numbered
	case errors.Is(cause, errNoProgress):
		return api.Errorf(api.CodeTimeout, "the backend server made no progress in time")
	case errors.Is(cause, errCutOff):
		return api.Errorf(api.CodeDraining, "%v", cause)
	case errors.Is(cause, context.Canceled):
		return api.Errorf(api.CodeBackendFailed, "the caller left")
	default:
		return api.Errorf(api.CodeBackendFailed, "%v", cause)
	}
}
