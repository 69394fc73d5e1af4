package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is MemoryMb of the front machines.
	memoryMB = 284
	// noiseBytesPerSecond is below a machine's LinkMbps of 1,000; noiseBytes is where the worker stops.
	noiseBytesPerSecond = 100 << 20
	noiseBytes          = 700 << 20
)

// residentMB returns the resident memory of the machine's process; 0 if it has ended.
func (m *machine) residentMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills the process of a machine that uses more than memoryMB, as the platform does, and
// returns the most that it used.
func (f *fleet) limitMemory(m *machine, stop <-chan struct{}) (most int) {
	for {
		used := m.residentMB()
		most = max(most, used)
		if used > memoryMB {
			m.signal(syscall.SIGKILL)
			f.rec.line("platform: %s uses %d MB, more than MemoryMb %d, and is killed", m.name, used, memoryMB)
			return most
		}
		select {
		case <-stop:
			return most
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// sendNoise answers with bytes that are not a response, until the caller closes the connection.
func sendNoise(w *worker, rw http.ResponseWriter, one *run) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	chunk := bytes.Repeat([]byte("kumi na moja "), 8<<10)
	start, sent := time.Now(), 0
	for sent < noiseBytes && err == nil {
		var n int
		n, err = c.Write(chunk)
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / noiseBytesPerSecond * float64(time.Second)))))
	}
	w.fleet.rec.line("worker %s: sent %d MB that are no answer to %s within %.1f s, then: %v", w.id, sent>>20, one.id, time.Since(start).Seconds(), err)
}

// playEndless: clients send debits to sound workers. With trouble, one of three model workers once
// answers with bytes that are not a response and do not end.
func playEndless(rec *record, trouble bool) bool {
	f := newFleet(rec, 2)
	f.start()
	f.configure(newConfig(1).json())
	f.awaitReady()
	var noisy atomic.Bool
	noisy.Store(trouble)
	plan := streamPlan{events: 10, gap: 50 * time.Millisecond}
	for i := range 3 {
		isFaulty := i == 0
		f.startWorker(fmt.Sprintf("i-lugha%d", i+1), "lugha", i, 64, func(w *worker, rw http.ResponseWriter, r *http.Request, one *run) {
			if isFaulty && noisy.Swap(false) {
				sendNoise(w, rw, one)
				return
			}
			plan.answer(w, rw, r, one)
		})
	}
	var debits []*worker
	for i := range 3 {
		debits = append(debits, f.startWorker(fmt.Sprintf("i-lango%d", i+1), "lango", i, 6, func(w *worker, rw http.ResponseWriter, r *http.Request, one *run) {
			time.Sleep(250 * time.Millisecond)
			answerBytes(800)(w, rw, r, one)
		}))
	}
	f.awaitServed()
	time.Sleep(contact + time.Second)
	m := f.fronts[0]
	stop := make(chan struct{})
	var group, watch sync.WaitGroup
	most := 0
	watch.Go(func() { most = f.limitMemory(m, stop) })
	var mu sync.Mutex
	var unanswered []string
	end := time.Now().Add(9 * time.Second)
	for i := range 12 {
		c := f.dial(m)
		group.Go(func() {
			defer func() { _ = c.Close() }()
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			for served := 0; time.Now().Before(end); served++ {
				r := c.send(rec, "POST", "/debit/one", 3*time.Second, "", "debit")
				if r.err == nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				if served > 0 && r.status == 0 {
					mu.Lock()
					unanswered = append(unanswered, r.id)
					mu.Unlock()
				}
				return
			}
		})
	}
	time.Sleep(time.Second)
	// Prompts go to all workers; the first that reaches the faulty one gets the noise.
	for i := 0; i < 12; i++ {
		group.Go(func() {
			c := f.dial(m)
			defer func() { _ = c.Close() }()
			prefix := fmt.Sprintf("5c1e07a2:119,%08x:580,%08x:130", 0x91bd3f00+i, 0xe4402b00+i)
			c.send(rec, "POST", "/clerk/ask", 12*time.Second, prefix, "question")
		})
	}
	group.Wait()
	close(stop)
	watch.Wait()
	lost := 0
	for _, one := range allRuns(debits) {
		for _, id := range unanswered {
			if one.id == id {
				lost++
			}
		}
	}
	rec.line("check: %s used %d MB at most", m.name, most)
	rec.line("check: %d requests of kept connections were passed on to a sound worker and ended without an answer", lost)
	return lost > 3
}
