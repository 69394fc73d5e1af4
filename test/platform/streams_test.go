package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// streamEvents and streamEventGap are the events of a worker's stream and the time between two.
	streamEvents   = 20
	streamEventGap = 30 * time.Millisecond
	// streamTimeoutMs is the timeout of the routes with streams. A router drains for longer.
	streamTimeoutMs = 3000
	// lateRepeat is the time after which a stuttering worker sends an answer again, unless the next
	// request on the connection comes first.
	lateRepeat = 100 * time.Millisecond
	// refusedShare is the share of the requests that a stuttering worker turns away.
	refusedShare = 0.25
)

// longPrompt is the body of the requests for streams, which are sent in chunks. It is longer than a
// router writes at once.
var longPrompt = strings.Repeat("prompt ", 2000)

// streamRoutes are the routes with streams. Only those of "resume" may be resumed.
var streamRoutes = []string{"talk", "resume"}

func isStream(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/talk/") || strings.HasPrefix(r.URL.Path, "/resume/")
}

// rawAnswer writes the whole answer to a request in HTTP/1.1, a stream in chunks with pauses.
func (w *worker) rawAnswer(out io.Writer, r *http.Request, gap time.Duration) error {
	id := r.Header.Get("Peridotwinch-Attempt-Id")
	limit, named := w.limitLines(r)
	head := "HTTP/1.1 200 OK\r\nPeridotwinch-Attempt-Id: " + id + "\r\nPeridotwinch-Server-Stamp: stamp-" + w.id + "\r\n" + limit
	if !isStream(r) {
		body := "from " + w.id
		_, err := fmt.Fprintf(out, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		if err == nil {
			named()
		}
		return err
	}
	if _, err := io.WriteString(out, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(gap)
		event := streamEvent(id, n)
		if _, err := fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(out, "0\r\n\r\n")
	if err == nil {
		named()
	}
	return err
}

func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// cutWriter fails, after it has closed the connection, once its bytes are used up.
type cutWriter struct {
	net.Conn
	left int
}

// Write implements io.Writer.
func (c *cutWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:min(len(p), c.left)])
	if c.left -= n; err == nil && c.left == 0 {
		_ = c.Close()
		err = net.ErrClosed
	}
	return n, err
}

// serveConn answers the requests of a connection, the first of which is r, in a faulty mode, and
// correctly once the fault is over.
func (w *worker) serveConn(conn net.Conn, requests *bufio.Reader, r *http.Request, mode mode) {
	defer func() { _ = conn.Close() }()
	refuses := false
	for err := error(nil); err == nil; {
		var copied bytes.Buffer
		switch {
		case refuses:
			err = w.rawRefusal(io.MultiWriter(conn, &copied), r, http.StatusServiceUnavailable)
		case mode == modeCutHead:
			err = w.rawAnswer(&cutWriter{Conn: conn, left: 1 + rand.IntN(60)}, r, 0)
		case mode == modeResetUnframed:
			w.resetUnframed(conn, r)
			return
		case mode == modeCutAnywhere:
			err = w.rawAnswer(&cutWriter{Conn: conn, left: 150 + rand.IntN(1000)}, r, streamEventGap)
		default:
			err = w.rawAnswer(io.MultiWriter(conn, &copied), r, streamEventGap)
		}
		if err != nil {
			return
		}
		repeats := mode == modeStutter && rand.IntN(2) == 0
		if repeats && rand.IntN(2) == 0 {
			time.Sleep(time.Duration(rand.Float64() * float64(lateRepeat)))
			_, _ = conn.Write(copied.Bytes())
			repeats = false
		}
		if r, err = http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		refuses = mode == modeStutter && !isDeadly(r) && rand.Float64() < refusedShare
		w.mu.Lock()
		if !refuses {
			w.requests = append(w.requests, r)
		}
		w.checkLimit(r)
		isOver := w.mode != mode
		w.mu.Unlock()
		if isOver {
			mode = 0
		}
		if isDeadly(r) {
			time.Sleep(deadlyDelay)
			w.end()
			return
		}
		if repeats {
			_, err = conn.Write(copied.Bytes())
		}
	}
}

