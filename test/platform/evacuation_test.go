package platform

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	// operatorTimeout is the platform's AckMs: the time within which an order has to be
	// acknowledged.
	operatorTimeout = 5 * time.Second
	// evacuateLimit is the platform's EvacuateMs: the time from the acknowledgment until no
	// request reaches the servers of the zone.
	evacuateLimit = 5 * time.Second
)

// order gives an order as the platform's operator does: to one control instance after the other,
// with one second for each.
func (f *fleet) order(method, zone string) {
	f.t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	started := time.Now()
	for i := 0; time.Since(started) < operatorTimeout; i++ {
		r, err := http.NewRequest(method, "http://"+f.controls[i%len(f.controls)].settings.Listen.Operators+"/evacuation/"+zone, nil)
		f.Expect(err).NotTo(HaveOccurred())
		response, err := client.Do(r)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return
		}
	}
	f.Expect(time.Since(started)).To(BeNumerically("<", operatorTimeout), "%s %s was not acknowledged", method, zone)
}

// startFleetOfZones starts three control instances, routers and one worker in each of two zones.
func startFleetOfZones(t *testing.T, routers int) (f *fleet, a, b *worker) {
	f = newFleet(t, routers)
	for _, control := range f.controls {
		control.settings.Domains = []string{"zone-a", "zone-b", "zone-empty"}
		f.writeSettings(control)
	}
	f.start()
	f.configure(f.config(1, 1000))
	a, b = f.startWorkerIn("app-1", "zone-a"), f.startWorkerIn("app-2", "zone-b")
	f.awaitBothUsed(a, b)
	return f, a, b
}

// awaitBothUsed waits until all routers have sent further requests to both workers.
func (f *fleet) awaitBothUsed(a, b *worker) {
	f.t.Helper()
	for _, router := range f.routers {
		f.awaitServing(router, "/look/x")
		for _, w := range []*worker{a, b} {
			before := len(w.received())
			f.Eventually(func() bool {
				var callers sync.WaitGroup
				for range 8 {
					callers.Go(func() { _, _, _ = f.sendRequest(router, http.MethodPost, "/look/x") })
				}
				callers.Wait()
				for _, r := range w.received()[before:] {
					if r.Header.Get(headerRouter) == router.settings.Instance {
						return true
					}
				}
				return false
			}, testcluster.WaitTimeout, 20*time.Millisecond).Should(BeTrue(), lastLines(router))
		}
	}
}

// expectOnly checks that requests of all routers reach only the first worker, all with success.
func (f *fleet) expectOnly(used, unused *worker) {
	f.t.Helper()
	before := len(unused.received())
	for range 20 {
		for _, router := range f.routers {
			response, body, err := f.sendRequest(router, http.MethodPost, "/look/x")
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(response.StatusCode).To(Equal(http.StatusOK), body)
		}
	}
	f.Expect(unused.received()).To(HaveLen(before), "requests to the evacuated zone")
}

// TestRoutersKeepAnEvacuationWithoutControl guards against routers that return to an evacuated zone
// once they lose control.
func TestRoutersKeepAnEvacuationWithoutControl(t *testing.T) {
	f, a, b := startFleetOfZones(t, 2)
	f.order(http.MethodPost, "zone-a")
	acknowledged := time.Now()
	for _, router := range f.routers {
		f.Eventually(func() int {
			before := len(a.received())
			for range 20 {
				_, _, err := f.sendRequest(router, http.MethodPost, "/look/x")
				f.Expect(err).NotTo(HaveOccurred())
			}
			return len(a.received()) - before
		}, evacuateLimit-time.Since(acknowledged), time.Millisecond).Should(BeZero(), "requests to the evacuated zone")
	}
	for _, control := range f.controls {
		f.Expect(control.Kill()).To(Succeed())
	}
	time.Sleep(time.Second)
	f.expectOnly(b, a)
}

// TestAcknowledgedEvacuationSurvivesRestartOfAllProcesses guards against an order that is lost with
// the memory of all processes right after its acknowledgement, and against routers that serve without
// it after a restart. It also checks that a repeated order and a repeated withdrawal succeed.
func TestAcknowledgedEvacuationSurvivesRestartOfAllProcesses(t *testing.T) {
	f, a, b := startFleetOfZones(t, 2)
	f.order(http.MethodPost, "zone-a")
	for _, m := range f.machines() {
		f.Expect(m.Kill()).To(Succeed())
	}
	for _, m := range f.machines() {
		m.settings.Join.Bootstrap = false
		f.prepare(m)
		f.Expect(m.Start()).To(Succeed())
	}
	for _, router := range f.routers {
		f.awaitServing(router, "/look/x")
	}
	f.expectOnly(b, a)
	f.order(http.MethodPost, "zone-a")
	f.expectOnly(b, a)
	f.order(http.MethodDelete, "zone-a")
	f.order(http.MethodDelete, "zone-a")
	f.awaitBothUsed(a, b)
	trail, err := api.NewClient(f.controls[1].settings.Listen.Operators, "amina").EvacuationTrail(t.Context())
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(trail.Items).To(HaveLen(2), "one entry for each order that changed something")
}

