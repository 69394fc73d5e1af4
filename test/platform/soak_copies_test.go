package platform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// copyRefusalShare is the share of the requests that a worker in modeCopy refuses.
	copyRefusalShare = 0.5
	// maxCopyDelay is the longest time between an answer and an immediate copy, between the next
	// request and a late copy, and between the pieces of a copy.
	maxCopyDelay = 10 * time.Millisecond
	// copyDuration is the shortest time for which a worker copies answers.
	copyDuration = time.Second
	// copiesOfAnswer is how often a worker sends an answer again if it does so more than once.
	copiesOfAnswer = 3
)

// copyAnswers has a worker copy answers for copyDuration and a random one. With a stale ID, the worker is listed
// twice with its address, as one that has restarted under another ID.
func (s *soak) copyAnswers(w *worker, stale bool, duration time.Duration) {
	s.runFault(w.id, duration+copyDuration, func() {
		if stale {
			w.setStaleID(w.id + "-stale")
		}
		w.setMode(modeCopy)
	}, func() {
		w.setStaleID("")
		w.setMode(0)
	})
}

func (w *worker) setStaleID(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staleID = id
}

// sendStaleHeartbeat sends a heartbeat under the stale ID, if the worker has one.
func (w *worker) sendStaleHeartbeat(f *fleet, control *machine) {
	w.mu.Lock()
	id := w.staleID
	w.mu.Unlock()
	if id != "" {
		w.sendHeartbeatAs(f, control, id)
	}
}

// answerCopies are the copies of an answer that a worker sends later.
type answerCopies struct {
	answer []byte
	count  int
	// late is set if they are sent only once the next request of the connection has arrived.
	late bool
	// pieces is set if each is sent in two pieces with a pause.
	pieces bool
}

// newAnswerCopies returns random copies of an answer, of some answers none.
func newAnswerCopies(answer []byte) answerCopies {
	out := answerCopies{answer: answer, count: 1, late: rand.IntN(2) == 0, pieces: rand.IntN(3) == 0}
	switch rand.IntN(6) {
	case 0, 1:
		out.count = 0
	case 2:
		out.count = copiesOfAnswer
	}
	return out
}

// send sends the copies, half of the time after a pause.
func (c *answerCopies) send(out io.Writer) error {
	if c.count > 0 && rand.IntN(2) == 0 {
		time.Sleep(rand.N(maxCopyDelay))
	}
	for ; c.count > 0; c.count-- {
		first := c.answer
		if c.pieces {
			first = c.answer[:1+rand.IntN(len(c.answer)-1)]
		}
		if _, err := out.Write(first); err != nil {
			return err
		}
		if c.pieces {
			time.Sleep(rand.N(maxCopyDelay))
		}
		if _, err := out.Write(c.answer[len(first):]); err != nil {
			return err
		}
	}
	return nil
}

// serveCopies serves the requests of a connection, the first of which is r, in modeCopy, and
// without refusals and copies once the fault is over.
func (w *worker) serveCopies(conn net.Conn, requests *bufio.Reader, r *http.Request) {
	defer func() { _ = conn.Close() }()
	var copies answerCopies
	for {
		status := w.receive(r)
		if isDeadly(r) {
			time.Sleep(deadlyDelay)
			w.end()
			return
		}
		if copies.send(conn) != nil {
			return
		}
		var answer bytes.Buffer
		out := io.MultiWriter(conn, &answer)
		var err error
		if status != 0 {
			err = w.rawRefusal(out, r, status)
		} else {
			err = w.rawAnswer(out, r, streamEventGap)
		}
		if err != nil {
			return
		}
		if w.hasMode(modeCopy) {
			copies = newAnswerCopies(answer.Bytes())
		}
		if !copies.late && copies.send(conn) != nil {
			return
		}
		if r, err = http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.countRequest(r)
	}
}

// receive decides on a request in modeCopy. It returns the status of the refusal, or records the
// request as run and returns 0.
func (w *worker) receive(r *http.Request) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := w.refusalStatus(r)
	if status == 0 && w.mode == modeCopy && rand.Float64() < copyRefusalShare {
		status = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rand.IntN(2)]
	}
	if status == 0 || isDeadly(r) {
		w.requests = append(w.requests, r)
	}
	return status
}

func (w *worker) hasMode(m mode) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode == m
}

// rawRefusal writes the whole refusal of a request in HTTP/1.1, at times without a body.
func (w *worker) rawRefusal(out io.Writer, r *http.Request, status int) error {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nPeridotwinch-Not-Executed: 1\r\n", status, http.StatusText(status))
	if id := r.Header.Get("Peridotwinch-Attempt-Id"); id != "" {
		head += "Peridotwinch-Attempt-Id: " + id + "\r\n"
	}
	if status == http.StatusMisdirectedRequest {
		head += "Peridotwinch-Instance-Id: " + w.id + "\r\n"
	}
	limit, _ := w.limitLines(r)
	body := []string{"", "refused\n"}[rand.IntN(2)]
	_, err := fmt.Fprintf(out, "%sContent-Length: %d\r\n\r\n%s", head+limit, len(body), body)
	return err
}
