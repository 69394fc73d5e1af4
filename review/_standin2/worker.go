package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker: it announces itself to the control daemons, echoes the ID of a
// request and signs its answers.
type worker struct {
	id, service, zone string
	slots             int
	address           string
	born              int64
	server            *http.Server
	fleet             *fleet
	// path carries the worker's calls of control; nil for a direct one.
	call func(m *machine, method, path string, body []byte) (int, string, error)
	// serve answers a request whose ID was echoed and whose answer was signed.
	serve func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	sequence int
	state    string
	arrivals map[string]time.Time
	silent   bool
	next     int
}

func (f *fleet) newWorker(id, service, zone string, slots int, serve func(w http.ResponseWriter, r *http.Request)) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, slots: slots, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		fleet: f, call: f.call, serve: serve, state: "ready", arrivals: make(map[string]time.Time),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Peridotwinch-Attempt-Id")
	w.mu.Lock()
	w.arrivals[id] = time.Now()
	w.mu.Unlock()
	rw.Header().Set("Peridotwinch-Attempt-Id", id)
	if expected := r.Header.Get("Peridotwinch-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Peridotwinch-Server-Stamp", w.id+"."+id)
	w.serve(rw, r)
}

// arrived returns when a request has reached the worker.
func (w *worker) arrived(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.arrivals[id]
	return at, ok
}

// beat sends one heartbeat: to one control daemon after the other until one acknowledges it.
func (w *worker) beat() bool {
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		return false
	}
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": w.state,
		"ColdLeftMs": 0, "Seq": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	for range 3 {
		w.mu.Lock()
		m := w.fleet.controls[w.next%3]
		silent := w.silent
		w.mu.Unlock()
		if silent {
			return false
		}
		status, _, err := w.call(m, http.MethodPut, "/instances/"+w.id, body)
		if err == nil && status/100 == 2 {
			return true
		}
		w.mu.Lock()
		w.next++
		w.mu.Unlock()
	}
	return false
}

// run sends heartbeats until ctx ends.
func (w *worker) run(ctx context.Context) {
	for {
		w.beat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// stream sends events with increasing ids, one each pause.
func stream(rw http.ResponseWriter, r *http.Request, events int, pause time.Duration) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}

// setSilent makes the worker send no heartbeats, or send them again.
func (w *worker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// allArrivals returns when requests have reached the worker.
func (w *worker) allArrivals() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]time.Time, 0, len(w.arrivals))
	for _, at := range w.arrivals {
		out = append(out, at)
	}
	return out
}
