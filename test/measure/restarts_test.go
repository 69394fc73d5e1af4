package measure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/load"
)

// TestSlopeRouterRestart measures the cost of a router's restart without its data
// directory for the router and for control, by the number of customers, with one other
// router and 50 backend servers.
func TestSlopeRouterRestart(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "customers, restart of a router", columns: []string{
		"router ms of CPU", "router bytes", "control ms of CPU", "control bytes", "ms until ready",
	}}
	system := startSlopeSystem(t, 2)
	system.startBackends(t, 50, modelServer(64))
	applied := 0
	for _, count := range []int{500, 1000, 2000, 4700} {
		for ; applied < count; applied++ {
			system.apply(customerResource(load.Customer{Name: fmt.Sprintf("c%d", applied), Token: fmt.Sprintf("token-%d", applied)}))
		}
		time.Sleep(settleTime)
		idleRouter, idleControl := system.measureDaemon("router-01", waitIdle), system.measureDaemon("control", waitIdle)
		router := system.Daemons["router-01"]
		system.g.Expect(router.Kill()).To(Succeed())
		system.g.Expect(system.RemoveDataDir(router.Name)).To(Succeed())
		started := time.Now()
		var ready time.Duration
		control := system.measureDaemon("control", func() {
			system.g.Expect(router.Start()).To(Succeed())
			system.g.Expect(router.WaitReady()).To(Succeed())
			ready = time.Since(started)
			time.Sleep(settleTime)
		})
		seconds := time.Since(started).Seconds()
		since := system.counters(router.Name).Since(&load.Counters{}, router.Name)
		s.add(float64(count),
			1e3*(since.CPUSeconds-coresUsed(idleRouter)*seconds), since.ControlTotal*since.Seconds-idleRouter.ControlTotal*seconds,
			1e3*(control.CPUSeconds-coresUsed(idleControl)*control.Seconds), (control.ControlTotal-idleControl.ControlTotal)*control.Seconds,
			float64(ready.Milliseconds()))
	}
	s.print()
}

// TestSlopeServerRestarts measures what restarts of a backend server, which announces
// itself to one router, cost another router.
func TestSlopeServerRestarts(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "restarts/s of backend servers", columns: []string{"other router cores", "other router control B/s"}}
	for _, rate := range []int{0, 5, 10, 20} {
		system := startSlopeSystem(t, 2)
		system.startBackends(t, 50, modelServer(64))
		r := system.measureDaemon("router-00", func() { system.restartServers(rate) })
		s.add(float64(rate), coresUsed(r), r.ControlTotal)
		system.Close()
	}
	s.print()
}

// restartServers announces new incarnations of a server to the second router, at
// this rate per second; 0 waits idle.
func (s *system) restartServers(rate int) {
	if rate == 0 {
		waitIdle()
		return
	}
	end := time.Now().Add(observeTime)
	for i := 1; time.Now().Before(end); i++ {
		next := time.Now().Add(time.Second / time.Duration(rate))
		raw, _ := json.Marshal(&api.Announcement{
			Address: "127.0.0.1:1", Incarnation: uint64(i), Sequence: 1, Pool: "engine:models",
			State: api.ServerServing, Slots: 64,
		})
		url := "http://" + s.Daemons["router-01"].Settings.Listen.Backends + "/v1/announcements"
		resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
		s.g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		time.Sleep(time.Until(next))
	}
}
