// Package configfaults shows on real processes what the configuration survives.
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
	roundsFlag  = flag.Int("rounds", 6, "faults of the race")
	changesFlag = flag.Int("changes", 300, "changes before all processes restart")
	spreadFlag  = flag.Int("spread", 10, "changes whose way into force is followed")
	reportFlag  = flag.Bool("report", false, "print the figures of docs/measures/config.md")
)

func TestMain(m *testing.M) {
	flag.Parse()
	testcluster.Main(m)
}

// group is a deployment of control instances and routers.
type group struct {
	*WithT
	t        *testing.T
	bed      *testcluster.Cluster
	controls []string
	routers  []string
}

// deploy starts three control instances in failure domains of their own and
// waits until each is a voter with a leader.
func deploy(t *testing.T, routers int) *group {
	t.Helper()
	return deployGroup(t, 3, routers)
}

// deployGroup is deploy with a number of control instances.
func deployGroup(t *testing.T, controls, routers int) *group {
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
	bed, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	g.bed = bed
	t.Cleanup(bed.Close)
	g.Expect(bed.Start()).To(Succeed())
	g.ready(g.controls...)
	return g
}

func domain(i int) string { return "pwani-" + string(rune('a'+i%4)) }

func daemon(name, domain string, role settings.Role) testcluster.DaemonSpec {
	return testcluster.DaemonSpec{Instance: name, FailureDomain: domain, Roles: []settings.Role{role}}
}

func (g *group) ready(names ...string) {
	g.t.Helper()
	for _, name := range names {
		g.Expect(g.bed.Daemons[name].WaitReady()).To(Succeed(), name)
	}
}

// client calls the named control instances.
func (g *group) client(names ...string) *api.Client {
	var addresses []string
	for _, name := range names {
		addresses = append(addresses, g.bed.Daemons[name].Settings.Listen.Operators)
	}
	return api.NewClient(strings.Join(addresses, ","), "test")
}

func (g *group) status(name string) (*api.ControlStatus, error) {
	return g.client(name).ControlStatus(context.Background())
}

// leader returns the instance that leads, as the others see it.
func (g *group) leader() string {
	g.t.Helper()
	var found string
	g.Expect(testcluster.Eventually(func() error {
		for _, name := range g.controls {
			status, err := g.status(name)
			if err != nil || !status.Current {
				continue
			}
			for _, replica := range status.Replicas {
				if replica.Leader {
					found = replica.Instance
					return nil
				}
			}
		}
		return errors.New("no leader")
	})).To(Succeed())
	return found
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

func pool(name string, bound float64) *api.Resource {
	raw, _ := json.Marshal(&api.PoolSpec{Protocol: api.ProtocolChat, LoadBound: bound})
	return &api.Resource{Kind: api.KindPools, Names: api.Names{"engine": name}, Spec: raw}
}

func bound(resource *api.Resource) float64 {
	spec := &api.PoolSpec{}
	_ = json.Unmarshal(resource.Spec, spec)
	return spec.LoadBound
}

// put writes until it is acknowledged, under one request ID: a new one where
// requestID is empty.
func (g *group) put(client *api.Client, resource *api.Resource, requestID string) *api.Resource {
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

// read returns a pool as soon as the instances answer with a majority.
func (g *group) read(client *api.Client, ref api.Ref) *api.Resource {
	g.t.Helper()
	var resource *api.Resource
	g.Expect(testcluster.Eventually(func() error {
		var err error
		resource, err = client.Get(context.Background(), api.KindPools, ref)
		return err
	})).To(Succeed())
	return resource
}

// list returns all pools as soon as the instances answer with a majority.
func (g *group) list(client *api.Client) *api.ResourceList {
	g.t.Helper()
	var list *api.ResourceList
	g.Expect(testcluster.Eventually(func() error {
		var err error
		list, err = client.List(context.Background(), api.KindPools)
		return err
	})).To(Succeed())
	return list
}

// waitInForce waits until a resource's last change is in force on all routers.
func (g *group) waitInForce(client *api.Client, ref api.Ref) time.Duration {
	g.t.Helper()
	begun := time.Now()
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
	return time.Since(begun)
}
