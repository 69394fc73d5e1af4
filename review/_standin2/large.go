package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["large"] = largeCase }

const (
	// answerBytes is the size of an answer, in answerParts parts, and answerTime how long a worker
	// takes for it.
	answerBytes = 300 << 10
	answerParts = 40
	answerTime  = 800 * time.Millisecond
	// largeClients is the number of clients; the seven workers have 42 slots.
	largeClients = 39
	// largeRouters is the number of routers to which the clients connect.
	largeRouters = 3
	// slowFactor is x of srv_slow.
	slowFactor = 2
	// slowTime is for_s of srv_slow in the site file.
	slowTime = 6500 * time.Millisecond
	// largeTimeout is the route's TimeoutMs and the clients' deadline.
	largeTimeout = 3 * time.Second
)

// largeCase sends idempotent requests with answers of 300 KB, which the workers send as they make
// them. One of seven workers then works twice as long.
func largeCase(record *recorder, trouble bool) (bool, string, error) {
	f, err := newFleet(record, largeRouters)
	if err != nil {
		return false, "", err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var slow atomic.Bool
	var mu sync.Mutex
	// brokenOff has the time that a worker had worked when the router closed the connection.
	brokenOff := make(map[string]time.Duration)
	for i := range 7 {
		w, err := f.newWorker(fmt.Sprintf("i-%08x", i+1), "lango", "pwani-a", 6, func(rw http.ResponseWriter, r *http.Request) {
			started, pause := time.Now(), answerTime/answerParts
			if i == 0 && slow.Load() {
				pause *= slowFactor
			}
			rw.Header().Set("Content-Type", "application/octet-stream")
			rw.Header().Set("Content-Length", fmt.Sprint(answerBytes))
			part := bytes.Repeat([]byte("a"), answerBytes/answerParts)
			for n := range answerParts {
				time.Sleep(time.Until(started.Add(time.Duration(n+1) * pause)))
				_, err := rw.Write(part)
				if err == nil {
					err = http.NewResponseController(rw).Flush()
				}
				if err != nil || r.Context().Err() != nil {
					mu.Lock()
					brokenOff[r.Header.Get("Peridotwinch-Attempt-Id")] = time.Since(started)
					mu.Unlock()
					return
				}
			}
		})
		if err != nil {
			return false, "", err
		}
		go w.run(ctx)
	}
	if err := f.configure(config(7, route("pass-report", "/report/", "safe", "lango", int(largeTimeout.Milliseconds()), 1200, 2, false))); err != nil {
		return false, "", err
	}
	if err := f.awaitReady(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	var answered, cut, others int
	var wait sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	time.AfterFunc(2*time.Second, func() {
		if trouble {
			record.log("worker i-00000001 works %d times as long for %v", slowFactor, slowTime)
			slow.Store(true)
			time.AfterFunc(slowTime, func() { slow.Store(false) })
		}
	})
	for i := range largeClients {
		wait.Go(func() {
			c := newClient(f.routers[i%largeRouters].callers)
			for time.Now().Before(end) {
				got := c.send(http.MethodGet, "/report/x", nil, largeTimeout, nil)
				// The worker sees the close a moment later.
				if got.err != nil {
					time.Sleep(200 * time.Millisecond)
				}
				mu.Lock()
				worked, wasCut := brokenOff[got.id]
				switch {
				case got.err == nil && got.status == http.StatusOK && len(got.body) == answerBytes:
					answered++
				case got.kept && got.closed && wasCut:
					cut++
					record.log("request %s: the connection ended %d ms after it was sent with %d of %d bytes of the answer; %s had worked for %d ms and was still at work; %d ms were left",
						got.id, got.took.Milliseconds(), len(got.body), answerBytes, got.header.Get("Peridotwinch-Server-Stamp")[:10], worked.Milliseconds(), (largeTimeout - got.took).Milliseconds())
				default:
					others++
					record.log("request %s: kept %v, status %d, %d bytes, error %v", got.id, got.kept, got.status, len(got.body), got.err)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	record.log("answered %d, cut off %d, other ends %d", answered, cut, others)
	return cut > maxLost, fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound worker and their connections closed without the answer, long before the deadline (%d excused); %d were answered", cut, maxLost, answered), nil
}
