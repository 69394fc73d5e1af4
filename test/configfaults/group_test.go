// Package configfaults tests on real processes that the replicated configuration survives
// faults of processes, links and disks.
package configfaults

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

var (
	seedFlag    = flag.Uint64("seed", 1, "seed of the faults")
	roundsFlag  = flag.Int("rounds", 6, "number of faults during the race")
	changesFlag = flag.Int("changes", 300, "number of changes before all processes restart")
	spreadFlag  = flag.Int("spread", 10, "number of changes whose time to come into force is measured")
	reportFlag  = flag.Bool("report", false, "print the figures of docs/measures/config.md")
)

func TestMain(m *testing.M) {
	flag.Parse()
	testcluster.Main(m)
}

// group is a deployment of a control group and its routers.
type group struct {
	*WithT
	t        *testing.T
	cluster  *testcluster.Cluster
	controls []string
	routers  []string
}

// deploy starts three control instances, each in its own failure domain, and routers. It
// waits until every control instance is a voter that has a leader.
func deploy(t *testing.T, routers int) *group {
	t.Helper()
	return deployControls(t, 3, routers)
}

// deployControls is deploy for any number of control instances.
func deployControls(t *testing.T, controls, routers int) *group {
	t.Helper()
	g := &group{WithT: NewWithT(t), t: t}
	spec := testcluster.Spec{}
	for i := range controls {
		name := fmt.Sprint("control-", i+1)
		g.controls = append(g.controls, name)
		spec.Daemons = append(spec.Daemons, daemon(name, domain(i), settings.RoleControl))
	}
	for i := range routers {
		name := fmt.Sprint("router-", i+1)
		g.routers = append(g.routers, name)
		spec.Daemons = append(spec.Daemons, daemon(name, domain(i), settings.RoleRouter))
	}
	cluster, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	g.cluster = cluster
	t.Cleanup(cluster.Close)
	g.Expect(cluster.Start()).To(Succeed())
	g.awaitReady(g.controls...)
	return g
}

func domain(i int) string { return "pwani-" + string(rune('a'+i%4)) }

func daemon(name, domain string, role settings.Role) testcluster.DaemonSpec {
	return testcluster.DaemonSpec{Instance: name, FailureDomain: domain, Roles: []settings.Role{role}}
}

// awaitReady waits until the named daemons are ready.
func (g *group) awaitReady(names ...string) {
	g.t.Helper()
	for _, name := range names {
		g.Expect(g.cluster.Daemons[name].WaitReady()).To(Succeed(), name)
	}
}

// client returns a client of the named control instances.
func (g *group) client(names ...string) *api.Client {
	var addresses []string
	for _, name := range names {
		addresses = append(addresses, g.cluster.Daemons[name].Settings.Listen.Operators)
	}
	return api.NewClient(strings.Join(addresses, ","), "test")
}

func (g *group) status(name string) (*api.ControlStatus, error) {
	return g.client(name).ControlStatus(context.Background())
}

// leader returns the leader that any current control instance reports.
func (g *group) leader() string {
	g.t.Helper()
	var leader string
	g.Expect(testcluster.Eventually(func() error {
		for _, name := range g.controls {
			status, err := g.status(name)
			if err != nil || !status.Current {
				continue
			}
			for _, replica := range status.Replicas {
				if replica.Leader {
					leader = replica.Instance
					return nil
				}
			}
		}
		return errors.New("no leader")
	})).To(Succeed())
	return leader
}

// followers returns the control instances that do not lead.
func (g *group) followers() []string {
	leader := g.leader()
	var out []string
	for _, name := range g.controls {
		if name != leader {
			out = append(out, name)
		}
	}
	return out
}

func poolResource(name string, bound float64) *api.Resource {
	raw, _ := json.Marshal(&api.PoolSpec{Protocol: api.ProtocolChat, LoadBound: bound})
	return &api.Resource{Kind: api.KindPools, Names: api.Names{"engine": name}, Spec: raw}
}

func loadBound(resource *api.Resource) float64 {
	spec := &api.PoolSpec{}
	_ = json.Unmarshal(resource.Spec, spec)
	return spec.LoadBound
}

// putPool retries a write under one request ID until it is acknowledged. If requestID is
// empty, it uses a new one.
func (g *group) putPool(client *api.Client, resource *api.Resource, requestID string) *api.Resource {
	g.t.Helper()
	if requestID == "" {
		requestID = uuid.NewString()
	}
	var stored *api.Resource
	g.Expect(testcluster.Eventually(func() error {
		var err error
		stored, err = client.Put(context.Background(), resource.Names.Refs()[0], resource, requestID)
		return err
	})).To(Succeed())
	return stored
}

// getPool retries a read of a pool until an instance that has a quorum answers.
func (g *group) getPool(client *api.Client, ref api.Ref) *api.Resource {
	g.t.Helper()
	var resource *api.Resource
	g.Expect(testcluster.Eventually(func() error {
		var err error
		resource, err = client.Get(context.Background(), api.KindPools, ref)
		return err
	})).To(Succeed())
	return resource
}

// listPools retries a read of all pools until an instance that has a quorum answers.
func (g *group) listPools(client *api.Client) *api.ResourceList {
	g.t.Helper()
	var list *api.ResourceList
	g.Expect(testcluster.Eventually(func() error {
		var err error
		list, err = client.List(context.Background(), api.KindPools)
		return err
	})).To(Succeed())
	return list
}

// waitInForce waits until the last change of a pool is in force on all routers, and returns
// how long that took.
func (g *group) waitInForce(client *api.Client, ref api.Ref) time.Duration {
	g.t.Helper()
	start := time.Now()
	g.Expect(testcluster.Eventually(func() error {
		resource, err := client.Get(context.Background(), api.KindPools, ref)
		if err != nil {
			return err
		}
		if resource.Status.Phase != api.PhaseInForce || len(resource.Status.Unheard) > 0 {
			return errors.Errorf("%+v", resource.Status)
		}
		return nil
	})).To(Succeed())
	return time.Since(start)
}
