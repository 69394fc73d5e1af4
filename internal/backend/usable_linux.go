package backend

import (
	"syscall"
	"time"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// setUnackedTimeout is the control function of the dialer.
func (c *Client) setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return httpx.SetUnackedTimeout(raw, c.limits.Unacked)
}

// isUsable reports whether an idle connection has not expired, is open and has no unread
// data: such data answers no request of the router.
func (c *conn) isUsable(now time.Time) bool {
	return now.Before(c.idleDeadline) && httpx.IsOpenAndIdle(c.Conn)
}
