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

// job is what is to be done for a call.
type job struct {
	route      catalog.Route
	idempotent bool
	// chat says that answers are chat completions and carry the request ID.
	chat bool
	// stream says that the answer is a stream of server-sent events.
	stream bool
	// local is the request to a backend server, remote that to another router.
	local, remote outgoing
	balance       balance.Request
}

// defaultIdempotent lists the methods of plain services that may be repeated
// where the pool does not list its own.
var defaultIdempotent = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

func isIdempotent(spec *api.PoolSpec, method string) bool {
	methods := spec.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotent
	}
	return slices.Contains(methods, method)
}

// firstByte returns the longest time to the head of the answer.
func (j job) firstByte(progress time.Duration) time.Duration {
	if j.route.DeadlineMS > 0 {
		return time.Duration(j.route.DeadlineMS) * time.Millisecond
	}
	return progress
}

// digest identifies the request among those that use the same key.
func (j job) digest() ledger.Digest {
	hash := sha256.New()
	for _, part := range []string{j.local.method, j.local.path, string(j.local.body)} {
		_, _ = hash.Write([]byte(part + "\x00"))
	}
	return ledger.Digest(hash.Sum(nil))
}

// perform carries a job to a backend server and answers the caller.
func (p *Proxy) perform(w http.ResponseWriter, r *http.Request, c *call, j job) error {
	if j.idempotent {
		c.key = ""
	}
	waiting, stopWaiting := p.withCut(r.Context())
	defer stopWaiting()
	t := &transfer{proxy: p, call: c, job: j, waiting: waiting, running: waiting, w: w}
	if !j.idempotent {
		// A run that may not be repeated goes on when its caller leaves.
		running, stopRunning := p.withCut(context.WithoutCancel(r.Context()))
		defer stopRunning()
		t.running = running
	}
	if j.stream {
		c.stream = newCallerStream(w, c.key != "")
	}
	if c.key != "" {
		return t.runClaimed()
	}
	return t.run()
}

// withCut returns a context that also ends when requests are cut off.
func (p *Proxy) withCut(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	unlink := context.AfterFunc(p.cut, func() { cancel(context.Cause(p.cut)) })
	return ctx, func() {
		unlink()
		cancel(errFinished)
	}
}
