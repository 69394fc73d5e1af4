package httpx

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// closePollInterval is how often a draining server checks for connections to close.
	closePollInterval = 10 * time.Millisecond
	// firstRequestGrace is how long a new connection may take to deliver its first request
	// while the server drains: a lost packet is retransmitted after 200 ms.
	firstRequestGrace = 500 * time.Millisecond
	// readBytesClosing is the value of connActivity.readBytes once the server closes the connection.
	readBytesClosing = -1
)

// DrainingServer is an HTTP server that shuts down without losing a request that it has
// begun to read, and without running one whose caller sees only the close of its connection.
// Shutdown of net/http closes a connection whose request is still being read.
type DrainingServer struct {
	server *http.Server
	mu     sync.Mutex
	conns  map[net.Conn]*connActivity
}

// connActivity tracks whether a connection is idle. The server's mutex guards all fields
// except readBytes.
type connActivity struct {
	// readBytes counts the bytes read from the connection, and is readBytesClosing from the
	// decision to close it.
	readBytes atomic.Int64
	// idle reports whether no request is in progress; readBytesAtIdle is the value of readBytes
	// when the connection became idle.
	idle            bool
	readBytesAtIdle int64
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
}

// decideToClose reports whether no request is in progress, partly read or expected as the first
// one of a new connection. If so, nothing more is read from the connection.
func (a *connActivity) decideToClose(conn net.Conn) bool {
	readBytes := a.readBytes.Load()
	if readBytes == 0 && time.Since(a.acceptedAt) < firstRequestGrace {
		return false
	}
	if !a.idle || readBytes != a.readBytesAtIdle || !hasNoUnreadData(conn) {
		return false
	}
	return a.readBytes.CompareAndSwap(readBytes, readBytesClosing)
}

// countRead counts n bytes, or returns false after the decision to close the connection.
func (a *connActivity) countRead(n int) bool {
	for {
		readBytes := a.readBytes.Load()
		if readBytes == readBytesClosing {
			return false
		}
		if a.readBytes.CompareAndSwap(readBytes, readBytes+int64(n)) {
			return true
		}
	}
}

// countingConn counts the bytes that the server reads, and delivers none after the decision to
// close the connection.
type countingConn struct {
	net.Conn
	activity *connActivity
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.activity.countRead(n) {
		// net/http answers 400 to other types of errors.
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

// countingListener wraps accepted connections and registers them with the server.
type countingListener struct {
	net.Listener
	server *DrainingServer
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	activity := &connActivity{idle: true, acceptedAt: time.Now()}
	counted := &countingConn{Conn: conn, activity: activity}
	l.server.mu.Lock()
	l.server.conns[counted] = activity
	l.server.mu.Unlock()
	return counted, nil
}

// NewDrainingServer returns a server for the handler. idleTimeout is how long a
// keep-alive connection may stay without a request.
func NewDrainingServer(handler http.Handler, idleTimeout time.Duration) *DrainingServer {
	s := &DrainingServer{conns: make(map[net.Conn]*connActivity)}
	s.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: ReadHeaderTimeout, IdleTimeout: idleTimeout, ConnState: s.trackState,
	}
	return s
}

func (s *DrainingServer) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	activity := s.conns[conn]
	if activity == nil {
		return
	}
	switch state {
	case http.StateActive:
		activity.idle = false
	case http.StateIdle:
		activity.idle, activity.readBytesAtIdle = true, activity.readBytes.Load()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// Serve serves connections until the listener is closed, and then returns nil.
func (s *DrainingServer) Serve(listener net.Listener) error {
	err := s.server.Serve(&countingListener{Listener: listener, server: s})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// Drain closes the connections as they become idle. The listener must be closed and Serve must
// have returned before: a connection that is being accepted is not known until then.
// Drain returns nil once no connection is left, or ctx's error if ctx ends first.
func (s *DrainingServer) Drain(ctx context.Context) error {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeIdle closes the connections that carry no request and returns the number of
// remaining ones.
func (s *DrainingServer) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, activity := range s.conns {
		if activity.decideToClose(conn.(*countingConn).Conn) {
			_ = conn.Close()
			delete(s.conns, conn)
		}
	}
	return len(s.conns)
}

// Close closes all connections, including those with requests in progress.
func (s *DrainingServer) Close() { _ = s.server.Close() }
