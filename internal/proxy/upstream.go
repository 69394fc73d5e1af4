package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the connections to backend servers.
const (
	connectTimeout      = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
	// transportRetention is how long the transport of an unused server is kept.
	transportRetention = 5 * time.Minute
	// drainTimeout and maxDrainBytes bound what comes after a stream's explicit end.
	drainTimeout  = time.Second
	maxDrainBytes = 4096
)

var (
	errNoProgress = errors.New("no progress in time")
	errFinished   = errors.New("the exchange is over")
)

// upstream sends requests to backend servers, over a transport for each, so
// that the connections of one server can be given up alone.
type upstream struct {
	progress time.Duration

	mu         sync.Mutex
	transports map[string]*serverTransport
}

// serverTransport is the transport of one server and the time of its last use.
type serverTransport struct {
	*http.Transport
	usedAt time.Time
}

func newUpstream(progress time.Duration) *upstream {
	return &upstream{progress: progress, transports: make(map[string]*serverTransport)}
}

func (u *upstream) transport(address string) *http.Transport {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	known := u.transports[address]
	if known == nil {
		u.forgetUnused(now)
		known = &serverTransport{Transport: newTransport()}
		u.transports[address] = known
	}
	known.usedAt = now
	return known.Transport
}

func (u *upstream) forgetUnused(now time.Time) {
	for address, transport := range u.transports {
		if now.Sub(transport.usedAt) > transportRetention {
			transport.CloseIdleConnections()
			delete(u.transports, address)
		}
	}
}

func newTransport() *http.Transport {
	dialer := &trackedDialer{net.Dialer{Timeout: connectTimeout}}
	return &http.Transport{
		DialContext:         dialer.dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	}
}

// exchange is a request that a server has begun to answer.
type exchange struct {
	*http.Response
	upstream *upstream
	address  string
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	// sent is when the request was sent, and began runs with the time that the
	// answer took to begin.
	sent  time.Time
	began func(took time.Duration)
}

// sendError tells why a server did not begin to answer.
type sendError struct {
	cause error
	// written says that a byte of the request may have reached the server.
	written bool
	// stale says that the connection had carried an earlier request.
	stale bool
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// send sends a request once and waits up to firstByte for the answer to begin: a
// stream with its first event, another answer with its head. It never repeats a
// request. Errors are *sendError.
func (u *upstream) send(ctx context.Context, out outgoing, address string, firstByte time.Duration) (*exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	tracker := &writeTracker{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { tracker.got(info.Conn, info.Reused) },
	})
	req, err := out.build(traced, address)
	if err != nil {
		cancel(errFinished)
		return nil, &sendError{cause: err}
	}
	sent := time.Now()
	watchdog := time.AfterFunc(firstByte, func() { cancel(errNoProgress) })
	resp, err := u.transport(address).RoundTrip(req)
	if err != nil {
		watchdog.Stop()
		cause := u.cause(ctx, address, err)
		cancel(errFinished)
		return nil, &sendError{cause: cause, written: tracker.giveUp(), stale: tracker.wasReused()}
	}
	return &exchange{Response: resp, upstream: u, address: address, cancel: cancel, watchdog: watchdog, sent: sent}, nil
}

// isStream reports whether the answer is a stream of server-sent events.
func (e *exchange) isStream() bool {
	return e.StatusCode == http.StatusOK && isType(e.Header.Get("Content-Type"), typeEventStream)
}

// begin tells that the answer has begun, the first time that it is called.
func (e *exchange) begin() {
	if e.began == nil {
		return
	}
	e.began(time.Since(e.sent))
	e.began = nil
}

// cause returns why an exchange failed. After a time without progress, the
// idle connections of the server are closed too: they may be as silent as the
// one that failed.
func (u *upstream) cause(ctx context.Context, address string, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	if errors.Is(cause, errNoProgress) {
		progressTimeouts.Inc()
		u.transport(address).CloseIdleConnections()
	}
	return cause
}

// progressed starts the time without progress anew.
func (e *exchange) progressed() { e.watchdog.Reset(e.upstream.progress) }

// pause stops the time without progress until the next progress.
func (e *exchange) pause() { e.watchdog.Stop() }

// failure returns why reading the answer failed.
func (e *exchange) failure(err error) error {
	return e.upstream.cause(e.Request.Context(), e.address, err)
}

// drain reads the rest of an answer whose explicit end has come, so that the
// connection can carry the next request.
func (e *exchange) drain() {
	e.watchdog.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, e.Body, maxDrainBytes)
}

// close ends the exchange. The request is canceled at the server where the
// answer was not read to its end.
func (e *exchange) close() {
	e.watchdog.Stop()
	_ = e.Body.Close()
	e.cancel(errFinished)
}
