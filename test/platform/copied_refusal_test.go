package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// copyingWorker is a worker that has started again at its address under a new ID and is still listed
// under the old one, too. When a request has arrived on a connection, it first writes the refusals
// of the connection once more.
type copyingWorker struct {
	id       string
	listener net.Listener

	mu sync.Mutex
	// refused and runs count by attempt ID.
	refused, runs map[string]int
}

// startCopyingWorker starts a worker that is also listed under an old ID.
func (f *fleet) startCopyingWorker(id string) *copyingWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { _ = listener.Close() })
	w := &copyingWorker{id: id, listener: listener, refused: make(map[string]int), runs: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	for _, listedID := range []string{id, id + "-old"} {
		listed := &worker{id: listedID, service: "app", state: "ready", born: 1000, address: listener.Addr().String(), stopped: make(chan struct{})}
		go listed.sendHeartbeats(f)
		f.t.Cleanup(func() { close(listed.stopped) })
	}
	return w
}

func (w *copyingWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	refusals := ""
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, refusals)
		answer := w.answer(r)
		if answer.isRefusal {
			refusals = answer.text
		}
		// A router that believes the copy sends the request elsewhere in the meantime.
		time.Sleep(5 * time.Millisecond)
		if _, err := io.WriteString(conn, answer.text); err != nil {
			return
		}
	}
}

type copiedAnswer struct {
	text      string
	isRefusal bool
}

// answer runs or refuses a request.
func (w *copyingWorker) answer(r *http.Request) copiedAnswer {
	attempt := r.Header.Get("Peridotwinch-Attempt-Id")
	echo := "Peridotwinch-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Header.Get("Peridotwinch-Expect-Instance") != w.id {
		w.refused[attempt]++
		return copiedAnswer{"HTTP/1.1 421 Misdirected Request\r\nPeridotwinch-Instance-Id: " + w.id + "\r\n" + echo + "\r\n", true}
	}
	w.runs[attempt]++
	return copiedAnswer{text: "HTTP/1.1 200 OK\r\nPeridotwinch-Server-Stamp: stamp-" + w.id + "\r\n" + echo + "\r\n"}
}

// TestCopiedRefusalsRunNoDebitTwice guards against a debit that runs twice, or is refused as not run
// although it runs, because a worker repeats the refusal of the first send during a later one.
func TestCopiedRefusalsRunNoDebitTwice(t *testing.T) {
	f := startFleet(t, 1)
	workers := []*copyingWorker{f.startCopyingWorker("i-1"), f.startCopyingWorker("i-2")}
	f.configure(f.config(7, 1000))
	f.awaitServing(f.routers[0], "/debit/x")
	statuses := make(map[string]int)
	for range 100 {
		response, _, err := f.sendRequest(f.routers[0], http.MethodPost, "/debit/x")
		f.Expect(err).NotTo(HaveOccurred())
		statuses[fmt.Sprintf("%016x", f.attempts.Load())] = response.StatusCode
	}
	runs := make(map[string]int)
	sentAgain := 0
	for _, w := range workers {
		w.mu.Lock()
		for attempt, n := range w.runs {
			runs[attempt] += n
			if w.refused[attempt] > 0 {
				sentAgain++
			}
		}
		w.mu.Unlock()
	}
	f.Expect(sentAgain).To(BeNumerically(">", 0), "debits refused under the old ID of a worker and run under its new one")
	for attempt, status := range statuses {
		f.Expect(status).To(Or(Equal(http.StatusOK), Equal(http.StatusServiceUnavailable)))
		want := map[int]int{http.StatusOK: 1, http.StatusServiceUnavailable: 0}[status]
		f.Expect(runs[attempt]).To(Equal(want), "runs of %s, which was answered %d", attempt, status)
	}
}
