package rpc

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// countingConn counts the bytes read and written on a connection by purpose.
type countingConn struct {
	net.Conn
	in  *metrics.Counter
	out *metrics.Counter
}

func newCountingConn(conn net.Conn, purpose Purpose) *countingConn {
	return &countingConn{
		Conn: conn,
		in:   bytesCounter(purpose, "in"),
		out:  bytesCounter(purpose, "out"),
	}
}

// bytesCounter returns the process-wide counter of a purpose and a direction ("in" or "out").
func bytesCounter(purpose Purpose, direction string) *metrics.Counter {
	name := fmt.Sprintf(`peridotwinch_control_bytes_total{purpose=%q,direction=%q}`, purpose, direction)
	return metrics.GetOrCreateCounter(name)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}

// countConnection counts a connection by purpose and by side: "opened" by a client, "accepted" by a
// server.
func countConnection(purpose Purpose, side string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`peridotwinch_rpc_connections_total{purpose=%q,side=%q}`, purpose, side)).Inc()
}
