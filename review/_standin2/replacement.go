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
	// catchUp is CatchUpS, recovery is RecoveryS and graceTime GraceS.
	catchUp   = 4 * time.Second
	recovery  = 12 * time.Second
	graceTime = 8 * time.Second
	// successorLead is the time from the start of the new core machine to the SIGTERM of the old
	// one: x of replace_core in the site file.
	successorLead = 2 * time.Second
	// afterCatchUp is the time from when nothing counts as lost any more to the loss of the disk.
	afterCatchUp = 200 * time.Millisecond
	// downTime is how long a machine that loses its disk is down.
	downTime = time.Second
	// readTimeout is how long the operator waits for each answer at the end of the day.
	readTimeout = 8 * time.Second
)

// startSmallFleet starts three control daemons, two routers and three workers, and configures them.
func startSmallFleet(record *recorder) (f *fleet, routes []object, stop func(), err error) {
	if f, err = newFleet(record, 2); err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stop = func() {
		cancel()
		f.stop()
	}
	defer func() {
		if err != nil {
			stop()
		}
	}()
	if err := f.start(); err != nil {
		return nil, nil, nil, err
	}
	for i := range 3 {
		w, err := f.newWorker(fmt.Sprintf("i-%08x", i+1), "lango", fmt.Sprintf("pwani-%c", 'a'+i), 6, func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(15 * time.Millisecond)
			_, _ = rw.Write([]byte("done"))
		})
		if err != nil {
			return nil, nil, nil, err
		}
		go w.run(ctx)
	}
	routes = []object{route("toll-debit", "/debit/", "unsafe", "lango", 600, 120, 1, false), route("pass-check", "/check/", "safe", "lango", 600, 120, 2, false)}
	if err := f.configure(config(7, routes...)); err != nil {
		return nil, nil, nil, err
	}
	if err := f.awaitReady(); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(5 * time.Second)
	return f, routes, stop, nil
}

// loseDisk makes a control daemon lose power and its disk. It comes back at its address after downTime.
func (f *fleet) loseDisk(m *machine) error {
	m.kill()
	if err := os.RemoveAll(filepath.Join(f.dir, m.name)); err != nil {
		return err
	}
	if err := f.writeControl(m, false); err != nil {
		return err
	}
	f.record.log("%s has lost power and its disk", m.name)
	time.Sleep(downTime)
	if err := m.start(); err != nil {
		return err
	}
	f.record.log("%s is back at its address with an empty disk", m.name)
	return nil
}

// readBack reads the configuration from all control daemons, as the operator does at the end of a
// day, from RecoveryS and ContactMs on, and then sends a change. It reports whether the rule is broken:
// the newest acknowledged configuration doesn't come, or another one does.
func (f *fleet) readBack(newest, next []byte, what string) (bool, string, error) {
	back := time.Now()
	time.Sleep(recovery + contactMS*time.Millisecond)
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
			if status != http.StatusOK {
				continue
			}
			got = true
			if body != string(newest) {
				return true, m.name + " returned another configuration than the newest acknowledged one", nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.record.log("reads of the configuration from %.0f s after that: %v", (recovery + contactMS*time.Millisecond).Seconds(), reads)
	acknowledged := false
	for i, end := 0, time.Now().Add(5*time.Second); time.Now().Before(end) && !acknowledged; i++ {
		status, _, err := f.call(f.controls[i%len(f.controls)], http.MethodPut, "/config", next)
		acknowledged = err == nil && status == http.StatusOK
	}
	f.record.log("a valid change was acknowledged: %v", acknowledged)
	if !got {
		return true, fmt.Sprintf("CONFIG: %.0f s after %s, the configuration did not come from any daemon: %v", time.Since(back).Seconds(), what, reads), nil
	}
	return false, fmt.Sprintf("the newest acknowledged configuration was read back; a change was acknowledged: %v", acknowledged), nil
}

// replacementCase replaces a core machine as planned: the new one is started first, then the old one
// gets SIGTERM and is removed. Once its successor has had CatchUpS, another core machine loses its
// disk. Then the configuration is read back.
func replacementCase(record *recorder, trouble bool) (bool, string, error) {
	f, routes, stop, err := startSmallFleet(record)
	if err != nil {
		return false, "", err
	}
	defer stop()
	newest := config(9, routes...)
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
	case <-time.After(graceTime):
		c.kill()
		record.log("%s got SIGTERM and was killed after GraceS", c.name)
	}
	f.controls = []*machine{a, f.controls[1], successor}
	time.Sleep(time.Until(started.Add(catchUp + afterCatchUp)))
	if trouble {
		record.log("%.1f s after the start of %s:", time.Since(started).Seconds(), successor.name)
		if err := f.loseDisk(a); err != nil {
			return false, "", err
		}
	}
	return f.readBack(newest, config(11, routes...), fmt.Sprintf("%s had lost its disk", a.name))
}
