package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a run of a request on a worker.
type run struct {
	worker, id, path   string
	resumedAfter       int
	began, ended, last time.Time
	// complete reports whether the worker made the last event or the whole answer.
	complete bool
}

// worker is a sound worker of a service.
type worker struct {
	fleet               *fleet
	id, service, zone   string
	address             string
	slots               int
	born                int64
	answer              func(w *worker, rw http.ResponseWriter, r *http.Request, run *run)
	mu                  sync.Mutex
	runs                []*run
	seq, running        int
	server              *http.Server
	stopBeats, beatsEnd chan struct{}
}

// startWorker starts a worker on the loopback address of a zone's machine and registers it.
func (f *fleet) startWorker(id, service string, index int, slots int, answer func(*worker, http.ResponseWriter, *http.Request, *run)) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	w := &worker{
		fleet: f, id: id, service: service, zone: zones[index%len(zones)], address: listener.Addr().String(), slots: slots,
		born: time.Now().UnixMilli(), answer: answer, stopBeats: make(chan struct{}), beatsEnd: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	stops = append(stops, func() { _ = w.server.Close() })
	if !w.beat("ready") {
		cannotRun("worker %s is not registered", id)
	}
	go w.beatUntilStopped()
	return w
}

// beat sends a heartbeat to one core machine after the other until one acknowledges it.
func (w *worker) beat(state string) bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		for _, core := range w.fleet.coreList() {
			if status, _ := w.fleet.call(core, http.MethodPut, "/instances/"+w.id, w.beatBody(state)); status == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (w *worker) beatUntilStopped() {
	defer close(w.beatsEnd)
	for {
		select {
		case <-w.stopBeats:
			return
		case <-time.After(1200 * time.Millisecond):
			w.beat("ready")
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Peridotwinch-Attempt-Id", r.Header.Get("Peridotwinch-Attempt-Id"))
	w.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", w.running, w.slots)
	w.mu.Unlock()
	rw.Header().Set("Peridotwinch-Server-Load", load)
	if r.URL.Path == "/health" {
		rw.Header().Set("Peridotwinch-Instance-Id", w.id)
		return
	}
	if expected := r.Header.Get("Peridotwinch-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Peridotwinch-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	one := &run{worker: w.id, id: r.Header.Get("Peridotwinch-Attempt-Id"), path: r.URL.Path, resumedAfter: after, began: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, one)
	w.running++
	w.mu.Unlock()
	w.fleet.rec.line("worker %s (%s): runs %s %s, after event %d", w.id, w.service, one.id, one.path, after)
	rw.Header().Set("Peridotwinch-Server-Stamp", "stamp."+w.id)
	w.answer(w, rw, r, one)
	w.mu.Lock()
	one.ended = time.Now()
	w.running--
	complete, last := one.complete, one.last
	w.mu.Unlock()
	w.fleet.rec.line("worker %s: ends %s, complete %v, last event %.3f s after the run began", w.id, one.id, complete, last.Sub(one.began).Seconds())
}

// allRuns returns copies of the runs of some workers.
func allRuns(workers []*worker) (out []run) {
	for _, w := range workers {
		w.mu.Lock()
		for _, one := range w.runs {
			out = append(out, *one)
		}
		w.mu.Unlock()
	}
	return out
}

// answerBytes answers with a body of some bytes.
func answerBytes(size int) func(*worker, http.ResponseWriter, *http.Request, *run) {
	return func(w *worker, rw http.ResponseWriter, r *http.Request, one *run) {
		_, _ = io.Copy(io.Discard, r.Body)
		rw.Header().Set("Content-Length", strconv.Itoa(size))
		_, err := rw.Write(bytes.Repeat([]byte("0123456789abcdef"), (size+15)/16)[:size])
		w.mu.Lock()
		one.complete, one.last = err == nil, time.Now()
		w.mu.Unlock()
	}
}

// streamPlan is how a worker makes the events of a stream.
type streamPlan struct {
	events int
	// secondEvents is the number of events of requests on /clerk/second.
	secondEvents int
	gap          time.Duration
	// preemptAfter is the event of a first run after which the run is preempted, and preempted for how
	// long; 0 for never.
	preemptAfter int
	preempted    time.Duration
	// keepsRunning makes the worker go on after its connection has closed.
	keepsRunning bool
}

func (p streamPlan) answer(w *worker, rw http.ResponseWriter, r *http.Request, one *run) {
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Peridotwinch-Weight-Versions", "1")
	closed := r.Context().Done()
	if p.keepsRunning {
		closed = nil
	}
	events := p.events
	if r.URL.Path == "/clerk/second" {
		events = p.secondEvents
	}
	for id := one.resumedAfter + 1; id <= events; id++ {
		pause := p.gap
		if one.resumedAfter == 0 && p.preemptAfter > 0 && id == p.preemptAfter+1 {
			pause += p.preempted
			w.fleet.rec.line("worker %s: %s is preempted for %v after event %d", w.id, one.id, p.preempted, p.preemptAfter)
		}
		select {
		case <-closed:
			w.fleet.rec.line("worker %s: connection of %s closed before event %d", w.id, one.id, id)
			return
		case <-time.After(pause):
		}
		_, err := io.WriteString(rw, event(id))
		_ = http.NewResponseController(rw).Flush()
		if err != nil && !p.keepsRunning {
			return
		}
		w.mu.Lock()
		one.last, one.complete = time.Now(), id == events
		w.mu.Unlock()
	}
}

// stopBeating ends the worker's periodic heartbeats.
func (w *worker) stopBeating() {
	close(w.stopBeats)
	<-w.beatsEnd
}
