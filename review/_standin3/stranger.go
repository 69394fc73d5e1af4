package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// strangerHeartbeats is the number of heartbeats of the other writer.
const strangerHeartbeats = 8

// strangersEntry sends heartbeats of another writer, in which the field Seq is missing, for a process that is no
// worker: it answers 404 to all paths of the routes.
func strangersEntry(rec *record, binary string, trouble bool) bool {
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
	listener, err := net.Listen("tcp", f.subnet+".201:0")
	check(err)
	var received, unsafe atomic.Int64
	stranger := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		if r.Method == http.MethodPost {
			unsafe.Add(1)
		}
		http.NotFound(w, r)
	})}
	go func() { _ = stranger.Serve(listener) }()
	defer stranger.Close()
	at := time.Now()
	if trouble {
		for i := range strangerHeartbeats {
			body := jsonText(map[string]any{
				"Service": service, "Address": listener.Addr().String(), "Zone": "zone-a", "Version": "v1", "Slots": 6, "State": "ready",
				"ColdLeftMs": 0, "born": at.UnixMilli(),
			})
			m := f.controls[i%len(f.controls)]
			status, answer, err := call(m, http.MethodPut, "/instances/stranger-1", body, time.Second)
			rec.add("heartbeat without Seq for stranger-1 at %s: %s: answered %d %v %s", m.name, strings.TrimSpace(body), status, err, strings.TrimSpace(answer))
			time.Sleep(1200 * time.Millisecond)
		}
	} else {
		time.Sleep(strangerHeartbeats * 1200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	counts := map[string]int{}
	denied, all := 0, 0
	for _, a := range l.list() {
		all++
		counts[fmt.Sprint(a.kind, " ", a.status)]++
		if a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 && a.stamp == "" {
			if denied++; denied <= 5 {
				rec.add("DENIED: %s request %s to %s was ended with %d, no stamp, body %.40q", a.kind, a.id, a.front, a.status, a.body)
			}
		}
	}
	rec.add("the clients' requests by kind and status: %v", counts)
	rec.add("the process that is no worker received %d requests, %d of them unsafe", received.Load(), unsafe.Load())
	rec.add("%d of %d requests were ended with a 4xx without a worker's stamp; allowed are %d", denied, all, 5+all/500)
	return denied > 5+all/500
}
