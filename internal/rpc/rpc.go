// Package rpc provides drpc clients and servers for calls between daemons, and counts the
// bytes of each connection by purpose.
package rpc

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

const (
	// DialTimeout limits the time to establish a connection, with all attempts.
	DialTimeout = 2 * time.Second
	// dialAttemptTimeout limits one connection attempt. The operating system retransmits
	// a SYN that was lost, or was sent to a host that was still starting, only after 1 s;
	// peers in other regions answer within 100 ms.
	dialAttemptTimeout = 350 * time.Millisecond
	// unackedTimeout is how long data sent to a client may stay unacknowledged before the
	// connection is closed: a stream to a client that lost power would otherwise stay open
	// for minutes.
	unackedTimeout = 5 * time.Second
	// acceptRetryDelay is the time until connections are accepted again after a lack of resources.
	acceptRetryDelay = 20 * time.Millisecond
)

var acceptErrors = metrics.NewCounter("peridotwinch_rpc_accept_errors_total")

// maxIdleConns is the maximum number of idle connections that a client keeps.
const maxIdleConns = 4

// Purpose identifies the kind of traffic on a connection. It is the first byte that a
// client sends, so that both ends count the connection's bytes under the same name.
type Purpose byte

// Purposes of connections.
const (
	PurposeConfig    Purpose = 'c'
	PurposeMember    Purpose = 'm'
	PurposeLedger    Purpose = 'l'
	PurposeConsensus Purpose = 'r'
	PurposeForward   Purpose = 'f'
	PurposeStatus    Purpose = 's'
	PurposeReserve   Purpose = 'p'
	PurposeFleet     Purpose = 'w'
	PurposeSlots     Purpose = 'o'
)

// String returns the name of the purpose in metrics.
func (p Purpose) String() string {
	switch p {
	case PurposeConfig:
		return "config"
	case PurposeMember:
		return "member"
	case PurposeLedger:
		return "ledger"
	case PurposeConsensus:
		return "consensus"
	case PurposeForward:
		return "forward"
	case PurposeStatus:
		return "status"
	case PurposeReserve:
		return "reserve"
	case PurposeFleet:
		return "fleet"
	case PurposeSlots:
		return "slots"
	}
	return "unknown"
}

// Server serves the registered services on a listener.
type Server struct {
	mux *drpcmux.Mux
}

// NewServer returns a server without registered services.
func NewServer() *Server { return &Server{mux: drpcmux.New()} }

// Mux returns the multiplexer with which services are registered.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts and serves connections until ctx is done, and then returns nil. It closes
// the listener. While the process lacks descriptors or memory it tries again, and it returns any
// other error of Accept.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.New(s.mux)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if isResourceShortage(err) {
			// The process would lose all of its connections with an exit.
			acceptErrors.Inc()
			actor.Sleep(ctx, acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accept a connection")
		}
		go s.serveConn(ctx, server, conn)
	}
}

// isResourceShortage reports whether a call failed for lack of descriptors or memory.
func isResourceShortage(err error) bool {
	return slices.ContainsFunc([]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}, func(errno syscall.Errno) bool {
		return errors.Is(err, errno)
	})
}

// serveConn reads the purpose byte and serves calls until the connection ends.
func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var purpose [1]byte
	_ = conn.SetReadDeadline(time.Now().Add(DialTimeout))
	if _, err := io.ReadFull(conn, purpose[:]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	// Without the option, connections of lost clients are closed later.
	_ = setUnackedTimeout(conn)
	countConnection(Purpose(purpose[0]), "accepted")
	_ = server.ServeOne(ctx, newCountingConn(conn, Purpose(purpose[0])))
}

func setUnackedTimeout(conn net.Conn) error {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return httpx.SetUnackedTimeout(raw, unackedTimeout)
}

// Client is a connection pool for one peer. A connection carries one call or stream at a
// time. Client is safe for concurrent use.
type Client struct {
	address string
	purpose Purpose
	mu      sync.Mutex
	idle    []*drpcconn.Conn
}

// NewClient returns a client for the peer at address ("ip:port").
func NewClient(address string, purpose Purpose) *Client {
	return &Client{address: address, purpose: purpose}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Do runs call with an idle or a new connection. If call returns an error, the connection
// is closed rather than reused, so that an unresponsive connection does not affect later
// calls.
func (c *Client) Do(ctx context.Context, call func(ctx context.Context, conn drpc.Conn) error) error {
	conn, err := c.acquire(ctx)
	if err != nil {
		return err
	}
	if err := call(ctx, conn); err != nil {
		_ = conn.Close()
		return err
	}
	c.release(conn)
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// acquire returns an idle connection, or a new one if there is none.
func (c *Client) acquire(ctx context.Context) (*drpcconn.Conn, error) {
	if conn := c.popIdle(); conn != nil {
		return conn, nil
	}
	return c.dial(ctx)
}

// popIdle removes and returns the idle connection that was used last, or returns nil. It
// drops closed connections.
func (c *Client) popIdle() *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		c.idle = c.idle[:last]
		if !isClosed(conn) {
			return conn
		}
	}
	return nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// dial connects to the peer and sends the purpose byte.
func (c *Client) dial(ctx context.Context) (*drpcconn.Conn, error) {
	conn, err := dialWithRetry(ctx, c.address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", c.address)
	}
	if _, err := conn.Write([]byte{byte(c.purpose)}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "send the connection purpose to %s", c.address)
	}
	countConnection(c.purpose, "opened")
	return drpcconn.New(newCountingConn(conn, c.purpose)), nil
}

// dialWithRetry retries attempts that time out until DialTimeout or the deadline of ctx
// has passed. It compares the deadline with the clock instead of relying on ctx alone: once
// the deadline has passed, attempts fail immediately, and on a single processor the retry
// loop would keep the timer that cancels ctx from firing.
func dialWithRetry(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	dialer := net.Dialer{Timeout: dialAttemptTimeout}
	for {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil || !isTimeout(err) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return conn, err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// release returns a connection to the pool, or closes it if the pool is full.
func (c *Client) release(conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}
