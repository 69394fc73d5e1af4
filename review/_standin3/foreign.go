package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// standardConfig has an unsafe and a safe route, and one more route that only this version has.
func standardConfig(version int) string {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 2000, "SloMs": 300, "Priority": 1,
			"Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false, "GapSloMs": 0,
		}
	}
	return jsonText(map[string]any{
		"Version":  version,
		"Routes":   []any{route("debit", "/debit/", "unsafe", 1), route("look", "/look/", "safe", 2), route("probe", fmt.Sprintf("/v%d/", version), "safe", 2)},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "tenant", "ApiKeys": []any{apiKey}, "Priority": 1}},
	})
}

// traffic sends requests to each front, some at a time, until stop is closed.
func (f *fleet) traffic(l *log, perFront int, gap time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var wait sync.WaitGroup
	for _, m := range f.fronts {
		for i := range perFront {
			wait.Go(func() {
				c := newClient(m)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(gap):
					}
					if (n+i)%2 == 0 {
						l.add(c.send("POST", host, "/debit/x", "unsafe", "charge", 600*time.Millisecond))
					} else {
						l.add(c.send("GET", host, "/look/x", "safe", "", 600*time.Millisecond))
					}
				}
			})
		}
	}
	return &wait
}

// foreignHeartbeat sends one heartbeat of another writer, in which the field Seq is missing, with the id and the
// address of a worker. Later the worker leaves.
func foreignHeartbeat(rec *record, binary string, trouble bool) bool {
	f := newFleet(rec, binary, 3, 2)
	defer f.stop()
	f.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var workers []*worker
	for i := range 3 {
		w := f.newWorker(fmt.Sprintf("i-%d", i+1), service, []string{"zone-a", "zone-b", "zone-c"}[i%3], f.subnet+".200:0")
		defer w.close()
		workers = append(workers, w)
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
	leaving := workers[0]
	if trouble {
		body := jsonText(map[string]any{
			"Service": service, "Address": leaving.address, "Zone": leaving.zone, "Version": "v1", "Slots": leaving.slots, "State": "ready",
			"ColdLeftMs": 0, "born": time.Now().UnixMilli(),
		})
		status, answer, err := call(f.controls[1], http.MethodPut, "/instances/"+leaving.id, body, time.Second)
		rec.add("heartbeat without Seq for %s at %s: %s: answered %d %v %s", leaving.id, f.controls[1].name, strings.TrimSpace(body), status, err, strings.TrimSpace(answer))
	}
	time.Sleep(4 * time.Second)
	at, by, ok := leaving.leave()
	if !ok {
		check(fmt.Errorf("no machine acknowledged that %s leaves", leaving.id))
	}
	rec.add("%s is draining: acknowledged by %s", leaving.id, by)
	time.Sleep(drain + 4*time.Second)
	close(stop)
	wait.Wait()
	early, late := 0, 0
	for _, r := range leaving.allRuns() {
		switch since := r.at.Sub(at); {
		case since > drain:
			if late++; late <= 5 {
				rec.add("DRAIN: %s ran request %s %v after the acknowledgement", leaving.id, r.id, since.Round(time.Millisecond))
			}
		case since < 0:
			early++
		}
	}
	rec.add("%s ran %d requests before the acknowledgement, %d later than %v after it", leaving.id, early, late, drain)
	counts := map[string]int{}
	for _, a := range l.list() {
		counts[fmt.Sprint(a.kind, " ", a.status)]++
	}
	rec.add("the clients' requests by kind and status: %v", counts)
	return late > 0
}
