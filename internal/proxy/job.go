package proxy

import (
	"context"
	"crypto/sha256"
	"net/http"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// job describes how to execute a call.
type job struct {
	route      catalog.Route
	idempotent bool
	// chat is set if answers are chat completions, which carry the request ID.
	chat bool
	// stream is set if the answer is a stream of server-sent events.
	stream bool
	// backendRequest is sent to a backend server, forwardedRequest to a router of
	// another failure domain.
	backendRequest, forwardedRequest outboundRequest
	placement                        balance.Request
}

// defaultIdempotentMethods lists the methods of plain services that may be
// retried if the pool does not list its own.
var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

func isIdempotent(spec *api.PoolSpec, method string) bool {
	methods := spec.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	return slices.Contains(methods, method)
}

// firstByteTimeout returns how long to wait for the first byte of the answer:
// the route's deadline if it has one, else the progress timeout.
func (j job) firstByteTimeout(progressTimeout time.Duration) time.Duration {
	if j.route.DeadlineMS > 0 {
		return time.Duration(j.route.DeadlineMS) * time.Millisecond
	}
	return progressTimeout
}

// digest returns the digest that distinguishes the request from others with the
// same key.
func (j job) digest() ledger.Digest {
	hash := sha256.New()
	for _, part := range []string{j.backendRequest.method, j.backendRequest.path, string(j.backendRequest.body)} {
		_, _ = hash.Write([]byte(part + "\x00"))
	}
	return ledger.Digest(hash.Sum(nil))
}

// execute runs a job on a backend server and answers the caller.
func (p *Proxy) execute(w http.ResponseWriter, r *http.Request, c *call, j job) error {
	if j.idempotent {
		c.key = ""
	}
	waitCtx, cancelWait := p.withAbort(r.Context())
	defer cancelWait()
	t := &transfer{proxy: p, call: c, job: j, waitCtx: waitCtx, runCtx: waitCtx, w: w}
	if !j.idempotent {
		// A request that must not be repeated continues after its caller disconnects.
		runCtx, cancelRun := p.withAbort(context.WithoutCancel(r.Context()))
		defer cancelRun()
		t.runCtx = runCtx
	}
	if j.stream {
		memory := p.answerMemory.Share()
		defer memory.Release()
		c.callerStream = newCallerStream(w, c.key != "", memory)
	}
	if c.key != "" {
		return t.runWithClaim()
	}
	return t.run()
}

// withAbort returns a context that is also canceled when requests in progress are
// aborted.
func (p *Proxy) withAbort(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stopAbort := context.AfterFunc(p.abortCtx, func() { cancel(context.Cause(p.abortCtx)) })
	return ctx, func() {
		stopAbort()
		cancel(errExchangeDone)
	}
}
