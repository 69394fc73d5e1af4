package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["departure"] = departureCase }

const (
	// cutTime is for_s of srv_cut: how long a worker reaches no control daemon.
	cutTime = 5 * time.Second
	// killAfter is the time from the start of the cut to the kill of the core, killTime how long its
	// processes are down.
	killAfter = 400 * time.Millisecond
	killTime  = 700 * time.Millisecond
	// servesFor is how long a worker goes on serving after the acknowledgement: DrainMs and some seconds.
	servesFor = drainMS*time.Millisecond + 5*time.Second
)

// departureCase cuts one of four workers off from control, kills all control processes, which are back
// within a second, and lets the worker leave once the cut has healed: its first call is a DELETE.
func departureCase(record *recorder, trouble bool) (bool, string, error) {
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
	var workers []*worker
	for i := range 4 {
		w, err := f.newWorker(fmt.Sprintf("i-%08x", i+1), "lango", fmt.Sprintf("pwani-%c", 'a'+i%3), 6, func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(15 * time.Millisecond)
			_, _ = rw.Write([]byte("done"))
		})
		if err != nil {
			return false, "", err
		}
		workers = append(workers, w)
		go w.run(ctx)
	}
	if err := f.configure(config(7, route("pass-check", "/check/", "safe", "lango", 600, 120, 2, false))); err != nil {
		return false, "", err
	}
	if err := f.awaitReady(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	for i := range 8 {
		clients.Go(func() {
			c := newClient(f.routers[i%2].callers)
			for clientsCtx.Err() == nil {
				c.send(http.MethodGet, "/check/x", nil, 600*time.Millisecond, nil)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	leaving := workers[0]
	if trouble {
		leaving.setSilent(true)
		record.log("%s is cut off from control for %v", leaving.id, cutTime)
		time.Sleep(killAfter)
		for _, m := range f.controls {
			m.kill()
		}
		time.Sleep(killTime)
		for _, m := range f.controls {
			if err := m.start(); err != nil {
				return false, "", err
			}
		}
		record.log("all control processes were killed and are back after %v", killTime)
		time.Sleep(cutTime - killAfter - killTime)
		record.log("the cut has healed")
	} else {
		time.Sleep(cutTime)
		leaving.setSilent(true)
	}
	// A worker that leaves sends no more heartbeats, and one call after the other until one is acknowledged.
	acknowledged := time.Time{}
	for i := 0; acknowledged.IsZero(); i++ {
		m := f.controls[i%3]
		status, _, err := f.call(m, http.MethodDelete, "/instances/"+leaving.id, nil)
		record.log("DELETE /instances/%s at %s: status %d, error %v", leaving.id, m.name, status, err)
		if err == nil && status/100 == 2 {
			acknowledged = time.Now()
		}
		if i == 20 {
			return false, "", fmt.Errorf("no control daemon acknowledged that the worker leaves")
		}
	}
	time.Sleep(servesFor)
	stopClients()
	clients.Wait()
	late, last := 0, time.Duration(0)
	for _, at := range leaving.allArrivals() {
		if after := at.Sub(acknowledged); after > drainMS*time.Millisecond {
			late++
			last = max(last, after)
		}
	}
	return late > 0, fmt.Sprintf("DRAIN: %d requests reached the worker later than %d ms after the acknowledgement that it leaves, the last one after %d ms", late, drainMS, last.Milliseconds()), nil
}
