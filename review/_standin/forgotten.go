package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// drain is DrainMs.
const drain = 2 * time.Second

// beatBody returns the worker's next heartbeat.
func (w *worker) beatBody(state string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	raw, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": state,
		"ColdLeftMs": 0, "Stage": "prefill_decode", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}},
		"Seq": w.seq, "born": w.born,
	})
	return string(raw)
}

// leave ends the worker's heartbeats and sends its DELETE. It returns the time of the acknowledgement.
func (w *worker) leave(core *machine) time.Time {
	if status, body := w.fleet.call(core, http.MethodDelete, "/instances/"+w.id, ""); status != http.StatusOK {
		cannotRun("DELETE got status %d %s", status, body)
	}
	gone := time.Now()
	w.fleet.rec.line("worker %s: DELETE at %s acknowledged; it serves on for some seconds", w.id, core.name)
	return gone
}

// killCore kills all processes of the core at the same moment and starts them again within a second.
func (f *fleet) killCore() {
	cores := f.coreList()
	for _, core := range cores {
		core.signal(syscall.SIGKILL)
	}
	f.rec.line("platform: all processes of the core are killed")
	time.Sleep(700 * time.Millisecond)
	for _, core := range cores {
		<-core.exited
		core.bootstrap = false
		f.render(core)
		f.startMachine(core)
	}
	f.rec.line("platform: all processes of the core are back")
}

// countReached sends look-ups to all front machines from the time at which all machines are in touch
// again, until 10 s after the worker's DELETE was acknowledged. It returns how many reached the worker.
func (f *fleet) countReached(w *worker, gone, back time.Time) (reached int) {
	time.Sleep(time.Until(back.Add(contact + 500*time.Millisecond)))
	judged := time.Now()
	for time.Since(gone) < 10*time.Second {
		for _, m := range f.fronts {
			c := f.dial(m)
			c.send(f.rec, "GET", "/check/one", time.Second, "", "")
			_ = c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, one := range allRuns([]*worker{w}) {
		if one.began.After(judged) && one.began.Sub(gone) > drain {
			reached++
		}
	}
	f.rec.line("check: %d requests reached %s later than DrainMs after the acknowledgement that it is gone, sent on by machines in touch", reached, w.id)
	return reached
}

// playForgotten: workers that never report draining leave with DELETE and serve on for some seconds.
// With trouble, all processes of the core are killed. In the first part this happens while the last
// heartbeat of the worker is still on its way, in the second right after the acknowledgement.
func playForgotten(rec *record, trouble bool) bool {
	f := newFleet(rec, 2)
	f.start()
	f.configure(newConfig(1).json())
	f.awaitReady()
	var workers []*worker
	for i := range 4 {
		workers = append(workers, f.startWorker(fmt.Sprintf("i-lango%d", i+1), "lango", i, 6, answerBytes(800)))
	}
	f.awaitServed()
	time.Sleep(contact + time.Second)

	first := workers[0]
	first.stopBeating()
	late := first.beatBody("ready")
	rec.line("worker %s: sends heartbeat %d, which is held up on its way", first.id, first.seq)
	time.Sleep(time.Second)
	gone := first.leave(f.coreList()[1])
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.killCore()
	}
	back := time.Now()
	time.Sleep(time.Until(gone.Add(2500 * time.Millisecond)))
	status, _ := f.call(f.coreList()[0], http.MethodPut, "/instances/"+first.id, late)
	rec.line("worker %s: the heartbeat from before arrives: status %d", first.id, status)
	withLateBeat := f.countReached(first, gone, back)
	_ = first.server.Close()
	rec.line("worker %s: has ended", first.id)
	time.Sleep(contact)

	second := workers[1]
	second.stopBeating()
	gone = second.leave(f.coreList()[1])
	if trouble {
		f.killCore()
	}
	rightAfter := f.countReached(second, gone, time.Now())
	return withLateBeat > 0 || rightAfter > 0
}