// TestLateRepeatOfAnEvacuationHasNoEffect guards against an order that a stalled control instance
// handles after its caller has left and the withdrawal was acknowledged by another instance.
func TestLateRepeatOfAnEvacuationHasNoEffect(t *testing.T) {
	f, a, b := startFleetOfZones(t, 1)
	for i, stalled := range f.controls {
		f.Expect(stalled.Suspend()).To(Succeed())
		conn, err := net.Dial("tcp", stalled.settings.Listen.Operators)
		f.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "POST /evacuation/zone-a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		f.Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		f.Expect(conn.Close()).To(Succeed())
		f.order(http.MethodPost, "zone-a")
		f.order(http.MethodDelete, "zone-a")
		f.Expect(stalled.Resume()).To(Succeed())
		time.Sleep(1500 * time.Millisecond)
		list, err := api.NewClient(f.controls[(i+1)%3].settings.Listen.Operators, "amina").Evacuations(t.Context())
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(list.Items).To(BeEmpty(), "the repeat took effect")
		f.Expect(list.Revision).To(BeNumerically("==", 2*(i+1)))
	}
	f.awaitBothUsed(a, b)
}

// TestEvacuationOfAllZonesRefusesAtOnce guards against callers that wait for servers of evacuated
// zones, and against a false report of whether their requests ran.
func TestEvacuationOfAllZonesRefusesAtOnce(t *testing.T) {
	f, a, b := startFleetOfZones(t, 1)
	f.order(http.MethodPost, "zone-a")
	f.order(http.MethodPost, "zone-b")
	f.Eventually(func() string {
		_, body, _ := f.sendRequest(f.routers[0], http.MethodPost, "/debit/x")
		return body
	}, evacuateLimit, 20*time.Millisecond).Should(ContainSubstring(`"name":"domain_evacuated"`))
	before := len(a.received()) + len(b.received())
	started := time.Now()
	response, body, err := f.sendRequest(f.routers[0], http.MethodPost, "/debit/x")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond))
	f.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	f.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	f.Expect(body).To(ContainSubstring(`"outcome":"not_run"`))
	f.Expect(a.received()).To(HaveLen(before - len(b.received())))
	f.order(http.MethodDelete, "zone-b")
	f.awaitServing(f.routers[0], "/debit/x")
	f.expectOnly(b, a)
}

// TestUnknownZoneIsRefused checks the answer to an operator's typing error, and that a zone without
// servers can be evacuated.
func TestUnknownZoneIsRefused(t *testing.T) {
	f, _, _ := startFleetOfZones(t, 1)
	status, body := f.callControl(f.controls[0], http.MethodPost, "/evacuation/zone-x", "")
	f.Expect(status).To(Equal(http.StatusNotFound))
	f.Expect(body).To(ContainSubstring("known are zone-a, zone-b, zone-empty"))
	f.order(http.MethodPost, "zone-empty")
}

// TestEvacuationOutlivesLostDisks guards against an order that a control instance with an empty disk
// does not receive, after which the group loses the others.
func TestEvacuationOutlivesLostDisks(t *testing.T) {
	f, a, b := startFleetOfZones(t, 1)
	f.order(http.MethodPost, "zone-a")
	for _, lost := range f.controls {
		f.Expect(lost.Kill()).To(Succeed())
		f.Expect(os.RemoveAll(lost.settings.DataDir)).To(Succeed())
		lost.settings.Join.Bootstrap = false
		f.prepare(lost)
		f.Expect(lost.Start()).To(Succeed())
		f.Eventually(func() int { return f.readyStatus(lost) }, testcluster.WaitTimeout).Should(Equal(http.StatusOK))
		f.Eventually(func() []string {
			status, err := api.NewClient(lost.settings.Listen.Operators, "amina").ControlStatus(t.Context())
			if err != nil {
				return []string{err.Error()}
			}
			return status.EvacuatedDomains
		}, testcluster.WaitTimeout, 50*time.Millisecond).Should(Equal([]string{"zone-a"}), lastLines(lost))
	}
	f.expectOnly(b, a)
	f.order(http.MethodDelete, "zone-a")
	f.awaitBothUsed(a, b)
}
