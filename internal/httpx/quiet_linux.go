package httpx

import (
	"net"
	"syscall"
)

// hasNoUnreadData reports whether a connection has no data to read; a closed one has none.
func hasNoUnreadData(conn net.Conn) bool { return IsOpenAndIdle(conn) || isClosedByPeer(conn) }

// IsOpenAndIdle reports whether a connection is open and has no data to read. It is
// always true for connections other than TCP.
func IsOpenAndIdle(conn net.Conn) bool {
	n, err := peek(conn)
	return n < 0 && err == syscall.EAGAIN
}

// isClosedByPeer reports whether the peer closed or reset the connection.
func isClosedByPeer(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || n < 0 && err != syscall.EAGAIN
}

// peek reads one byte without consuming it and without blocking.
func peek(conn net.Conn) (n int, err error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return -1, syscall.EAGAIN
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return -1, err
	}
	return n, peekErr
}
