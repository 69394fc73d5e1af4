package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection to a server. It may be idle in the pool until idleDeadline.
type conn struct {
	net.Conn
	// limit is the source of reader.
	limit        *limitedReader
	reader       *bufio.Reader
	address      string
	idleDeadline time.Time
	reused       bool
}

func newConn(raw net.Conn, address string) *conn {
	limit := &limitedReader{source: raw}
	return &conn{Conn: raw, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), address: address}
}

// readHead reads the head of an answer. http.ReadResponse itself keeps a head of any size in
// memory. The error wraps ErrHeadTooLarge if the head exceeds maxHeadBytes.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.limit.active, c.limit.remainingBytes = true, maxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.limit.active = false
	return response, err
}

// limitedReader fails with ErrHeadTooLarge after remainingBytes while it is active.
type limitedReader struct {
	source         io.Reader
	active         bool
	remainingBytes int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.remainingBytes <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remainingBytes)])
	l.remainingBytes -= n
	return n, err
}

func (c *Client) acquireConn(ctx context.Context, address string) (*conn, error) {
	for {
		connection := c.popIdle(address)
		if connection == nil {
			return c.dial(ctx, address)
		}
		if connection.isUsable(time.Now()) {
			connection.reused = true
			return connection, nil
		}
		_ = connection.Close()
	}
}

func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return last
}

// dial opens a connection. If both parallel attempts succeed, the later one is closed.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	results := make(chan dialResult, 2)
	go func() { results <- dialOnce(ctx, address) }()
	secondTimer := time.NewTimer(secondDialDelay)
	defer secondTimer.Stop()
	pending := 1
	for {
		select {
		case <-secondTimer.C:
			pending++
			go func() { results <- dialOnce(ctx, address) }()
		case result := <-results:
			pending--
			if result.err != nil && pending > 0 {
				continue
			}
			if pending > 0 {
				go func() { (<-results).close() }()
			}
			if result.err != nil {
				return nil, errors.Wrapf(result.err, "connect to %s", address)
			}
			c.onOpen()
			return newConn(result.conn, address), nil
		}
	}
}

type dialResult struct {
	conn net.Conn
	err  error
}

func (r dialResult) close() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

func dialOnce(ctx context.Context, address string) dialResult {
	dialer := net.Dialer{KeepAlive: -1, Control: setUnackedTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	return dialResult{conn: conn, err: err}
}

// Probe opens a connection to the server and adds it to the pool. It returns an error if
// no connection is possible.
func (c *Client) Probe(ctx context.Context, address string) error {
	connection, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.putIdle(connection, defaultIdleTimeout)
	return nil
}

func (c *Client) putIdle(connection *conn, idle time.Duration) {
	connection.idleDeadline = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[connection.address] = append(c.idle[connection.address], connection)
}

// CloseIdle closes the idle connections to a server: if one connection failed, the others
// may be dead too.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, connection := range list {
		_ = connection.Close()
	}
}

// CloseExpired closes the connections whose idle timeout has expired at now.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, connection := range list {
			if now.Before(connection.idleDeadline) {
				kept = append(kept, connection)
				continue
			}
			_ = connection.Close()
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}
