package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["overlap"] = overlapCase }

const (
	// streamEvents is the number of events of a stream, and eventPause the time between two.
	streamEvents = 58
	eventPause   = 60 * time.Millisecond
	// preemptAfter is the event after which a worker preempts a stream, and preemptTime for how long.
	preemptAfter = 10
	preemptTime  = 1500 * time.Millisecond
	// overlapLimit is the time after which the worker before must have stopped.
	overlapLimit = 400 * time.Millisecond
)

// run is the work of one worker on one request.
type run struct {
	worker       string
	began, ended time.Time
	events       int
}

// overlapCase sends resumable streams. The workers preempt some of them for less time than clients
// wait, and are of the kind that does not drop a request when its connection closes.
func overlapCase(record *recorder, trouble bool) (bool, string, error) {
	f, err := newFleet(record, 1)
	if err != nil {
		return false, "", err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	runs := make(map[string][]*run)
	var work sync.WaitGroup
	for i := range 3 {
		id := fmt.Sprintf("i-%08x", i+1)
		w, err := f.newWorker(id, "lugha", fmt.Sprintf("pwani-%c", 'a'+i), 64, func(rw http.ResponseWriter, r *http.Request) {
			from := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
			request := r.Header.Get("Peridotwinch-Attempt-Id")
			own := &run{worker: id, began: time.Now()}
			mu.Lock()
			first := len(runs[request]) == 0
			runs[request] = append(runs[request], own)
			mu.Unlock()
			work.Add(1)
			defer work.Done()
			rw.Header().Set("Content-Type", "text/event-stream")
			for event := from + 1; event <= streamEvents; event++ {
				time.Sleep(eventPause)
				if trouble && first && event == preemptAfter+1 {
					record.log("%s preempts request %s for %v", id, request, preemptTime)
					time.Sleep(preemptTime)
				}
				// The run goes on if nobody reads its events any more.
				_, _ = fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", event, event)
				_ = http.NewResponseController(rw).Flush()
				mu.Lock()
				own.ended, own.events = time.Now(), own.events+1
				mu.Unlock()
			}
		})
		if err != nil {
			return false, "", err
		}
		go w.run(ctx)
	}
	if err := f.configure(config(7, route("clerk-query", "/clerk/", "streaming", "lugha", 12000, 400, 2, true))); err != nil {
		return false, "", err
	}
	if err := f.awaitReady(); err != nil {
		return false, "", err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			c := newClient(f.routers[0].callers)
			got := c.send(http.MethodPost, "/clerk/x", []byte("question"), 12*time.Second, http.Header{
				"Peridotwinch-Model-Name": {"m"}, "Peridotwinch-Token-Count": {"830,290"},
				"Peridotwinch-Prefix-Hash": {fmt.Sprintf("5c1e07a2:120,91bd3f%02x:580,e4402b%02x:130", i, i)},
			})
			record.log("request %s: status %d, %d bytes, error %v", got.id, got.status, len(got.body), got.err)
		})
	}
	clients.Wait()
	work.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for request, list := range runs {
		for i := 1; i < len(list); i++ {
			overlap := list[i-1].ended.Sub(list[i].began)
			record.log("request %s went on at %s; %s, which had it before, still worked on it %d ms later", request, list[i].worker, list[i-1].worker, overlap.Milliseconds())
			if list[i].worker != list[i-1].worker && overlap > overlapLimit {
				broken++
			}
		}
	}
	return broken > 0, fmt.Sprintf("TWICE: of %d requests, %d went on at another worker while the worker before still worked on them %v later", len(runs), broken, overlapLimit), nil
}
