package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// reused reports whether the connection was taken from the pool.
	reused bool
	// carried holds the hashes of the IDs of the requests sent on the connection.
	carried []uint64
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
	if err == nil && !isValidHead(response) {
		return nil, errors.Wrapf(ErrInvalidHead, "%s %03d", response.Proto, response.StatusCode)
	}
	return response, err
}

// isValidHead reports whether the head is one of HTTP/1 with a defined class of status (RFC 9110,
// section 15). No request asks for another protocol, so 101 is invalid too.
func isValidHead(response *http.Response) bool {
	status := response.StatusCode
	return response.ProtoMajor == 1 && status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}

// readFinalHead skips interim answers, and returns ErrUnmatchedAnswer after maxInterimAnswers. An
// error may wrap ErrInvalidHead.
func (c *conn) readFinalHead(request *http.Request) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		response, err := c.readHead(request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, ErrUnmatchedAnswer
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

// acquireConn returns a connection that has not carried a request with this ID. With an empty ID,
// the connection is new.
func (c *Client) acquireConn(ctx context.Context, address, id string) (*conn, ConnInfo, error) {
	hash := xxhash.Sum64String(id)
	connection, passedOver, lost := c.takeIdle(address, id, hash)
	info := ConnInfo{New: connection == nil, LostIdle: lost}
	if passedOver {
		c.hooks.PassedOver()
	}
	if connection == nil {
		c.trimUnused(address)
		var err error
		if connection, err = c.dial(ctx, address, DialRequest); err != nil {
			return nil, info, err
		}
	}
	connection.carried = append(connection.carried, hash)
	return connection, info, nil
}

// returnUnused returns a connection of acquireConn to which nothing was written.
func (c *Client) returnUnused(connection *conn) {
	connection.carried = connection.carried[:len(connection.carried)-1]
	idle := c.unusedIdleTimeout(connection.address)
	if connection.reused {
		idle = time.Until(connection.idleDeadline)
	}
	c.putIdle(connection, idle)
}

// takeIdle removes a usable connection from the pool, or returns nil. passedOver reports whether an
// idle connection that has not expired was left there because it has carried a request with this ID;
// lost whether the server has closed one that has not expired.
func (c *Client) takeIdle(address, id string, hash uint64) (connection *conn, passedOver, lost bool) {
	if id == "" {
		return nil, false, false
	}
	for {
		connection, skipped := c.popIdle(address, hash, time.Now())
		passedOver = passedOver || skipped
		if connection == nil {
			return nil, passedOver, lost
		}
		if connection.isUsable(time.Now()) {
			connection.reused = true
			return connection, passedOver, lost
		}
		lost = lost || time.Now().Before(connection.idleDeadline)
		_ = connection.Close()
	}
}

// popIdle removes the latest idle connection that has not carried a request with this ID.
func (c *Client) popIdle(address string, hash uint64, now time.Time) (connection *conn, skipped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if slices.Contains(list[i].carried, hash) {
			skipped = skipped || now.Before(list[i].idleDeadline)
			continue
		}
		connection = list[i]
		c.idle[address] = slices.Delete(list, i, i+1)
		c.idleCount--
		return connection, skipped
	}
	return nil, skipped
}

// trimUnused closes the longest idle connection to a server if maxUnusedIdle are left that a send
// cannot use, so that requests with repeated or missing IDs pile up none.
func (c *Client) trimUnused(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) < maxUnusedIdle {
		return
	}
	_ = list[0].Close()
	c.idle[address] = slices.Delete(list, 0, 1)
	c.idleCount--
}

// dial opens a connection. If both parallel attempts succeed, the later one is closed.
func (c *Client) dial(ctx context.Context, address string, reason DialReason) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Connect)
	defer cancel()
	results := make(chan dialResult, 2)
	go func() { results <- c.dialOnce(ctx, address, reason) }()
	secondTimer := time.NewTimer(secondDialDelay)
	defer secondTimer.Stop()
	pending := 1
	for {
		select {
		case <-secondTimer.C:
			pending++
			go func() { results <- c.dialOnce(ctx, address, DialSecond) }()
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
			c.hooks.Opened()
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

func (c *Client) dialOnce(ctx context.Context, address string, reason DialReason) dialResult {
	if c.hooks.Dialed != nil {
		c.hooks.Dialed(reason)
	}
	dialer := net.Dialer{KeepAlive: -1, Control: c.setUnackedTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	return dialResult{conn: conn, err: err}
}

// Probe opens a connection to the server and adds it to the pool. It returns an error if
// no connection is possible.
func (c *Client) Probe(ctx context.Context, address string) error {
	connection, err := c.dial(ctx, address, DialProbe)
	if err != nil {
		return err
	}
	c.putIdle(connection, c.unusedIdleTimeout(address))
	return nil
}

func (c *Client) putIdle(connection *conn, idle time.Duration) {
	connection.idleDeadline = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[connection.address] = append(c.idle[connection.address], connection)
	c.idleCount++
	if c.limits.MaxIdle > 0 && c.idleCount > c.limits.MaxIdle {
		c.evictIdle()
	}
}

// evictIdle closes the idle connection that expires first; mu is held.
func (c *Client) evictIdle() {
	var first *conn
	for _, list := range c.idle {
		for _, connection := range list {
			if first == nil || connection.idleDeadline.Before(first.idleDeadline) {
				first = connection
			}
		}
	}
	list := slices.DeleteFunc(c.idle[first.address], func(connection *conn) bool { return connection == first })
	c.idle[first.address] = list
	if len(list) == 0 {
		delete(c.idle, first.address)
	}
	c.idleCount--
	_ = first.Close()
	if c.hooks.Evicted != nil {
		c.hooks.Evicted()
	}
}

// Idle returns the number of idle connections to all servers.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleCount
}

// CloseIdle closes the idle connections to a server: if one connection failed, the others
// may be dead too.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.idleCount -= len(list)
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
		c.idleCount -= len(list) - len(kept)
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}
