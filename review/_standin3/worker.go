package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a server of one service. It announces itself as the page PROTOCOL describes it.
type worker struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	address  string
	slots    int
	work     time.Duration
	seq      atomic.Int64
	born     int64
	state    atomic.Value
	beatAddr atomic.Value
	stop     chan struct{}
	stopOnce sync.Once
	server   *http.Server
	listener net.Listener
	// handle, if set, answers instead of the standard answer.
	handle func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs []run
}

// run is a request that the worker has begun to work on.
type run struct {
	id, worker, path, tenant string
	at                       time.Time
}

func (f *fleet) newWorker(id, service, zone, address string) *worker {
	w := &worker{fleet: f, id: id, service: service, zone: zone, slots: 6, work: 15 * time.Millisecond, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	check(err)
	w.listener, w.address = listener, listener.Addr().String()
	w.state.Store("ready")
	w.beatAddr.Store("")
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

func (w *worker) close() {
	w.stopOnce.Do(func() { close(w.stop) })
	_ = w.server.Close()
}

func (w *worker) beatBody(seq int64) string {
	return jsonText(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": w.state.Load(),
		"ColdLeftMs": 0, "Models": []any{}, "Seq": seq, "born": w.born,
	})
}

// beat sends one heartbeat and returns when and by which machine it was acknowledged.
func (w *worker) beat() (time.Time, string, bool) {
	body := w.beatBody(w.seq.Add(1))
	var targets []*machine
	if at := w.beatAddr.Load().(string); at != "" {
		for _, m := range w.fleet.controls {
			if m.control == at {
				targets = append(targets, m)
			}
		}
	}
	first := int(w.seq.Load())
	for i := range w.fleet.controls {
		targets = append(targets, w.fleet.controls[(first+i)%len(w.fleet.controls)])
	}
	for _, m := range targets {
		status, answer, err := call(m, http.MethodPut, "/instances/"+w.id, body, time.Second)
		if err == nil && status/100 == 2 {
			w.beatAddr.Store("")
			if _, rest, found := strings.Cut(answer, `"HeartbeatAddr":"`); found {
				address, _, _ := strings.Cut(rest, `"`)
				w.beatAddr.Store(address)
			}
			return time.Now(), m.name, true
		}
		w.beatAddr.Store("")
	}
	return time.Now(), "", false
}

func (w *worker) run(ctx context.Context) {
	for {
		w.beat()
		select {
		case <-w.stop:
			return
		case <-ctx.Done():
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// leave announces that the worker drains until that is acknowledged.
func (w *worker) leave() (time.Time, string, bool) {
	w.state.Store("draining")
	for range 20 {
		if at, by, ok := w.beat(); ok {
			return at, by, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Now(), "", false
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Peridotwinch-Attempt-Id")
	header := rw.Header()
	header.Set("Peridotwinch-Attempt-Id", id)
	if expected := r.Header.Get("Peridotwinch-Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Peridotwinch-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, worker: w.id, path: r.RequestURI, tenant: r.Header.Get("Peridotwinch-Tenant-Name"), at: time.Now()})
	w.mu.Unlock()
	if w.handle != nil {
		w.handle(rw, r)
		return
	}
	deadline, _ := strconv.Atoi(r.Header.Get("Peridotwinch-Request-Deadline"))
	if deadline > 0 && time.Duration(deadline)*time.Millisecond < w.work {
		time.Sleep(time.Duration(deadline) * time.Millisecond)
		header.Set("Peridotwinch-Server-Stamp", "stamp."+w.id+"."+id)
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	time.Sleep(w.work)
	header.Set("Peridotwinch-Server-Stamp", "stamp."+w.id+"."+id)
	fmt.Fprintf(rw, "answer of %s to %s", w.id, id)
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}
