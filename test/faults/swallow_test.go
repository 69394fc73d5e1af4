package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const sigterm = syscall.SIGTERM

func checkNotReady(d *testcluster.Daemon) error {
	resp, err := http.Get("http://" + d.Settings.Listen.Platform + "/readyz")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("%s: status %d", d.Name, resp.StatusCode)
	}
	return nil
}

func checkExecuted(d deployment, key string) error {
	if d.executions()[key] == 0 {
		return fmt.Errorf("%s has not been executed", key)
	}
	return nil
}

func readLog(d deployment, daemon *testcluster.Daemon) string {
	raw, err := os.ReadFile(daemon.LogPath())
	d.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// announceServer announces a plain service at an address until the test ends.
func announceServer(t *testing.T, router, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			raw, _ := json.Marshal(&api.Announcement{
				Address: address, Incarnation: 1, Sequence: sequence, Pool: "gates", State: api.ServerServing, Slots: 10,
			})
			resp, err := http.Post("http://"+router+"/v1/announcements", "application/json", bytes.NewReader(raw))
			if err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// sendOnceServerKnown sends a charge, and resends it while the router refuses it
// because it has no live server: a busy host delays announcements.
func (d deployment) sendOnceServerKnown(router string, c charge) result {
	var got result
	d.Expect(testcluster.Eventually(func() error {
		if got = c.send(router); got.code == api.CodeNoBackendServer {
			return fmt.Errorf("%s: code %s", c.id, got.code)
		}
		return nil
	})).To(Succeed())
	return got
}

// TestBlackholedConnectionIsNotReused guards against requests on a kept-alive
// connection that went silent without closing. A relay drops all bytes of the open
// connection: the request in progress fails after the progress timeout, and the
// next one uses a new connection.
func TestBlackholedConnectionIsNotReused(t *testing.T) {
	t.Parallel()
	d := deploy(t, testcluster.Spec{
		Daemons:  []testcluster.DaemonSpec{controlSpec, {Instance: "router-1", FailureDomain: domainA, Roles: routerRoles}},
		Timeouts: settings.Timeouts{ProgressMS: 2000, HeartbeatMS: 200},
	})
	var served atomic.Int32
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = w.Write([]byte("open"))
	}))
	t.Cleanup(gate.Close)
	relay, err := testcluster.NewRelay(strings.TrimPrefix(gate.URL, "http://"))
	d.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(relay.Close)
	announceServer(t, d.Daemons["router-1"].Settings.Listen.Backends, relay.Address())
	router := d.callersAddress("router-1")
	d.Expect(testcluster.Eventually(func() error { return withPost(charge{id: "first"}).send(router).checkResolved() })).To(Succeed())

	relay.Set(testcluster.Blackhole, testcluster.Blackhole)
	blackholed := d.sendOnceServerKnown(router, withPost(charge{id: "blackholed"}))
	d.Expect(blackholed.code).To(Equal(api.CodeTimeout))
	d.Expect(blackholed.outcome).To(Equal(api.OutcomeMayHaveRun))
	relay.Set(testcluster.Forward, testcluster.Forward)
	before := served.Load()
	next := d.sendOnceServerKnown(router, withPost(charge{id: "next"}))
	d.Expect(next.outcome).To(Equal(api.OutcomeRan), "the next request uses a new connection: code %s", next.code)
	d.Expect(served.Load()).To(Equal(before + 1))
	t.Logf("blackholed request refused after %v, the next one answered after %v",
		blackholed.ended.Sub(blackholed.began).Round(time.Millisecond), next.ended.Sub(next.began).Round(time.Millisecond))
}
