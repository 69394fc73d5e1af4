package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["successors"] = successorsCase }

const (
	// secondStart is when the second new core machine starts, after the first one: no sooner than the
	// first one has stopped counting as lost.
	secondStart = catchUp + time.Second
	// betweenStops is the time between the SIGTERMs of the two old machines.
	betweenStops = 5 * time.Second
	// calmTime is the time from the second SIGTERM to the loss of the disk.
	calmTime = 15 * time.Second
)

// successorsCase replaces two of three core machines as planned: both new ones are started, one after
// the other, and then the two old ones get SIGTERM and are removed, one after the other. Long after
// that, the third one loses its disk. Then the configuration is read back.
func successorsCase(record *recorder, trouble bool) (bool, string, error) {
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
	a, old := f.controls[0], f.controls[1:]
	var successors []*machine
	for i := range old {
		m, err := f.addControl(8 + i)
		if err != nil {
			return false, "", err
		}
		if err := m.start(); err != nil {
			return false, "", err
		}
		record.log("%s started at a new address with an empty disk; it is to replace %s", m.name, old[i].name)
		successors = append(successors, m)
		time.Sleep(secondStart)
	}
	f.controls = append([]*machine{a}, successors...)
	for _, m := range old {
		_ = m.signal(syscall.SIGTERM)
		select {
		case <-m.ended:
			record.log("%s got SIGTERM and has ended; it does not come back", m.name)
		case <-time.After(graceTime):
			m.kill()
			record.log("%s got SIGTERM and was killed after GraceS", m.name)
		}
		time.Sleep(betweenStops)
	}
	newest = config(11, routes...)
	if err := f.configure(newest); err != nil {
		return false, "", err
	}
	record.log("configuration 11 acknowledged")
	time.Sleep(calmTime - betweenStops)
	if trouble {
		if err := f.loseDisk(a); err != nil {
			return false, "", err
		}
	}
	return f.readBack(newest, config(13, routes...), fmt.Sprintf("%s had lost its disk", a.name))
}
