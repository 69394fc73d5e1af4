package proxy

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errConnAbandoned = errors.New("the connection was closed after its request failed")

// trackedConn counts the writes on a connection to a backend server, which shows
// whether a byte of a request may have been written.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. A write is counted before it begins.
func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *trackedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errConnAbandoned
	}
	c.writes++
	return nil
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes later writes fail and returns the number of writes.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// trackedDialer dials tracked connections.
type trackedDialer struct{ net.Dialer }

func (d *trackedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// writeTracker tracks the connections that one request was handed to.
type writeTracker struct {
	mu     sync.Mutex
	uses   []connUse
	reused bool
}

// connUse is a connection with its write count when the request was handed to it.
type connUse struct {
	conn         *trackedConn
	writesBefore uint64
}

// recordConn records that the request was handed to a connection.
func (t *writeTracker) recordConn(conn net.Conn, reused bool) {
	tracked := conn.(*trackedConn)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses = append(t.uses, connUse{conn: tracked, writesBefore: tracked.writeCount()})
	t.reused = reused
}

// abandon seals and closes the request's connections and reports whether a byte of
// the request may have been written. No byte is written after abandon returns.
func (t *writeTracker) abandon() (written bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, use := range t.uses {
		written = use.conn.seal() != use.writesBefore || written
		_ = use.conn.Close()
	}
	return written
}

// connReused reports whether the latest connection had carried an earlier request.
func (t *writeTracker) connReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}
