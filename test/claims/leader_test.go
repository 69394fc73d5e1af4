package claims

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// BenchmarkLeaderBaseline writes through the configuration log's leader, as
// claims would go if they were entries of that log: one write a claim, links of
// 5 ms each way between the replicas, the leader killed under load.
func BenchmarkLeaderBaseline(b *testing.B) {
	bed := controlBed(b)
	bed.SetDelay(linkDelay)
	var leader *testcluster.Daemon
	err := testcluster.Eventually(func() (err error) {
		leader, err = findLeader(bed)
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	client := api.NewClient(operators(bed, leader), "baseline")
	writes := &leaderWrites{gapRecorder: &gapRecorder{}, latency: hdrhistogram.New(1, histogramMax, 3)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range stallCallers {
		group.Go(func() { writes.writeUntil(client, stop) })
	}
	time.Sleep(stallFault)
	writes.mu.Lock()
	p50, p99 := writes.latency.ValueAtQuantile(50), writes.latency.ValueAtQuantile(99)
	writes.mu.Unlock()
	if err := leader.Kill(); err != nil {
		b.Fatal(err)
	}
	writes.start()
	time.Sleep(stallFault)
	close(stop)
	group.Wait()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(p50)/1000, "p50-ms")
	b.ReportMetric(float64(p99)/1000, "p99-ms")
	b.ReportMetric(writes.gap.Seconds()*1000, "longest-gap-ms")
	b.ReportMetric(writes.slowest.Seconds()*1000, "slowest-claim-ms")
	b.ReportMetric(float64(writes.grants), "grants")
}

// leaderWrites takes the times of writes through the leader.
type leaderWrites struct {
	*gapRecorder
	latency *hdrhistogram.Histogram
}

func (l *leaderWrites) writeUntil(client *api.Client, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		started := time.Now()
		name := fmt.Sprintf("claim-%d", l.next.Add(1))
		resource := &api.Resource{
			Kind: api.KindPools, Names: api.Names{"engine": name}, Spec: []byte(`{"protocol":"service"}`),
		}
		if _, err := client.Put(context.Background(), api.Ref("engine:"+name), resource, ""); err != nil {
			continue
		}
		took := time.Since(started)
		l.granted(took)
		l.mu.Lock()
		_ = l.latency.RecordValue(took.Microseconds())
		l.mu.Unlock()
	}
}

func controlBed(b *testing.B) *testcluster.Cluster {
	b.Helper()
	spec := testcluster.Spec{}
	for i, domain := range []string{"pwani-a", "pwani-b", "pwani-c"} {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("control-%d", i+1), FailureDomain: domain, Roles: []settings.Role{settings.RoleControl},
		})
	}
	bed, err := testcluster.New(b.TempDir(), spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(bed.Close)
	if err := bed.Start(); err != nil {
		b.Fatal(err)
	}
	return bed
}

// operators returns the resource API's addresses, the leader's first.
func operators(bed *testcluster.Cluster, leader *testcluster.Daemon) string {
	all := []string{leader.Settings.Listen.Operators}
	for _, d := range bed.WithRole(settings.RoleControl) {
		if d != leader {
			all = append(all, d.Settings.Listen.Operators)
		}
	}
	return strings.Join(all, ",")
}

func findLeader(bed *testcluster.Cluster) (*testcluster.Daemon, error) {
	for _, d := range bed.WithRole(settings.RoleControl) {
		resp, err := http.Get("http://" + d.Settings.Listen.Platform + "/metrics")
		if err != nil {
			return nil, err
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if strings.Contains(string(raw), fmt.Sprintf("peridotwinch_config_is_leader{instance=%q} 1", d.Name)) {
			return d, nil
		}
	}
	return nil, errors.New("no leader yet")
}