// resetUnframed answers with a stream that has no length, and resets the connection after some
// events of it.
func (w *worker) resetUnframed(conn net.Conn, r *http.Request) {
	id := r.Header.Get("Peridotwinch-Attempt-Id")
	limit, _ := w.limitLines(r)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nPeridotwinch-Attempt-Id: "+id+"\r\nPeridotwinch-Server-Stamp: stamp-"+w.id+"\r\n"+limit+"Content-Type: text/event-stream\r\n\r\n")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n < min(last+8, streamEvents) && isStream(r); n++ {
		time.Sleep(time.Duration(rand.Float64() * float64(streamEventGap)))
		_, _ = io.WriteString(conn, streamEvent(id, n))
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// serveFaulty serves the rest of a connection in a faulty mode.
func (w *worker) serveFaulty(response http.ResponseWriter, r *http.Request, mode mode) {
	conn, buffered, err := http.NewResponseController(response).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if mode == modeCopy {
		w.serveCopies(conn, buffered.Reader, r)
		return
	}
	w.serveConn(conn, buffered.Reader, r, mode)
}

// serveStream answers with a stream.
func (w *worker) serveStream(response http.ResponseWriter, r *http.Request) {
	response.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamEventGap):
		}
		_, _ = io.WriteString(response, streamEvent(r.Header.Get("Peridotwinch-Attempt-Id"), n))
		_ = http.NewResponseController(response).Flush()
	}
}

// streamResult is what a client saw of a stream.
type streamResult struct {
	status int
	// events is the number of the events that came in order.
	events int
	// complete is set if the answer ended as complete.
	complete bool
	closes   bool
	// violation says what must not happen in any stream; empty if all is well.
	violation string
	err       error
}

// readStream sends a request and reads the stream that answers it.
func (s *soak) readStream(client *http.Client, router *machine, route, id string) (out streamResult) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*streamTimeoutMs*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.settings.Listen.Callers+"/"+route+"/x", io.NopCloser(strings.NewReader(longPrompt)))
	s.Expect(err).NotTo(HaveOccurred())
	r.Host = host
	r.Header.Set("Peridotwinch-Attempt-Id", id)
	r.Header.Set(headerAttempt, id)
	r.Header.Set("Peridotwinch-Request-Deadline", strconv.Itoa(streamTimeoutMs))
	r.Header.Set("Authorization", "Token "+apiKey)
	r.Header.Set(headerRouter, router.settings.Instance)
	response, err := client.Do(r)
	if err != nil {
		return streamResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	out = streamResult{status: response.StatusCode, closes: response.Close, complete: err == nil, err: err}
	if out.status != http.StatusOK {
		return out
	}
	text := string(body)
	for strings.HasPrefix(text, streamEvent(id, out.events+1)) {
		out.events++
		text = strings.TrimPrefix(text, streamEvent(id, out.events))
	}
	switch {
	case text != "":
		out.violation = fmt.Sprintf("after event %d came %q", out.events, text)
	case out.complete && out.events < streamEvents:
		out.violation = fmt.Sprintf("ended as complete after event %d", out.events)
	}
	return out
}

// runStreamClient sends one stream after the other to a router over a kept connection, until the
// router refuses it or is gone. The next router is another one.
func (s *soak) runStreamClient(number int) {
	route := streamRoutes[number%len(streamRoutes)]
	for i := number; ; i++ {
		router := s.routers[i%len(s.routers)]
		client := &http.Client{Transport: &http.Transport{}}
		for ok := true; ok; {
			select {
			case <-s.stop:
				client.CloseIdleConnections()
				return
			default:
			}
			ok = s.checkStream(client, router, route)
		}
		client.CloseIdleConnections()
		time.Sleep(20 * time.Millisecond)
	}
}

// checkStream reads a stream and checks it. It returns false if the client has to go on elsewhere.
func (s *soak) checkStream(client *http.Client, router *machine, route string) bool {
	id := fmt.Sprintf("%016x", s.attempts.Add(1))
	started := time.Now()
	result := s.readStream(client, router, route, id)
	if result.violation != "" {
		s.reportViolation("stream %s of %s at %s: %s (%v)", id, route, router.settings.Instance, result.violation, result.err)
	}
	s.mu.Lock()
	switch {
	case result.complete && result.status == http.StatusOK:
		s.streams++
	case result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests:
		s.reportedNotRun[id] = true
	}
	s.mu.Unlock()
	if result.status == http.StatusOK && !result.complete && s.isCalm(router, started) {
		s.reportViolation("stream %s of %s at %s, sent %v before, was cut after event %d: %v", id, route, router.settings.Instance, time.Since(started), result.events, result.err)
	}
	return result.err == nil && result.status == http.StatusOK && !result.closes
}

// isCalm reports whether since a time a router has had no fault but planned stops, and no worker any.
func (s *soak) isCalm(router *machine, since time.Time) bool {
	for _, w := range s.workers {
		w.mu.Lock()
		ended := w.endedAt.After(since)
		w.mu.Unlock()
		if ended || s.isUnplanned(w.id, since) {
			return false
		}
	}
	return !s.isUnplanned(router.settings.Instance, since)
}
