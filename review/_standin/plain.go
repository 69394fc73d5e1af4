package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playBigBody: workers answer look-ups with a long body, with trouble one of 17 MiB.
func playBigBody(rec *record, trouble bool) bool {
	size := 1 << 20
	if trouble {
		size = 17 << 20
	}
	f := newFleet(rec, 1)
	f.start()
	f.configure(newConfig(1).json())
	f.awaitReady()
	f.startWorker("i-lango1", "lango", 0, 6, answerBytes(size))
	f.awaitServed()
	wrong := 0
	for range 3 {
		c := f.dial(f.fronts[0])
		r := c.send(rec, "GET", "/check/export", 3*time.Second, "", "")
		_ = c.Close()
		if r.err == nil && r.status == http.StatusOK && len(r.body) != size {
			wrong++
			rec.line("check: %s got a success with %d of the worker's %d bytes, which looks complete", r.id, len(r.body), size)
		}
	}
	return wrong > 0
}

// playTrailing: an operator's configuration file is rewritten in place by a shorter one, so that the
// end of the longer one is left behind the new text. Without trouble, the file is cut to its length.
func playTrailing(rec *record, trouble bool) bool {
	f := newFleet(rec, 2)
	f.start()
	first := newConfig(1)
	f.configure(first.json())
	f.awaitReady()
	for i := range 3 {
		f.startWorker(fmt.Sprintf("i-lango%d", i+1), "lango", i, 6, answerBytes(800))
	}
	f.awaitServed()
	// The operator gives the route of the look-ups a shorter prefix.
	second := newConfig(2)
	second.Routes[2].PathPrefix = "/chk/"
	body := second.json()
	if trouble {
		body += first.json()[len(body):]
	}
	rec.line("operator: sends %d bytes, valid JSON: %v, end %q", len(body), json.Valid([]byte(body)), body[len(body)-20:])
	status, answer := f.call(f.cores[0], http.MethodPut, "/config", body)
	rec.line("operator: status %d %s", status, strings.TrimSpace(answer))
	time.Sleep(2500 * time.Millisecond)
	status2, held := f.call(f.cores[1], http.MethodGet, "/config", "")
	rec.line("operator: reads back status %d, %d bytes, valid JSON: %v", status2, len(held), json.Valid([]byte(held)))
	denied := 0
	for _, m := range f.fronts {
		c := f.dial(m)
		r := c.send(rec, "GET", "/check/one", time.Second, "", "")
		_ = c.Close()
		if r.status == http.StatusNotFound {
			denied++
		}
	}
	if !trouble {
		return status != http.StatusOK || denied != len(f.fronts)
	}
	rec.line("check: invalid configuration acknowledged: %v; in force: %d of %d front machines refuse the route that only the valid configuration has", status == http.StatusOK, denied, len(f.fronts))
	return status == http.StatusOK || denied > 0
}
