package proxy

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("the connection was given up")

// trackedConn counts the writes on a connection to a backend server, so that
// the proxy knows for certain whether a byte of a request was written.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. A write counts once it may have begun.
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
		return errSealed
	}
	c.writes++
	return nil
}

func (c *trackedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents any later write and returns the number of writes.
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

// writeTracker watches the connections that one request was handed to.
type writeTracker struct {
	mu     sync.Mutex
	uses   []connUse
	reused bool
}

// connUse is a connection and its number of writes when the request got it.
type connUse struct {
	conn   *trackedConn
	before uint64
}

// got records that the request was handed to a connection.
func (t *writeTracker) got(conn net.Conn, reused bool) {
	tracked := conn.(*trackedConn)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses = append(t.uses, connUse{conn: tracked, before: tracked.count()})
	t.reused = reused
}

// giveUp closes the request's connections and reports whether a byte of the
// request may have been written. No byte is written later.
func (t *writeTracker) giveUp() (written bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, use := range t.uses {
		written = use.conn.seal() != use.before || written
		_ = use.conn.Close()
	}
	return written
}

// wasReused reports whether the newest connection had carried a request before.
func (t *writeTracker) wasReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}
