package fakebackend

import (
	"bytes"
	"net"
	"sync"

	"peridotwinch.example/peridotwinch/api"
)

// maxRepeatedBytes bounds the answers that a repeating connection sends again.
const maxRepeatedBytes = 64 << 10

// repeatingListener accepts connections that send each answer once more when the next
// request of the connection arrives.
type repeatingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn}, nil
}

// repeatingConn records what was written since the last request began.
type repeatingConn struct {
	net.Conn

	mu     sync.Mutex
	answer []byte
}

// Read implements net.Conn. The first bytes of a request trigger the copy of the answer to
// the previous one.
func (c *repeatingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if answer := c.takeAnswer(); isRepeatable(answer) {
			_, _ = c.Conn.Write(answer)
		}
	}
	return n, err
}

func (c *repeatingConn) takeAnswer() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := c.answer
	c.answer = nil
	return answer
}

// isRepeatable reports whether an answer is short and answers a request that a router sent.
func isRepeatable(answer []byte) bool {
	return len(answer) <= maxRepeatedBytes && bytes.Contains(answer, []byte(api.HeaderServerState))
}

// Write implements net.Conn.
func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.answer) <= maxRepeatedBytes {
		c.answer = append(c.answer, b...)
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}
