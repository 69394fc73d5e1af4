package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["replacement"] = replacementCase }

const (
	// catchUp is CatchUpS, recovery is RecoveryS.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// successorLead is the time from the start of the new core machine to the SIGTERM of the old
	// one: x of replace_core in the site file.
	successorLead = 2 * time.Second
	// afterCatchUp is the time from when nothing counts as lost any more to the loss of the disk.
	afterCatchUp = 200 * time.Millisecond
	// readTimeout is how long the operator waits for each answer at the end of the day.
	readTimeout = 8 * time.Second
)

// replacementCase replaces a core machine as planned: the new one is started first, then the old one
// gets SIGTERM and is removed. Once its successor has had CatchUpS, another core machine loses its
// disk. Then the configuration is read back.
func replacementCase(record *recorder, trouble bool) (bool, string, error) {
	f, err := newFleet(record, 2)
	if err != nil {
		return false, "", err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 3 {
		w, err := f.newWorker(fmt.Sprintf("i-%08x", i+1), "lango", fmt.Sprintf("pwani-%c", 'a'+i), 6, func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(15 * time.Millisecond)
			_, _ = rw.Write([]byte("done"))
		})
		if err != nil {
			return false, "", err
		}
		go w.run(ctx)
	}
	routes := []object{route("toll-debit", "/debit/", "unsafe", "lango", 600, 120, 1, false), route("pass-check", "/check/", "safe", "lango", 600, 120, 2, false)}
	newest := config(7, routes...)
	if err := f.configure(newest); err != nil {
		return false, "", err
	}
	if err := f.awaitReady(); err != nil {
		return false, "", err
	}
	time.Sleep(5 * time.Second)
	newest = config(9, routes...)
	if err := f.configure(newest); err != nil {
		return false, "", err
	}
	record.log("configuration 9 acknowledged")
	a, c := f.controls[0], f.controls[2]
	successor, err := f.addControl(9)
	if err != nil {
		return false, "", err
	}
	started := time.Now()
	if err := successor.start(); err != nil {
		return false, "", err
	}
	record.log("%s started at a new address with an empty disk; it replaces %s", successor.name, c.name)
	time.Sleep(time.Until(started.Add(successorLead)))
	_ = c.signal(syscall.SIGTERM)
	select {
	case <-c.ended:
		record.log("%s got SIGTERM and has ended; it does not come back", c.name)
	case <-time.After(8 * time.Second):
		c.kill()
		record.log("%s got SIGTERM and was killed after GraceS", c.name)
	}
	f.controls = []*machine{a, f.controls[1], successor}
	time.Sleep(time.Until(started.Add(catchUp + afterCatchUp)))
	if trouble {
		a.kill()
		if err := os.RemoveAll(filepath.Join(f.dir, a.name)); err != nil {
			return false, "", err
		}
		if err := f.writeControl(a, false); err != nil {
			return false, "", err
		}
		record.log("%s has lost its disk, %.1f s after the start of %s", a.name, time.Since(started).Seconds(), successor.name)
		time.Sleep(time.Second)
		if err := a.start(); err != nil {
			return false, "", err
		}
		record.log("%s is back at its address with an empty disk", a.name)
	}
	back := time.Now()
	time.Sleep(recovery + contactMS*time.Millisecond)
	// The operator reads the configuration repeatedly, and sends a change to any daemon.
	reads, got := make(map[string]int), false
	f.client.Timeout = readTimeout
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && !got; {
		for _, m := range f.controls {
			status, body, err := f.call(m, http.MethodGet, "/config", nil)
			answer := fmt.Sprint(status)
			if err != nil {
				answer = "no answer"
			}
			reads[m.name+": "+answer]++
			if status == http.StatusOK {
				got = true
				if body != string(newest) {
					return true, m.name + " returned another configuration than the newest acknowledged one", nil
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	record.log("reads of the configuration from %.0f s after the machine was back: %v", (recovery + contactMS*time.Millisecond).Seconds(), reads)
	acknowledged := false
	for i, end := 0, time.Now().Add(5*time.Second); time.Now().Before(end) && !acknowledged; i++ {
		status, _, err := f.call(f.controls[i%3], http.MethodPut, "/config", config(11, routes...))
		acknowledged = err == nil && status == http.StatusOK
	}
	record.log("a valid change was acknowledged: %v", acknowledged)
	if !got {
		return true, fmt.Sprintf("CONFIG: the configuration did not come, %.0f s after all machines were back, at any daemon: %v", time.Since(back).Seconds(), reads), nil
	}
	return false, fmt.Sprintf("the newest acknowledged configuration was read back; a change was acknowledged: %v", acknowledged), nil
}
