package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// grace is GraceS of the platform.
const grace = 8 * time.Second

// playLate: clients send one stream after the other on kept connections. With trouble, their front
// machine gets SIGTERM while the first stream of each connection runs.
func playLate(rec *record, trouble bool) bool {
	first, second := 45, 58
	plan := streamPlan{events: first, gap: 100 * time.Millisecond, secondEvents: second}
	f, _ := startSite(rec, 2, plan)
	m := f.fronts[0]
	type pair struct {
		sent          time.Time
		first, second result
	}
	pairs := make([]pair, 8)
	var group sync.WaitGroup
	for i := range pairs {
		c := f.dial(m)
		if r := c.send(rec, "GET", "/check/first", 3*time.Second, "", ""); r.status != 200 {
			cannotRun("the first request of a connection got status %d", r.status)
		}
		group.Go(func() {
			defer func() { _ = c.Close() }()
			prefix := fmt.Sprintf("5c1e07a2:119,%08x:580,%08x:130", 0x91bd3f00+i, 0xe4402b00+i)
			p := &pairs[i]
			p.first = c.send(rec, "POST", "/clerk/ask", 12*time.Second, prefix, "question")
			if p.first.err != nil || p.first.header.Get("Connection") == "close" {
				return
			}
			p.sent = time.Now()
			p.second = c.send(rec, "POST", "/clerk/second", 12*time.Second, prefix, "next question")
		})
	}
	time.Sleep(500 * time.Millisecond)
	terminated := time.Now()
	if trouble {
		rec.line("platform: SIGTERM to %s", m.name)
		m.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-m.exited:
				rec.line("platform: %s has ended %.3f s after the SIGTERM", m.name, time.Since(terminated).Seconds())
			case <-time.After(grace):
				rec.line("platform: SIGKILL to %s", m.name)
				m.signal(syscall.SIGKILL)
			}
		}()
	}
	group.Wait()
	// Requests that were sent more than 3 s after the SIGTERM have no excuse.
	const excusedUntil = 3 * time.Second
	cut := 0
	for _, p := range pairs {
		if p.sent.IsZero() {
			rec.line("check: the connection of %s was closed after its answer", p.first.id)
			continue
		}
		r := p.second
		last, sound := lastEvent(r.body)
		after := p.sent.Sub(terminated)
		switch {
		case r.err == nil && (r.status != 200 || sound && last == second):
			rec.line("check: %s was answered with status %d", r.id, r.status)
		case r.status == 0 && r.took < 200*time.Millisecond:
			rec.line("check: %s crossed the close of its connection", r.id)
		case trouble && after <= excusedUntil:
			rec.line("check: %s was sent %.3f s after the SIGTERM and is excused", r.id, after.Seconds())
		default:
			cut++
			rec.line("check: %s was sent %.3f s after the SIGTERM, passed on to a worker, and cut after event %d of %d", r.id, after.Seconds(), last, second)
		}
	}
	rec.line("check: %d of %d streams that were sent over 3 s after the SIGTERM were cut", cut, len(pairs))
	return cut > 0
}
