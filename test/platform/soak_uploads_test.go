package platform

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// soakUploadClients is the number of clients whose bodies use up uploadMemoryMB of the first router.
	soakUploadClients = 4
	uploadMemoryMB    = 1
	uploadBytes       = 500_000
	uploadParts       = 20
	// maxUploadTime is the longest time for which a client sends its body; the routes' timeout is 1 s.
	maxUploadTime = 1500 * time.Millisecond
	// insidePath is the path of requests inside a body.
	insidePath = "/debit/inside"
)

// runUploadClient sends large bodies slowly to the router with little memory, some of them with an invalid
// chunk before the text of another request, and uses the connection again. No answer may belong to another
// request or call a valid request invalid, and no text inside a body may run.
func (s *soak) runUploadClient(rng *rand.Rand) {
	router := s.routers[0]
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		conn, err := net.DialTimeout("tcp", router.settings.Listen.Callers, time.Second)
		if err != nil {
			continue
		}
		c := &uploadClient{soak: s, conn: conn, reader: bufio.NewReader(conn), rng: rng}
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		if invalid := rng.IntN(4) == 0; c.upload(invalid) && !invalid {
			c.charge()
		}
		_ = conn.Close()
	}
}

// uploadClient is a connection of a client that sends a large body.
type uploadClient struct {
	*soak
	conn   net.Conn
	reader *bufio.Reader
	rng    *rand.Rand
}

// upload sends a request, and returns whether the connection can be used again after its answer.
func (c *uploadClient) upload(invalid bool) bool {
	framing := fmt.Sprint("Content-Length: ", uploadBytes)
	if invalid {
		framing = "Transfer-Encoding: chunked"
	}
	id := c.writeHead("/look/x", framing)
	if invalid {
		_, _ = fmt.Fprintf(c.conn, "%x\r\n", uploadBytes)
	}
	gap := time.Duration(c.rng.Int64N(int64(maxUploadTime))) / uploadParts
	part := strings.Repeat("a", uploadBytes/uploadParts)
	for range uploadParts {
		if _, err := io.WriteString(c.conn, part); err != nil {
			break
		}
		time.Sleep(gap)
	}
	if invalid {
		_, _ = fmt.Fprintf(c.conn, "\r\nzz\r\nPOST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", insidePath, host, apiKey)
	}
	return c.readAnswer(id, invalid)
}

// charge sends a small request on the same connection.
func (c *uploadClient) charge() {
	c.readAnswer(c.writeHead("/debit/x", "Content-Length: 0"), false)
}

func (c *uploadClient) writeHead(path, header string) (id string) {
	id = fmt.Sprintf("%016x", c.attempts.Add(1))
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nPeridotwinch-Attempt-Id: %s\r\n%s: %s\r\nPeridotwinch-Request-Deadline: 2000\r\nAuthorization: Token %s\r\n%s\r\n\r\n",
		path, host, id, headerAttempt, id, apiKey, header)
	return id
}

// readAnswer checks an answer, and returns whether the connection can be used again.
func (c *uploadClient) readAnswer(id string, invalid bool) bool {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	if got := response.Header.Get("Peridotwinch-Attempt-Id"); got != id && !invalid {
		c.reportViolation("the answer to %s has status %d and the ID %q", id, response.StatusCode, got)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		c.uploadRefusals.Add(1)
	}
	if status := response.StatusCode; status/100 == 4 && !invalid {
		c.reportViolation("a valid request of an upload client was answered with %d", status)
	}
	return !response.Close
}

// checkInside reports the requests inside bodies that workers have run.
func (s *soak) checkInside() {
	for _, w := range s.workers {
		for _, r := range w.received() {
			if r.URL.Path == insidePath {
				s.reportViolation("%s ran a request inside the body of another one", w.id)
			}
		}
	}
}
