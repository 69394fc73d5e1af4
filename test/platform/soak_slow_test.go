package platform

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// preemptShare is the share of the streams that a worker preempts once, for preemptTime: less than
	// callers wait.
	preemptShare = 0.3
	preemptTime  = 1500 * time.Millisecond
	// overlapLimit is how long a worker may still work on a stream that goes on at another one.
	overlapLimit = 400 * time.Millisecond
	// largeAnswerBytes is the size of the answers to largePath, which a worker sends in
	// largeAnswerParts parts. The slowest of them end shortly before the callers' deadline of 1 s.
	largePath        = "/look/large"
	largeAnswerBytes = 300 << 10
	largeAnswerParts = 20
	largeAnswerTime  = 750 * time.Millisecond
	// uploadProcessMB is the memory that routers are told to have. Their share for bodies holds some of the
	// bodies of uploadClients clients, of up to maxUploadBytes, at once.
	uploadProcessMB = 30
	uploadClients   = 8
	maxUploadBytes  = 4 << 20
)

// TestSoakSlowServers sends streams that workers preempt, large answers that workers make slowly, and large
// bodies, while routers are stopped and started. The workers do not drop a request when its connection
// closes. No stream may run at two workers at once, no answer may be cut, and no refused request may run.
func TestSoakSlowServers(t *testing.T) {
	t.Setenv("PERIDOTWINCH_PROCESS_MEMORY_MB", fmt.Sprint(uploadProcessMB))
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			s := &slowSoak{soak: newSoak(t, seed), runs: make(map[string][]*streamRun)}
			for _, w := range s.workers {
				w.mu.Lock()
				w.serveFirst = s.serve
				w.mu.Unlock()
			}
			s.run()
		})
	}
}

type slowSoak struct {
	*soak
	runsMu sync.Mutex
	// runs has the runs of each attempt of a stream in the order of their begin.
	runs                        map[string][]*streamRun
	largeAnswers, refusedBodies int
}

// streamRun is the work of a worker on a stream.
type streamRun struct {
	worker       string
	began, ended time.Time
}

// serve answers streams and requests for large answers, and reports whether it has.
func (s *slowSoak) serve(w *worker, response http.ResponseWriter, r *http.Request) bool {
	header := response.Header()
	header.Set("Peridotwinch-Attempt-Id", r.Header.Get("Peridotwinch-Attempt-Id"))
	header.Set("Peridotwinch-Server-Stamp", "stamp-"+w.id)
	switch {
	case isStream(r):
		s.serveStream(w, response, r)
	case r.URL.Path == largePath:
		header.Set("Content-Length", fmt.Sprint(largeAnswerBytes))
		pause := time.Duration(rand.Float64() * float64(largeAnswerTime) / largeAnswerParts)
		for range largeAnswerParts {
			time.Sleep(pause)
			_, _ = response.Write(make([]byte, largeAnswerBytes/largeAnswerParts))
			_ = http.NewResponseController(response).Flush()
		}
	default:
		return false
	}
	return true
}

func (s *slowSoak) serveStream(w *worker, response http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	run := &streamRun{worker: w.id, began: time.Now()}
	s.runsMu.Lock()
	s.runs[attempt] = append(s.runs[attempt], run)
	s.runsMu.Unlock()
	response.Header().Set("Content-Type", "text/event-stream")
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	preemptedAt := -1
	if rand.Float64() < preemptShare {
		preemptedAt = 1 + rand.IntN(streamEvents)
	}
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(streamEventGap)
		if n == preemptedAt {
			time.Sleep(preemptTime)
		}
		_, _ = io.WriteString(response, streamEvent(r.Header.Get("Peridotwinch-Attempt-Id"), n))
		_ = http.NewResponseController(response).Flush()
		s.runsMu.Lock()
		run.ended = time.Now()
		s.runsMu.Unlock()
	}
}

func (s *slowSoak) run() {
	for i := range soakStreamClients {
		s.tasks.Go(func() { s.runStreamClient(i) })
	}
	for i := range uploadClients {
		s.tasks.Go(func() { s.runUploadClient(i) })
	}
	for i := range soakClients {
		s.tasks.Go(func() { s.runLargeClient(i) })
	}
	for end := time.Now().Add(soakFaultDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(300+s.rng.IntN(1200)) * time.Millisecond)
		first := s.rng.IntN(soakRouters)
		s.restart(s.routers[first], syscall.SIGTERM, 0)
		if s.rng.IntN(3) == 0 {
			s.restart(s.routers[(first+1)%soakRouters], syscall.SIGTERM, 0)
		}
	}
	s.awaitRecovery()
	close(s.stop)
	s.tasks.Wait()
	s.checkOverlaps()
	s.t.Logf("%d large answers, %d large bodies refused", s.largeAnswers, s.refusedBodies)
	s.Expect(s.largeAnswers).To(BeNumerically(">", 20))
	s.Expect(s.refusedBodies).To(BeNumerically(">", 0))
	s.checkHistory()
}

// checkOverlaps reports streams that went on at another worker while the one before worked on them.
func (s *slowSoak) checkOverlaps() {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	for attempt, runs := range s.runs {
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				if overlap := earlier.ended.Sub(later.began); earlier.worker != later.worker && overlap > overlapLimit {
					s.reportViolation("stream %s went on at %s while %s worked on it for another %v", attempt, later.worker, earlier.worker, overlap)
				}
			}
		}
	}
}

// runLargeClient requests large answers from the routers in turn.
func (s *slowSoak) runLargeClient(number int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for i := number; !s.isStopped(); i++ {
		router := s.routers[i%len(s.routers)]
		started := time.Now()
		status, body, err := s.post(client, router, largePath, nil)
		s.mu.Lock()
		if status == http.StatusOK && len(body) == largeAnswerBytes {
			s.largeAnswers++
		}
		s.mu.Unlock()
		if status == http.StatusOK && len(body) != largeAnswerBytes && s.isCalm(router, started) {
			s.reportViolation("an answer of %s was cut after %d bytes, %v after its request: %v", router.settings.Instance, len(body), time.Since(started), err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runUploadClient sends charges with large bodies to the routers in turn.
func (s *slowSoak) runUploadClient(number int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for i := number; !s.isStopped(); i++ {
		status, _, err := s.post(client, s.routers[(i/4)%len(s.routers)], "/debit/x", bytes.Repeat([]byte("u"), rand.IntN(maxUploadBytes)))
		s.mu.Lock()
		switch {
		case err == nil && status == http.StatusOK:
			s.successes++
		case status == http.StatusServiceUnavailable:
			s.refusedBodies++
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// post sends a request, and records it if the answer reports it as not run.
func (s *slowSoak) post(client *http.Client, router *machine, path string, body []byte) (status int, answer []byte, err error) {
	attempt := fmt.Sprintf("%016x", s.attempts.Add(1))
	// net/http does not retry a request whose body it cannot rewind.
	r, err := http.NewRequest(http.MethodPost, "http://"+router.settings.Listen.Callers+path, io.NopCloser(bytes.NewReader(body)))
	s.Expect(err).NotTo(HaveOccurred())
	r.ContentLength, r.Host = int64(len(body)), host
	for name, value := range map[string]string{
		"Peridotwinch-Attempt-Id": attempt, headerAttempt: attempt, "Peridotwinch-Request-Deadline": "1000",
		"Authorization": "Token " + apiKey, headerRouter: router.settings.Instance,
	} {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, response.StatusCode) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reportedNotRun[attempt] = true
	}
	return response.StatusCode, answer, err
}

func (s *soak) isStopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}
