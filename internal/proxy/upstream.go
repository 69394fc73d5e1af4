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
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
	// transportRetention is how long the transport of an unused server is kept.
	transportRetention = 5 * time.Minute
	// drainTimeout and maxDrainBytes bound the read of what follows a stream's
	// explicit end.
	drainTimeout  = time.Second
	maxDrainBytes = 4096
)

var (
	errNoProgress   = errors.New("no progress within the timeout")
	errExchangeDone = errors.New("the exchange has ended")
)

// upstream sends requests to backend servers. Each server has its own transport,
// so that the connections to one server can be closed separately.
type upstream struct {
	progressTimeout time.Duration

	mu         sync.Mutex
	transports map[string]*serverTransport
}

// serverTransport is the transport of one server and the time of its last use.
type serverTransport struct {
	*http.Transport
	usedAt time.Time
}

func newUpstream(progressTimeout time.Duration) *upstream {
	return &upstream{progressTimeout: progressTimeout, transports: make(map[string]*serverTransport)}
}

func (u *upstream) transport(address string) *http.Transport {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	entry := u.transports[address]
	if entry == nil {
		u.evictUnused(now)
		entry = &serverTransport{Transport: newTransport()}
		u.transports[address] = entry
	}
	entry.usedAt = now
	return entry.Transport
}

func (u *upstream) evictUnused(now time.Time) {
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
		DialContext:            dialer.dial,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}

// exchange is a request that a server has begun to answer.
type exchange struct {
	*http.Response
	upstream *upstream
	address  string
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	// sentAt is when the request was sent. onFirstByte is called once with the time
	// to the first byte.
	sentAt      time.Time
	onFirstByte func(took time.Duration)
}

// sendError describes why a server did not begin to answer.
type sendError struct {
	cause error
	// written is set if a byte of the request may have reached the server.
	written bool
	// connReused is set if the connection had carried an earlier request.
	connReused bool
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// send sends a request once and waits up to firstByteTimeout for its answer to
// begin: for the first event of a stream, for the head of any other answer. It
// never repeats a request. Errors have the type *sendError.
func (u *upstream) send(ctx context.Context, outbound outboundRequest, address string, firstByteTimeout time.Duration) (*exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	tracker := &writeTracker{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { tracker.recordConn(info.Conn, info.Reused) },
	})
	req, err := outbound.build(traced, address)
	if err != nil {
		cancel(errExchangeDone)
		return nil, &sendError{cause: err}
	}
	sentAt := time.Now()
	watchdog := time.AfterFunc(firstByteTimeout, func() { cancel(errNoProgress) })
	resp, err := u.transport(address).RoundTrip(req)
	if err != nil {
		watchdog.Stop()
		cause := u.failureCause(ctx, address, err)
		cancel(errExchangeDone)
		return nil, &sendError{cause: cause, written: tracker.abandon(), connReused: tracker.connReused()}
	}
	return &exchange{Response: resp, upstream: u, address: address, cancel: cancel, watchdog: watchdog, sentAt: sentAt}, nil
}

// isStream reports whether the answer is a stream of server-sent events.
func (e *exchange) isStream() bool {
	return e.StatusCode == http.StatusOK && hasMediaType(e.Header.Get("Content-Type"), mediaTypeEventStream)
}

// recordFirstByte reports the time to the first byte on its first call.
func (e *exchange) recordFirstByte() {
	if e.onFirstByte == nil {
		return
	}
	e.onFirstByte(time.Since(e.sentAt))
	e.onFirstByte = nil
}

// failureCause returns why an exchange failed. After a progress timeout it also
// closes the idle connections to the server, which may be as unresponsive as the
// one that failed.
func (u *upstream) failureCause(ctx context.Context, address string, err error) error {
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

// recordProgress restarts the progress timeout.
func (e *exchange) recordProgress() { e.watchdog.Reset(e.upstream.progressTimeout) }

// pauseWatchdog stops the progress timeout until the next recordProgress.
func (e *exchange) pauseWatchdog() { e.watchdog.Stop() }

// readError returns why reading the answer failed.
func (e *exchange) readError(err error) error {
	return e.upstream.failureCause(e.Request.Context(), e.address, err)
}

// drainBody reads what follows the explicit end of an answer, so that the
// connection can be reused.
func (e *exchange) drainBody() {
	e.watchdog.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, e.Body, maxDrainBytes)
}

// close ends the exchange. The request is canceled at the server unless the answer
// was read to its end.
func (e *exchange) close() {
	e.watchdog.Stop()
	_ = e.Body.Close()
	e.cancel(errExchangeDone)
}
