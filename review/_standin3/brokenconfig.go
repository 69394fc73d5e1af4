package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// brokenConfig sends a configuration with one byte that is no UTF-8 text, so that it cannot be read in full.
func brokenConfig(rec *record, binary string, trouble bool) bool {
	f := newFleet(rec, binary, 3, 2)
	defer f.stop()
	f.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 3 {
		w := f.newWorker(fmt.Sprintf("i-%d", i+1), service, []string{"zone-a", "zone-b", "zone-c"}[i%3], f.subnet+".200:0")
		defer w.close()
		go w.run(ctx)
	}
	if m, _ := f.put(1, standardConfig(1), 15*time.Second); m == nil {
		check(fmt.Errorf("the first configuration was not acknowledged"))
	}
	f.awaitReady()
	l := &log{}
	stop := make(chan struct{})
	wait := f.traffic(l, 4, 30*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	next := standardConfig(2)
	if trouble {
		next = strings.Replace(next, `"/debit/"`, "\"/deb\xfft/\"", 1)
	}
	status, answer, err := call(f.controls[1], http.MethodPut, "/config", next, 2*time.Second)
	at := time.Now()
	rec.add("configuration 2 at %s: answered %d %v %s", f.controls[1].name, status, err, strings.TrimSpace(answer))
	acknowledged := status/100 == 2
	time.Sleep(configApply + 4*time.Second)
	close(stop)
	wait.Wait()
	counts := map[string]int{}
	denied := 0
	for _, a := range l.list() {
		when := "before"
		if a.sentAt.Sub(at) > configApply {
			when = "later than 2 s after"
		} else if a.sentAt.After(at) {
			when = "within 2 s after"
		}
		counts[fmt.Sprintf("%s the answer: %s %d", when, a.kind, a.status)]++
		if a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 && a.stamp == "" {
			denied++
		}
	}
	for key, count := range counts {
		rec.add("requests sent %s: %d", key, count)
	}
	for _, m := range f.controls {
		status, body, err := call(m, http.MethodGet, "/config", "", 2*time.Second)
		rec.add("%s: GET /config answered %d %v, the configuration as sent: %v", m.name, status, err, body == next)
	}
	rec.add("%d of %d requests were ended with a 4xx of the system's own", denied, len(l.list()))
	// Configuration 1 is the only valid one, unless there is no trouble; both allow all requests.
	limit := 5 + len(l.list())/500
	return trouble && acknowledged && denied > limit || denied > limit
}
