package httpx

import (
	"net"
	"syscall"
)

// isQuiet reports whether a connection has no byte to read.
func isQuiet(conn net.Conn) bool { return IsOpenAndIdle(conn) || isClosedByPeer(conn) }

// IsOpenAndIdle reports whether a connection is open and has no byte to read. A
// connection of another kind than TCP counts as such.
func IsOpenAndIdle(conn net.Conn) bool {
	n, err := peek(conn)
	return n < 0 && err == syscall.EAGAIN
}

// isClosedByPeer reports whether the peer has closed the connection or reset it.
func isClosedByPeer(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || n < 0 && err != syscall.EAGAIN
}

// peek looks for one byte without taking it and without waiting.
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
