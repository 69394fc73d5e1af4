package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// usualClients is the number of clients of the router, burstFactor x of burst in the site file,
	// and burstTime its for_s.
	usualClients = 26
	burstFactor  = 1.7
	burstTime    = 3 * time.Second
	// workTime is how long a worker works on a request once it has read the body.
	workTime = 2500 * time.Millisecond
	// maxLost is the number of requests that the rule LOST excuses.
	maxLost = 3
)

// memoryCase sends requests with bodies of the largest size that the configuration allows, and then
// 1.7 times as many at once. The platform kills a process that uses more than MemoryMb.
func memoryCase(record *recorder, trouble bool) (bool, string, error) {
	f, err := newFleet(record, 1)
	if err != nil {
		return false, "", err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var workers []*worker
	for i := range 3 {
		w, err := f.newWorker(fmt.Sprintf("i-%08x", i+1), "lugha", "pwani-a", 64, func(rw http.ResponseWriter, r *http.Request) {
			size, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			time.Sleep(workTime)
			_, _ = fmt.Fprintf(rw, "%d bytes", size)
		})
		if err != nil {
			return false, "", err
		}
		workers = append(workers, w)
		go w.run(ctx)
	}
	if err := f.configure(config(7, route("charge-upload", "/upload/", "unsafe", "lugha", 15000, 4000, 1, false))); err != nil {
		return false, "", err
	}
	if err := f.awaitReady(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	router := f.routers[0]
	kills, peak := 0, 0.0
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			used := router.residentMB()
			peak = max(peak, used)
			if used <= memoryMB {
				continue
			}
			record.log("%s uses %.0f MB, more than MemoryMb (%d): the platform kills it and starts it again", router.name, used, memoryMB)
			_ = router.signal(syscall.SIGKILL)
			<-router.ended
			kills++
			time.Sleep(300 * time.Millisecond)
			_ = router.start()
		}
	}()
	var mu sync.Mutex
	answered, lost, refused := 0, 0, 0
	body := bytes.Repeat([]byte("m"), maxBody)
	var wait sync.WaitGroup
	client := func(until time.Time) {
		c := newClient(router.callers)
		// The first, small request makes the connection a kept one.
		c.send(http.MethodPost, "/upload/x", []byte("hello"), 15*time.Second, nil)
		for time.Now().Before(until) {
			got := c.send(http.MethodPost, "/upload/x", body, 15*time.Second, nil)
			reached := false
			for _, w := range workers {
				_, ok := w.arrived(got.id)
				reached = reached || ok
			}
			mu.Lock()
			switch {
			case got.err == nil && got.status == http.StatusOK:
				answered++
			case got.kept && reached && got.closed && !got.headSeen:
				lost++
				record.log("request %s: passed on to a worker, connection closed without an answer after %d ms", got.id, got.took.Milliseconds())
			default:
				refused++
				record.log("request %s: kept %v, reached %v, status %d, error %v", got.id, got.kept, reached, got.status, got.err)
			}
			mu.Unlock()
			if got.err != nil {
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	end := time.Now().Add(15 * time.Second)
	for range usualClients {
		wait.Go(func() { client(end) })
	}
	time.Sleep(6 * time.Second)
	if trouble {
		more := int(math.Floor(burstFactor*float64(usualClients))) - usualClients
		record.log("burst: %d more clients for %v", more, burstTime)
		until := time.Now().Add(burstTime)
		for range more {
			wait.Go(func() { client(until) })
		}
	}
	wait.Wait()
	cancel()
	<-watched
	record.log("answered %d, passed on and closed without an answer %d, other ends %d, peak %.0f MB, ends of the process for its memory %d", answered, lost, refused, peak, kills)
	return lost > maxLost, fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound worker and their connections closed without an answer (%d excused); the router ended %d times for its memory (peak %.0f MB of %d)", lost, maxLost, kills, peak, memoryMB), nil
}
