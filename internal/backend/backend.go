// Package backend is an HTTP/1.1 client for backend servers with its own connection
// pool. It sends a request at most once, reports whether a byte of it may have been
// written, and accepts only the answer that belongs to the request. No connection carries
// two requests with the same ID, so an answer's ID identifies the send among those of its
// connection.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// ConnectTimeout bounds connection setup, which takes some milliseconds within a
	// region and some tens of milliseconds between regions.
	ConnectTimeout = 350 * time.Millisecond
	// secondDialDelay is when a second connection attempt starts in parallel: TCP
	// retransmits a lost SYN only after a second.
	secondDialDelay = 120 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection. Lost packets are retransmitted after 200 and 600 ms.
	unackedTimeout = 1000 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleTimeoutShare is the share of the server's Keep-Alive timeout after which an idle
	// connection is not reused, so that no request races with the server's close.
	idleTimeoutShare = 0.7
	// inlineBodyBytes is the largest body that is written before the answer is read. A
	// larger one is written concurrently, because a server may answer early.
	inlineBodyBytes = 8 << 10
	readBufferBytes = 4 << 10
	// maxUnmatchedAnswers bounds the answers to earlier requests that a send skips.
	maxUnmatchedAnswers = 2
	// maxUnmatchedAnswerBytes bounds the body of a skipped answer.
	maxUnmatchedAnswerBytes = 256 << 10
	// MaxRequestsPerConn bounds the requests that a connection carries, and with them its memory of
	// their IDs. To forget one of them instead would let a late copy of its answer pass.
	MaxRequestsPerConn = 256
	// maxUnusedIdle bounds the idle connections to a server that sends open beside those that the requests
	// in flight need: a server accepts some tens to hundreds from all routers together.
	maxUnusedIdle = 2
	// maxIdle bounds the idle connections to all servers together. In a fleet of 3,000 servers a router
	// seldom meets a server again before its idle connection expires, and its descriptors are limited.
	maxIdle = 384
	// maxInterimAnswers bounds the interim answers (1xx) before one final answer.
	maxInterimAnswers = 100
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
)

// Errors of a send.
var (
	ErrUnmatchedAnswer = errors.New("connection delivered answers to other requests")
	ErrHeadTooLarge    = errors.New("head of the answer exceeds the size limit")
	ErrInvalidHead     = errors.New("answer has no valid status or protocol version")
)

// Request is one attempt to send a request to a server.
type Request struct {
	// ID is what the server echoes in its answers. A request without an ID takes a new
	// connection, because any answer without one seems to belong to it.
	ID     string
	Method string
	// Target is the undecoded path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody reports whether the request declares a body, which may be empty.
	HasBody bool
	// AcceptAnswer reports whether an answer belongs to the request. connReused means that the
	// connection comes from the pool: unless it was only probed, it has carried an earlier request,
	// whose answer may come once more.
	AcceptAnswer func(answer *http.Response, connReused bool) bool
	// BeforeWrite is called once there is a connection and before anything is written to it. With an
	// error, the request is not sent. It may be nil.
	BeforeWrite func(ConnInfo) error
}

// ConnInfo is what is known of the connection of a request before it is written.
type ConnInfo struct {
	// New is set if the connection was set up for the request.
	New bool
	// LostIdle is set if the server has closed an idle connection before its idle timeout.
	LostIdle bool
}

// SendError is the error of a send that received no answer head.
type SendError struct {
	Cause error
	// Written reports whether a byte of the request may have reached the server.
	Written bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// IsClosedByServer reports whether a send or the read of an answer failed because the server
// closed the connection, and not because of a timeout or of this process.
func IsClosedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// IsServerDown reports whether a connection could not be opened because nothing accepts it at the
// server's address, and not because of a lack of resources of this process.
func IsServerDown(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout()
}

// Client keeps a pool of connections to all servers. It is safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// idleCount is the number of idle connections to all servers.
	idleCount int
	hooks     Hooks
	limits    Limits
	// statedIdle has the latest idle timeout that a server has stated, by address. It applies to
	// connections that have not carried an answer: one that the server closes earlier than expected
	// looks like the end of its process.
	statedIdle map[string]time.Duration
	// shortestIdle is the shortest of these timeouts, for servers that have not stated one.
	shortestIdle time.Duration
}

// Hooks are called at events of a client's pool. All must be set.
type Hooks struct {
	// Opened is called for each new connection.
	Opened func()
	// Dialed is called for each attempt to open a connection; it may be nil.
	Dialed func(DialReason)
	// Evicted is called for each idle connection that was closed because there were Limits.MaxIdle; it
	// may be nil.
	Evicted func()
	// PassedOver is called for each send for which an idle connection that had not expired was not
	// used because it has carried a request with the same ID.
	PassedOver func()
}

// DialReason is why a client tries to open a connection.
type DialReason string

// Reasons for attempts.
const (
	// DialRequest is for a request for which no idle connection could be used.
	DialRequest DialReason = "request"
	// DialProbe is for a test whether a server is reachable.
	DialProbe DialReason = "probe"
	// DialSecond is for a connection that was not open secondDialDelay after the first attempt.
	DialSecond DialReason = "second_attempt"
)

// Limits are the limits of a client's connections.
type Limits struct {
	// Connect bounds connection setup.
	Connect time.Duration
	// Unacked is how long sent data may stay unacknowledged before the kernel closes the
	// connection. Zero stands for the kernel's own limit.
	Unacked time.Duration
	// MaxIdle bounds the idle connections to all servers together; the one that expires first is
	// closed for a newer one. Zero means no bound.
	MaxIdle int
}

