package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// limitUnacked makes the kernel give a connection up whose bytes are not confirmed
// in time.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// isUsable reports whether an idle connection is still open and nothing has
// arrived on it: bytes that no request asked for belong to none.
func (c *conn) isUsable(now time.Time) bool {
	return now.Before(c.until) && httpx.IsOpenAndIdle(c.Conn)
}
