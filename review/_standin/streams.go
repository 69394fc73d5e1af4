package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// startSite starts the daemons, the workers of both services and the first configuration.
func startSite(rec *record, fronts int, plan streamPlan) (f *fleet, models []*worker) {
	f = newFleet(rec, fronts)
	f.start()
	f.configure(newConfig(1).json())
	f.awaitReady()
	for i := range 3 {
		models = append(models, f.startWorker(fmt.Sprintf("i-lugha%d", i+1), "lugha", i, 64, plan.answer))
		f.startWorker(fmt.Sprintf("i-lango%d", i+1), "lango", i, 6, answerBytes(800))
	}
	f.awaitServed()
	// All machines have been in touch for longer than ContactMs.
	time.Sleep(3500 * time.Millisecond)
	return f, models
}

// awaitServed waits until every front machine serves look-ups and knows all model workers.
func (f *fleet) awaitServed() {
	for _, m := range f.fronts {
		for end := time.Now().Add(15 * time.Second); ; {
			c := f.dial(m)
			r := c.send(f.rec, "GET", "/check/warm-up", time.Second, "", "")
			_ = c.Close()
			if r.status == 200 {
				break
			}
			if time.Now().After(end) {
				cannotRun("%s does not serve", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
}

// sendStreams sends resumable streams at once, each on a kept connection of its own that has
// carried a look-up before, and returns what the clients saw.
func (f *fleet) sendStreams(m *machine, count int) []result {
	results := make([]result, count)
	var group sync.WaitGroup
	for i := range count {
		c := f.dial(m)
		if r := c.send(f.rec, "GET", "/check/first", 3*time.Second, "", ""); r.status != 200 {
			cannotRun("the first request of a connection got status %d", r.status)
		}
		group.Go(func() {
			defer func() { _ = c.Close() }()
			prefix := fmt.Sprintf("5c1e07a2:119,%08x:580,%08x:130", 0x91bd3f00+i, 0xe4402b00+i)
			results[i] = c.send(f.rec, "POST", "/clerk/ask", 12*time.Second, prefix, "question")
		})
	}
	group.Wait()
	return results
}

// playSilence: a front machine is stopped with SIGTERM while streams run. With trouble, the model
// workers preempt each stream once, for less than clients wait.
func playSilence(rec *record, trouble bool) bool {
	plan := streamPlan{events: 40, gap: 100 * time.Millisecond}
	if trouble {
		plan.preemptAfter, plan.preempted = 5, 1500*time.Millisecond
	}
	f, models := startSite(rec, 2, plan)
	var terminated time.Time
	go func() {
		time.Sleep(300 * time.Millisecond)
		terminated = time.Now()
		rec.line("platform: SIGTERM to %s", f.fronts[0].name)
		f.fronts[0].signal(syscall.SIGTERM)
	}()
	results := f.sendStreams(f.fronts[0], 12)
	ended := time.Now()
	cut := 0
	for _, r := range results {
		last, sound := lastEvent(r.body)
		if r.err == nil && r.status == 200 && sound && last == plan.events || r.err == nil && r.status >= 400 {
			continue
		}
		cut++
		rec.line("check: %s ended without a complete answer after event %d", r.id, last)
	}
	rec.line("check: %d of %d streams were cut; all ended %.3f s after the SIGTERM", cut, len(results), ended.Sub(terminated).Seconds())
	rec.line("check: %d runs on the workers", len(allRuns(models)))
	return cut > 0
}

// playOverlap: with trouble, the model workers preempt each stream once, for less than clients wait,
// and go on with it although its connection has been closed.
func playOverlap(rec *record, trouble bool) bool {
	plan := streamPlan{events: 40, gap: 100 * time.Millisecond, keepsRunning: true}
	if trouble {
		plan.preemptAfter, plan.preempted = 5, 1500*time.Millisecond
	}
	f, models := startSite(rec, 2, plan)
	f.sendStreams(f.fronts[0], 3)
	// Runs that nobody waits for end too.
	time.Sleep(6 * time.Second)
	broken := 0
	runs := allRuns(models)
	for _, later := range runs {
		for _, earlier := range runs {
			if later.id != earlier.id || later.worker == earlier.worker || !earlier.began.Before(later.began) {
				continue
			}
			overlap := earlier.last.Sub(later.began)
			rec.line("check: %s went on at %s; %s still made events of it %.3f s later", later.id, later.worker, earlier.worker, overlap.Seconds())
			if overlap > 400*time.Millisecond {
				broken++
			}
		}
	}
	rec.line("check: %d requests went on at another worker while the worker before still worked on them 400 ms later", broken)
	return broken > 0
}
