package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"peridotwinch.example/peridotwinch/internal/fleetview"
)

const (
	// catchUp is CatchUpS, contact is ContactMs, apply is ConfigApplyMs.
	catchUp = 4 * time.Second
	contact = 3 * time.Second
	apply   = 2 * time.Second
)

// rpcAddress returns the address of a core machine under which other daemons know it.
func (f *fleet) rpcAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.ports["internal0"])
}

// inReplacementOrder returns the core machines in the order in which the operator replaces them: last
// the one to which the first front machine prefers to connect.
func (f *fleet) inReplacementOrder() []*machine {
	cores := f.coreList()
	var addresses []string
	for _, core := range cores {
		addresses = append(addresses, f.rpcAddress(core))
	}
	last := fleetview.PreferredReplica(f.fronts[0].name, addresses)
	slices.SortStableFunc(cores, func(a, b *machine) int {
		switch last {
		case f.rpcAddress(a):
			return 1
		case f.rpcAddress(b):
			return -1
		}
		return 0
	})
	return cores
}

// replace removes a core machine for good and adds an empty one with the same role at a new address
// 2 s later. The settings files of the other machines stay as they are.
func (f *fleet) replace(gone *machine, index int) {
	f.rec.line("platform: %s (%s) is gone for good", gone.name, gone.ip)
	gone.signal(syscall.SIGKILL)
	<-gone.exited
	time.Sleep(2 * time.Second)
	added := f.newMachine("core", index)
	added.zone = gone.zone
	f.mu.Lock()
	f.cores[slices.Index(f.cores, gone)] = added
	f.mu.Unlock()
	added.seeds = f.seedsOf(f.coreList())
	f.render(added)
	f.startMachine(added)
	f.rec.line("platform: %s (%s) starts with an empty disk, seeds %v", added.name, added.ip, added.seeds)
	// The machine counts as lost for CatchUpS after its start.
	time.Sleep(catchUp + contact + time.Second)
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		status, body := f.call(added, http.MethodGet, "/config", "")
		f.rec.line("operator: GET /config at %s: status %d, %d bytes", added.name, status, len(body))
		if status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			cannotRun("the new core machine has no configuration yet")
		}
	}
}

// playReplaced: with trouble, the core machines are replaced one after the other, each after the one
// before has had its time to catch up. Then a configuration adds a route.
func playReplaced(rec *record, trouble bool) bool {
	f := newFleet(rec, 7)
	f.start()
	f.configure(newConfig(1).json())
	f.awaitReady()
	for i := range 3 {
		f.startWorker(fmt.Sprintf("i-lango%d", i+1), "lango", i, 6, answerBytes(800))
	}
	f.awaitServed()
	// Front machines return to the core machine that they prefer within 6 s.
	time.Sleep(8 * time.Second)
	if trouble {
		for i, core := range f.inReplacementOrder() {
			f.replace(core, 10+i)
		}
	}
	second := newConfig(2)
	added := second.Routes[2]
	added.Name, added.PathPrefix = "pass-check-2", "/check2/"
	second.Routes = append(second.Routes, added)
	f.configure(second.json())
	acknowledged := time.Now()
	time.Sleep(apply + 500*time.Millisecond)
	old := make(map[string]int)
	for time.Since(acknowledged) < 12*time.Second {
		for _, m := range f.fronts {
			c := f.dial(m)
			r := c.send(rec, "GET", "/check2/one", 3*time.Second, "", "")
			_ = c.Close()
			if r.status == http.StatusNotFound {
				old[m.name]++
				rec.line("check: %s refuses a route of version 2, %.1f s after its acknowledgement", m.name, time.Since(acknowledged).Seconds())
			}
		}
		time.Sleep(time.Second)
	}
	var names []string
	for name, count := range old {
		names = append(names, fmt.Sprintf("%s (%d times)", name, count))
	}
	slices.Sort(names)
	rec.line("check: %d of %d front machines handle requests as only version 1 allows: %s", len(old), len(f.fronts), strings.Join(names, ", "))
	return len(old) > 0
}
