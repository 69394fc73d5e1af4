// Package backend sends requests to backend servers over HTTP/1.1 connections of
// its own. It never sends a request twice, tells whether a byte of it may have
// been written, and takes only the answer that belongs to the request.
package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// ConnectTimeout bounds the set-up of a connection. Connections inside a region
	// take some milliseconds and between regions some tens.
	ConnectTimeout = 350 * time.Millisecond
	// secondDial is when a second connection is tried beside the first: a lost
	// opening packet is sent again after a second only.
	secondDial = 120 * time.Millisecond
	// unackedLimit is the time after which a connection is given up whose bytes the
	// server's machine does not confirm. Lost packets are sent again after 200 and
	// 600 ms.
	unackedLimit = 1000 * time.Millisecond
	// idleDefault is how long a connection is kept where the server names no limit.
	idleDefault = 10 * time.Second
	// idleMargin is the share of the server's own limit after which a connection
	// is no longer used, so that a request does not cross the server's close.
	idleMargin = 0.7
	// inlineBodyBytes is the largest body that is written before the answer is
	// read; a larger one is written beside it, because a server may answer early.
	inlineBodyBytes = 8 << 10
	readBufferBytes = 4 << 10
	// maxForeignAnswers bounds the answers to earlier requests that are skipped.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 256 << 10
)

// Errors of a send.
var (
	ErrForeignAnswer = errors.New("the connection carries answers to other requests")
)

// Request is one attempt at a server.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the request declares a body, which may be empty.
	HasBody bool
	// AcceptAnswer reports whether an answer belongs to the request.
	AcceptAnswer func(*http.Response) bool
}

// SendError tells why a server did not begin to answer.
type SendError struct {
	Cause error
	// Written says that a byte of the request may have reached the server.
	Written bool
	// Reused says that the connection had carried an earlier request.
	Reused bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Client keeps the connections to all servers. It is safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// Opened counts new connections.
	opened func()
}

// NewClient returns a client; opened is called for each new connection.
func NewClient(opened func()) *Client {
	return &Client{idle: make(map[string][]*conn), opened: opened}
}

// Exchange is a request that a server has begun to answer.
type Exchange struct {
	*http.Response
	client  *Client
	conn    *conn
	body    chan error
	release func() bool
	ended   bool
}

// Send sends a request once and waits for the answer's head. When ctx ends the
// connection is closed, which takes the request back at most servers. Errors are
// *SendError.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*Exchange, error) {
	connection, err := c.take(ctx, address)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	release := context.AfterFunc(ctx, func() { _ = connection.Close() })
	ex := &Exchange{client: c, conn: connection, release: release}
	if err := ex.write(request); err != nil {
		return nil, ex.failed(ctx, err)
	}
	if err := ex.readHead(request); err != nil {
		return nil, ex.failed(ctx, err)
	}
	return ex, nil
}

func (e *Exchange) failed(ctx context.Context, err error) error {
	e.release()
	_ = e.conn.Close()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &SendError{Cause: err, Written: true, Reused: e.conn.reused}
}

func (e *Exchange) write(request *Request) error {
	head := request.head()
	if len(request.Body) <= inlineBodyBytes {
		_, err := e.conn.Write(append(head, request.Body...))
		return errors.Wrap(err, "write a request")
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Wrap(err, "write a request")
	}
	e.body = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(request.Body)
		e.body <- err
	}()
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

// readHead reads the head of the request's own answer. Answers to earlier
// requests are read to their end and dropped.
func (e *Exchange) readHead(request *Request) error {
	asked := &http.Request{Method: request.Method}
	for range maxForeignAnswers + 1 {
		response, err := http.ReadResponse(e.conn.reader, asked)
		if err != nil {
			return errors.Wrap(err, "read an answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.AcceptAnswer(response) {
			e.Response = response
			return nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.Close {
			return ErrForeignAnswer
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil || n == maxForeignBytes {
			return ErrForeignAnswer
		}
	}
	return ErrForeignAnswer
}

// Close ends the exchange. The connection is kept where the answer was read to
// its end and nothing follows it.
func (e *Exchange) Close(whole bool) {
	if e.ended {
		return
	}
	e.ended = true
	stopped := e.release()
	if !whole || !stopped || !e.bodySent() || !e.keeps() {
		_ = e.conn.Close()
		return
	}
	e.client.put(e.conn, e.idleTime())
}

// bodySent reports whether the whole request was written. A server that has
// answered before is owed the rest of the body, so its connection is given up.
func (e *Exchange) bodySent() bool {
	if e.body == nil {
		return true
	}
	select {
	case err := <-e.body:
		return err == nil
	default:
		return false
	}
}

func (e *Exchange) keeps() bool {
	framed := e.ContentLength >= 0 || len(e.TransferEncoding) > 0
	return framed && !e.Response.Close && e.ProtoAtLeast(1, 1) && e.conn.reader.Buffered() == 0
}

// idleTime returns how long the connection may stay idle.
func (e *Exchange) idleTime() time.Duration {
	for field := range strings.SplitSeq(e.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(float64(seconds) * idleMargin * float64(time.Second))
		}
	}
	return idleDefault
}

// Abort closes the connection, so that a read of the answer fails.
func (e *Exchange) Abort() { _ = e.conn.Close() }
