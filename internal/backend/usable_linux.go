package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// setUnackedTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose sent
// data stays unacknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// isUsable reports whether an idle connection has not expired, is open and has no unread
// data: such data answers no request of the router.
func (c *conn) isUsable(now time.Time) bool {
	return now.Before(c.idleDeadline) && httpx.IsOpenAndIdle(c.Conn)
}
