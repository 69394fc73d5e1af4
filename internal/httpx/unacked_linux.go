package httpx

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUnackedTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose sent
// data stays unacknowledged for a time, as after a loss of power of the peer.
func SetUnackedTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
