// Package rpc carries drpc between the daemons and counts its bytes by purpose.
package rpc

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const (
	// DialTimeout bounds the set-up of a connection.
	DialTimeout = 2 * time.Second
	// dialAttempt bounds one attempt at it. The system repeats an opening packet that
	// got lost, or met a machine that was starting, after a second only; peers in other
	// regions answer within 100 ms.
	dialAttempt = 350 * time.Millisecond
)

// maxIdleConns is how many idle connections a client keeps to a peer.
const maxIdleConns = 4

// Purpose names what a connection is for. It is the first byte that a client
// sends, so that both ends count the connection's bytes under the same name.
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
)

// String returns the purpose's name in metrics.
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
	}
	return "unknown"
}

// Server serves the registered services on a listener.
type Server struct {
	mux *drpcmux.Mux
}

// NewServer returns a server without services.
func NewServer() *Server { return &Server{mux: drpcmux.New()} }

// Mux returns the multiplexer at which services register.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve serves connections until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.New(s.mux)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a peer")
		}
		go s.serveConn(ctx, server, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var first [1]byte
	_ = conn.SetReadDeadline(time.Now().Add(DialTimeout))
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	_ = server.ServeOne(ctx, newCountingConn(conn, Purpose(first[0])))
}

// Client keeps a small pool of connections to one peer. One connection carries
// one call or stream at a time. It is safe for concurrent use.
type Client struct {
	address string
	purpose Purpose
	mu      sync.Mutex
	idle    []*drpcconn.Conn
}

// NewClient returns a client of the peer at address ("ip:port").
func NewClient(address string, purpose Purpose) *Client {
	return &Client{address: address, purpose: purpose}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Do runs call with a connection. A connection whose call failed is closed and
// never used again, so that a silent one does not harm the next call.
func (c *Client) Do(ctx context.Context, call func(ctx context.Context, conn drpc.Conn) error) error {
	conn, err := c.take(ctx)
	if err != nil {
		return err
	}
	if err := call(ctx, conn); err != nil {
		_ = conn.Close()
		return err
	}
	c.put(conn)
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

func (c *Client) take(ctx context.Context) (*drpcconn.Conn, error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, nil
	}
	return c.dial(ctx)
}

func (c *Client) takeIdle() *drpcconn.Conn {
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

func (c *Client) dial(ctx context.Context) (*drpcconn.Conn, error) {
	conn, err := dialPatiently(ctx, c.address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", c.address)
	}
	if _, err := conn.Write([]byte{byte(c.purpose)}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "greet %s", c.address)
	}
	return drpcconn.New(newCountingConn(conn, c.purpose)), nil
}

// dialPatiently repeats attempts that get no answer until DialTimeout or the deadline
// of ctx is over. It asks the clock for that: once the deadline has passed attempts fail
// at once, and would keep the only processor from the timer that ends ctx.
func dialPatiently(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	dialer := net.Dialer{Timeout: dialAttempt}
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

func (c *Client) put(conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}
