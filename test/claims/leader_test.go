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

// BenchmarkLeaderBaseline writes through the leader of the configuration log, as
// claims would if they were entries of that log: one write for each claim, a
// one-way delay of 5 ms between the replicas, and the leader killed under load.
func BenchmarkLeaderBaseline(b *testing.B) {
	cluster := startControlCluster(b)
	cluster.SetDelay(linkDelay)
	var leader *testcluster.Daemon
	err := testcluster.Eventually(func() (err error) {
		leader, err = findLeader(cluster)
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	client := api.NewClient(operatorAddresses(cluster, leader), "baseline")
	writes := &leaderWrites{gapRecorder: &gapRecorder{}, latency: hdrhistogram.New(1, histogramMax, 3)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range stallCallers {
		group.Go(func() { writes.writeUntil(client, stop) })
	}
	time.Sleep(stallObservation)
	writes.mu.Lock()
	p50, p99 := writes.latency.ValueAtQuantile(50), writes.latency.ValueAtQuantile(99)
	writes.mu.Unlock()
	if err := leader.Kill(); err != nil {
		b.Fatal(err)
	}
	writes.startRecording()
	time.Sleep(stallObservation)
	close(stop)
	group.Wait()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(p50)/1000, "p50-ms")
	b.ReportMetric(float64(p99)/1000, "p99-ms")
	b.ReportMetric(writes.longestGap.Seconds()*1000, "longest-gap-ms")
	b.ReportMetric(writes.slowestClaim.Seconds()*1000, "slowest-claim-ms")
	b.ReportMetric(float64(writes.grants), "grants")
}

// leaderWrites records the latencies of writes through the leader.
type leaderWrites struct {
	*gapRecorder
	latency *hdrhistogram.Histogram
}

// writeUntil writes new pools until stop is closed; failed writes are not recorded.
func (l *leaderWrites) writeUntil(client *api.Client, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		started := time.Now()
		name := fmt.Sprintf("claim-%d", l.lastKey.Add(1))
		resource := &api.Resource{
			Kind: api.KindPools, Names: api.Names{"engine": name}, Spec: []byte(`{"protocol":"service"}`),
		}
		if _, err := client.Put(context.Background(), api.Ref("engine:"+name), resource, ""); err != nil {
			continue
		}
		took := time.Since(started)
		l.recordGrant(took)
		l.mu.Lock()
		_ = l.latency.RecordValue(took.Microseconds())
		l.mu.Unlock()
	}
}

// startControlCluster starts a control replica in each of three failure domains.
func startControlCluster(b *testing.B) *testcluster.Cluster {
	b.Helper()
	spec := testcluster.Spec{}
	for i, domain := range []string{"pwani-a", "pwani-b", "pwani-c"} {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("control-%d", i+1), FailureDomain: domain, Roles: []settings.Role{settings.RoleControl},
		})
	}
	cluster, err := testcluster.New(b.TempDir(), spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Close)
	if err := cluster.Start(); err != nil {
		b.Fatal(err)
	}
	return cluster
}

// operatorAddresses returns the addresses of the resource API, separated by commas,
// with the leader's first.
func operatorAddresses(cluster *testcluster.Cluster, leader *testcluster.Daemon) string {
	addresses := []string{leader.Settings.Listen.Operators}
	for _, d := range cluster.WithRole(settings.RoleControl) {
		if d != leader {
			addresses = append(addresses, d.Settings.Listen.Operators)
		}
	}
	return strings.Join(addresses, ",")
}

// findLeader returns the control replica whose metrics report it as the leader.
func findLeader(cluster *testcluster.Cluster) (*testcluster.Daemon, error) {
	for _, d := range cluster.WithRole(settings.RoleControl) {
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
	return nil, errors.New("no control replica reports itself as the leader")
}
