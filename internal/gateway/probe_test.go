package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestServersChangeWhileTheyAreProbed guards against a probe that reads a server's address while the list
// of servers replaces it; the race detector reports it.
func TestServersChangeWhileTheyAreProbed(t *testing.T) {
	var servers []*testServer
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		servers = append(servers, startTestServer(t, id, func(int, net.Conn, *http.Request) bool { return false }))
	}
	g, url := startUpdatableGateway(t, newTable(t), servers...)
	entries := entriesOf(servers)
	for _, server := range servers {
		server.end()
	}
	send(t, url, "/safe/x")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		g.SetServers(entries)
	}
}
