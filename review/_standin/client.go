package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the client attempts: each has an ID of its own.
var attempts atomic.Int64

// conn is a client's kept connection to a front machine.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fleet) dial(m *machine) *conn {
	c, err := net.DialTimeout("tcp", f.frontAddress(m), time.Second)
	if err != nil {
		cannotRun("connect to %s: %v", m.name, err)
	}
	return &conn{Conn: c, reader: bufio.NewReader(c)}
}

// result is what a client saw of one attempt.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// err is why the answer is not complete, or nil.
	err  error
	took time.Duration
}

// send sends one attempt on the connection and reads the answer.
func (c *conn) send(rec *record, method, path string, deadline time.Duration, prefix, body string) result {
	id := fmt.Sprintf("%016x", uint64(0x9c41d07be2a30000)+uint64(attempts.Add(1)))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nPeridotwinch-Attempt-Id: %s\r\nPeridotwinch-Request-Deadline: %d\r\nAuthorization: Token %s\r\n",
		method, path, host, id, deadline.Milliseconds(), apiKey)
	if prefix != "" {
		head += "Peridotwinch-Model-Name: m\r\nPeridotwinch-Token-Count: 829,300\r\nPeridotwinch-Prefix-Hash: " + prefix + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	start := time.Now()
	rec.line("client: sends %s %s %s from %s", id, method, path, c.LocalAddr())
	_ = c.SetDeadline(start.Add(deadline + time.Second))
	out := result{id: id}
	if _, out.err = io.WriteString(c.Conn, head+body); out.err == nil {
		var response *http.Response
		if response, out.err = http.ReadResponse(c.reader, &http.Request{Method: method}); out.err == nil {
			out.status, out.header = response.StatusCode, response.Header
			var raw []byte
			raw, out.err = io.ReadAll(response.Body)
			out.body = string(raw)
		}
	}
	out.took = time.Since(start)
	rec.line("client: %s got status %d, %d bytes, stamp %q, error %v, after %.3f s", id, out.status, len(out.body), out.header.Get("Peridotwinch-Server-Stamp"), out.err, out.took.Seconds())
	return out
}

// lastEvent returns the number of the last event in a stream's body, and whether the events are
// those from 1 on, each once.
func lastEvent(body string) (last int, sound bool) {
	for _, one := range strings.SplitAfter(body, "\n\n") {
		if one == "" {
			continue
		}
		last++
		if one != event(last) {
			return last, false
		}
	}
	return last, true
}
