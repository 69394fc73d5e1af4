package platform

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// headerAttempt has a number that each attempt of a client has for itself, whatever its ID.
	headerAttempt = "Test-Attempt"
	// idReuseShare is the share of the attempts reported as not run whose ID the next one reuses,
	// noIDShare the share of the attempts without an ID.
	idReuseShare = 0.5
	noIDShare    = 0.02
)

// runClient sends charges (unsafe) and look-ups (safe) to the routers in turn over keep-alive
// connections.
func (s *soak) runClient(number int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	reusedID := ""
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		default:
		}
		path := "/debit/x"
		if i%3 == 0 {
			path = "/look/x"
		}
		attempt := fmt.Sprintf("%016x", s.attempts.Add(1))
		id := attempt
		switch {
		case reusedID != "":
			id, reusedID = reusedID, ""
			s.reusedIDs.Add(1)
		case rand.Float64() < noIDShare:
			id = ""
		}
		notRun := s.sendAndCheck(client, s.routers[(number+i/20)%len(s.routers)], path, attempt, id)
		if notRun && rand.Float64() < idReuseShare {
			reusedID = id
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sendAndCheck sends a request, checks its answer, and returns whether that reported the attempt
// as not run.
func (s *soak) sendAndCheck(client *http.Client, router *machine, path, attempt, id string) (notRun bool) {
	// net/http does not retry a request whose body it cannot rewind.
	r, err := http.NewRequest(http.MethodPost, "http://"+router.settings.Listen.Callers+path, io.NopCloser(bytes.NewReader([]byte("body"))))
	s.Expect(err).NotTo(HaveOccurred())
	r.ContentLength = int64(len("body"))
	r.Host = host
	if id != "" {
		r.Header.Set("Peridotwinch-Attempt-Id", id)
	}
	r.Header.Set(headerAttempt, attempt)
	r.Header.Set("Peridotwinch-Request-Deadline", "1000")
	r.Header.Set("Authorization", "Token "+apiKey)
	r.Header.Set(headerRouter, router.settings.Instance)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch status := response.StatusCode; {
	case err != nil:
	case status == http.StatusOK:
		s.successes++
		if got := response.Header.Get("Peridotwinch-Attempt-Id"); got != id || string(body) != "from "+response.Header.Get("Peridotwinch-Server-Stamp")[len("stamp-"):] {
			s.violations = append(s.violations, fmt.Sprintf("request %s received the answer to %s: %q", id, got, body))
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.reportedNotRun[attempt] = true
		return true
	case status == http.StatusBadRequest && id == "":
	case status < http.StatusInternalServerError:
		s.violations = append(s.violations, fmt.Sprintf("request %s got status %d: %s", id, status, body))
	}
	return false
}

// unsafeRuns returns the workers at which each attempt of an unsafe request ran.
func (s *soak) unsafeRuns() map[string][]string {
	runs := make(map[string][]string)
	for _, w := range s.workers {
		for _, r := range w.received() {
			if r.Method == http.MethodPost && (r.URL.Path == "/debit/x" || r.URL.Path == "/talk/x") {
				attempt := r.Header.Get(headerAttempt)
				runs[attempt] = append(runs[attempt], w.id)
			}
		}
	}
	return runs
}
