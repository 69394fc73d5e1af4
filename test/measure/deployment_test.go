package measure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/load"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// deployment describes a system of the size that one of the users runs.
type deployment struct {
	name string
	// routers, models and services are the numbers of processes in each failure domain.
	domains                  []string
	routers                  []int
	models, services         []int
	short, long, servicePool string
	// shortMS and longMS are the intents' deadlines for the first token.
	shortMS, longMS int
}

var kilindi = deployment{
	name: "kilindi", domains: []string{"pwani-a", "pwani-b", "pwani-c"},
	routers: []int{3, 2, 2}, models: []int{7, 7, 6}, services: []int{1, 1, 1},
	short: "toll-queries", long: "settlements", servicePool: "gates",
	shortMS: 640, longMS: 5000,
}

var motagua = deployment{
	name: "motagua", domains: []string{"oriente-a", "oriente-b", "oriente-c", "oriente-d"},
	routers: []int{2, 2, 2, 1}, models: []int{3, 3, 2, 2}, services: []int{1, 1, 1, 1},
	short: "species-questions", long: "season-summaries", servicePool: "tallies",
	shortMS: 640, longMS: 5000,
}

// modelFlags configure a model worker: 27 ms between tokens with all slots in use,
// and a prefix cache of about twice the size of its share of the chats.
var modelFlags = []string{
	"-slots", "8", "-token-time", "20ms", "-batch-time", "1ms", "-prompt-time", "100us",
	"-cache-tokens", "40000", "-event-delay", "1s", "-event-loss", "0.05", "-report-lag", "2s",
}

var serviceFlags = []string{"-slots", "32", "-service-time", "5ms"}

// system is a running deployment.
type system struct {
	*testcluster.Cluster
	g       *WithT
	targets *load.Targets
	models  []string
	// changingVersion is the version of the resource that changeCustomer replaces.
	changingVersion uint64
}

// controlDomains is the number of failure domains with a control and ledger instance.
const controlDomains = 3

func (d deployment) spec(routing settings.Routing) testcluster.Spec {
	spec := testcluster.Spec{Routing: routing}
	for i, domain := range d.domains {
		for n := range d.routers[i] {
			roles := []settings.Role{settings.RoleRouter}
			if n == 0 && i < controlDomains {
				roles = append(roles, settings.RoleControl, settings.RoleLedger)
			}
			spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
				Instance: fmt.Sprintf("%s-%d", domain, n), FailureDomain: domain, Roles: roles,
			})
		}
		spec.Backends = append(spec.Backends, backendSpecs(domain, "models", d.models[i], modelFlags)...)
		spec.Backends = append(spec.Backends, backendSpecs(domain, d.servicePool, d.services[i], serviceFlags)...)
	}
	return spec
}

func backendSpecs(domain, pool string, count int, flags []string) []testcluster.BackendSpec {
	var out []testcluster.BackendSpec
	for i := range count {
		name := fmt.Sprintf("%s-%s-%d", domain, pool, i)
		out = append(out, testcluster.BackendSpec{Name: name, FailureDomain: domain, Pool: "engine:" + pool, Flags: flags})
	}
	return out
}

// start starts the deployment with the customers of a mix and waits until every
// router answers. If change is not nil, it edits the specification before the start.
func (d deployment) start(t *testing.T, routing settings.Routing, customers []load.Customer, change func(*testcluster.Spec)) *system {
	g := NewWithT(t)
	spec := d.spec(routing)
	if change != nil {
		change(&spec)
	}
	cluster, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	g.Expect(cluster.Start()).To(Succeed())
	s := &system{Cluster: cluster, g: g, targets: &load.Targets{}}
	s.findTargets(spec)
	for _, resource := range d.resources(customers) {
		s.apply(resource)
	}
	s.waitUntilServing(d, customers[0].Token)
	return s
}

// findTargets sets the load's targets to the routers and model workers.
func (s *system) findTargets(spec testcluster.Spec) {
	for _, router := range s.Routers() {
		s.targets.Routers = append(s.targets.Routers, load.RouterTarget{
			Name: router.Name, FailureDomain: router.Settings.FailureDomain,
			Callers: router.Settings.Listen.Callers, Platform: router.Settings.Listen.Platform,
		})
	}
	for _, backend := range spec.Backends {
		if backend.Pool != "engine:models" {
			continue
		}
		s.models = append(s.models, backend.Name)
		s.targets.Backends = append(s.targets.Backends, load.BackendTarget{
			Name: backend.Name, Group: backend.FailureDomain, Address: s.Backends[backend.Name].Address,
		})
	}
}

// resources returns the pools and intents of the deployment, and the customers.
func (d deployment) resources(customers []load.Customer) []*api.Resource {
	out := []*api.Resource{
		resource(api.KindPools, "engine", "models", &api.PoolSpec{Protocol: api.ProtocolChat}),
		resource(api.KindPools, "engine", d.servicePool, &api.PoolSpec{Protocol: api.ProtocolService}),
		resource(api.KindIntents, "model", d.short, &api.IntentSpec{Pool: "engine:models", Class: api.ClassShort, DeadlineMS: d.shortMS}),
		resource(api.KindIntents, "model", d.long, &api.IntentSpec{Pool: "engine:models", Class: api.ClassLong, DeadlineMS: d.longMS}),
	}
	for _, customer := range customers {
		out = append(out, customerResource(customer))
	}
	return out
}

func customerResource(customer load.Customer) *api.Resource {
	digest := sha256.Sum256([]byte(customer.Token))
	spec := &api.CustomerSpec{TokenDigests: []string{hex.EncodeToString(digest[:])}, Weight: customer.Weight}
	return resource(api.KindCustomers, "customer", customer.Name, spec)
}

func resource(kind api.Kind, scheme api.Scheme, name string, spec any) *api.Resource {
	raw, _ := json.Marshal(spec)
	return &api.Resource{Kind: kind, Names: api.Names{scheme: name}, Spec: raw}
}

// apply puts a resource through the first control instance that accepts it and
// returns it with its new version.
func (s *system) apply(resource *api.Resource) (applied *api.Resource) {
	controls := s.WithRole(settings.RoleControl)
	attempt := 0
	s.g.Expect(testcluster.Eventually(func() error {
		control := controls[attempt%len(controls)]
		attempt++
		client := api.NewClient(control.Settings.Listen.Operators, "measure")
		var err error
		applied, err = client.Put(context.Background(), resource.Names.Refs()[0], resource, "")
		return err
	})).To(Succeed())
	return applied
}

// waitUntilServing waits until every router is ready and answers a chat.
func (s *system) waitUntilServing(d deployment, token string) {
	caller := &testcluster.Caller{Token: token}
	for _, router := range s.Routers() {
		s.g.Expect(router.WaitReady()).To(Succeed())
		s.g.Expect(testcluster.Eventually(func() error {
			request := &api.ChatRequest{Model: d.short, Messages: []api.ChatMessage{{Role: "user", Content: "ready?"}}}
			return caller.AskVerified(context.Background(), router.Settings.Listen.Callers, request, nil)
		})).To(Succeed(), router.Name)
	}
}

func readMix(t *testing.T, name string) *load.Mix {
	mix, err := load.ReadMix("../../docs/measures/mixes/" + name + ".json")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return mix
}

func isModel(backend testcluster.BackendSpec) bool { return strings.Contains(backend.Pool, "models") }
