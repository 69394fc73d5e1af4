package httpx

import (
	"context"
	"net"
)

type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerLeft reports whether the caller of a request has closed its connection. ctx is the
// request's context, or derived from it. After a pause of the process the context is cancelled
// only once another goroutine has run, so CallerLeft also asks the kernel. It knows the connection
// only of requests that Serve has accepted.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && isClosedByPeer(conn)
}