// NewClient returns a client that calls the hooks.
func NewClient(hooks Hooks) *Client {
	return NewClientWithLimits(hooks, Limits{Connect: ConnectTimeout, Unacked: unackedTimeout, MaxIdle: maxIdle})
}

// NewClientWithLimits returns a client with other limits than those of NewClient.
func NewClientWithLimits(hooks Hooks, limits Limits) *Client {
	return &Client{idle: make(map[string][]*conn), statedIdle: make(map[string]time.Duration), hooks: hooks, limits: limits}
}

// Exchange is a request and the answer whose head has arrived. Close must be called.
type Exchange struct {
	*http.Response
	client     *Client
	conn       *conn
	upload     *upload
	stopCancel func() bool
	// mu guards closed.
	mu     sync.Mutex
	closed bool
}

// Send sends a request at most once and waits for the answer's head. When ctx ends, it
// closes the connection; most servers then cancel the request. Errors are *SendError.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*Exchange, error) {
	connection, info, err := c.acquireConn(ctx, address, request.ID)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	if request.BeforeWrite != nil {
		if err := request.BeforeWrite(info); err != nil {
			c.returnUnused(connection)
			return nil, &SendError{Cause: err}
		}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = connection.Close() })
	ex := &Exchange{client: c, conn: connection, stopCancel: stopCancel}
	if err := ex.writeRequest(request); err != nil {
		return nil, ex.fail(ctx, err)
	}
	if err := ex.readHead(request); err != nil {
		return nil, ex.fail(ctx, err)
	}
	return ex, nil
}

func (e *Exchange) fail(ctx context.Context, err error) error {
	e.stopCancel()
	_ = e.conn.Close()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &SendError{Cause: err, Written: true}
}

func (e *Exchange) writeRequest(request *Request) error {
	head := request.head()
	if len(request.Body) <= inlineBodyBytes {
		_, err := e.conn.Write(append(head, request.Body...))
		return errors.Wrap(err, "write request")
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Wrap(err, "write request")
	}
	e.upload = startUpload(e.conn, request.Body)
	return nil
}

func (r *Request) head() []byte {
	var out bytes.Buffer
	out.Grow(1024 + min(len(r.Body), inlineBodyBytes))
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&out)
	if len(r.Body) > 0 || r.HasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// readHead reads the head of the answer that belongs to the request. Answers to earlier
// requests are read completely and discarded.
func (e *Exchange) readHead(request *Request) error {
	httpRequest := &http.Request{Method: request.Method}
	for range maxUnmatchedAnswers + 1 {
		response, err := e.conn.readFinalHead(httpRequest)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if request.AcceptAnswer(response, e.conn.reused) {
			e.Response = response
			if e.upload != nil && !e.IsFramed() {
				e.Body = &unframedBody{ReadCloser: e.Body, upload: e.upload}
			}
			return nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.Close {
			return ErrUnmatchedAnswer
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedAnswerBytes)); err != nil || n == maxUnmatchedAnswerBytes {
			return ErrUnmatchedAnswer
		}
	}
	return ErrUnmatchedAnswer
}

// Close ends the exchange; further calls do nothing. The connection returns to the pool
// if the answer was read completely and no data follows it, and is closed otherwise.
func (e *Exchange) Close(bodyRead bool) {
	if !e.markClosed() {
		return
	}
	stopped := e.stopCancel()
	if !bodyRead || !stopped || !e.isBodyWritten() || !e.isReusable() || len(e.conn.carried) >= MaxRequestsPerConn {
		_ = e.conn.Close()
		return
	}
	e.client.putIdle(e.conn, e.idleTimeout())
}

// markClosed returns false if the exchange was closed before.
func (e *Exchange) markClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	wasOpen := !e.closed
	e.closed = true
	return wasOpen
}

// isBodyWritten reports whether the whole request was written. If a server answers before,
// the rest of the body is still to be sent, so the connection cannot be reused.
func (e *Exchange) isBodyWritten() bool { return e.upload.hasSucceeded(0) }

// LocalAddress returns the local address of the connection, which identifies it.
func (e *Exchange) LocalAddress() string { return e.conn.LocalAddr().String() }

// IsFramed reports whether the answer has a length or chunks; otherwise it ends with its
// connection.
func (e *Exchange) IsFramed() bool { return e.ContentLength >= 0 || len(e.TransferEncoding) > 0 }

func (e *Exchange) isReusable() bool {
	return e.IsFramed() && !e.Response.Close && e.ProtoAtLeast(1, 1) && e.conn.reader.Buffered() == 0
}

// idleTimeout returns how long the connection may stay idle in the pool.
func (e *Exchange) idleTimeout() time.Duration {
	for field := range strings.SplitSeq(e.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			timeout := time.Duration(float64(seconds) * idleTimeoutShare * float64(time.Second))
			e.client.recordIdleTimeout(e.conn.address, timeout)
			return timeout
		}
	}
	return defaultIdleTimeout
}

// Discard reads the rest of the answer's body, up to limitBytes, and closes the exchange. The
// connection is kept if the body has ended by then.
func (e *Exchange) Discard(limitBytes int64) {
	n, err := io.Copy(io.Discard, io.LimitReader(e.Body, limitBytes+1))
	e.Close(err == nil && n <= limitBytes)
}
