package faults

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// overflowRequestCount is the number of requests of each kind at a failure domain
// without servers.
const overflowRequestCount = 20

// overflowSpec has a router, an engine and a gate server in each of three failure
// domains. The engine of the first domain has two slots.
func overflowSpec() testcluster.Spec {
	spec := testcluster.Spec{
		Daemons:  []testcluster.DaemonSpec{controlSpec},
		Timeouts: settings.Timeouts{ProgressMS: 1000, HeartbeatMS: 200, QueueMS: 500},
	}
	for i, domain := range []string{domainA, domainB, domainC} {
		suffix := string(rune('a' + i))
		slots := "200"
		if domain == domainA {
			slots = "2"
		}
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{Instance: "router-" + suffix, FailureDomain: domain, Roles: routerRoles})
		spec.Backends = append(spec.Backends,
			testcluster.BackendSpec{
				Name: "gate-" + suffix, FailureDomain: domain, Pool: "gates",
				Flags: []string{"-service-time", "1ms", "-announce-every", "200ms", "-slots", "64"},
			},
			testcluster.BackendSpec{
				Name: "engine-" + suffix, FailureDomain: domain, Pool: "chat-engine",
				Flags: []string{"-token-time", "10ms", "-announce-every", "200ms", "-slots", slots},
			})
	}
	return spec
}

// domainABackends are the fake backend servers of the first failure domain.
var domainABackends = []string{"gate-a", "engine-a"}

// TestOverflowBetweenFailureDomainsTakesOneHop guards against refused requests,
// forwarding loops and wrong outcomes in a failure domain without servers. All its
// servers are killed: its requests go to another domain over one hop. Then its
// links drop all bytes: its requests are refused as not run until its own servers
// are back.
func TestOverflowBetweenFailureDomainsTakesOneHop(t *testing.T) {
	t.Parallel()
	d := deploy(t, overflowSpec())
	d.waitServing(campaignRouters...)
	for _, server := range domainABackends {
		d.Expect(d.Backends[server].Kill()).To(Succeed())
	}
	var overflowed, local []string
	for i := range overflowRequestCount {
		overflowed = append(overflowed, d.sendUntilRan("router-a", charge{id: fmt.Sprintf("away-%d", i)}))
		d.askUntilComplete("router-a", streamRequest(i, 5))
	}
	d.expectHopNotForwarded("router-a")

	d.setDomainLinks(domainA, testcluster.Blackhole)
	d.expectRefusedAsNotRun("router-a", "cut-off")
	for _, server := range domainABackends {
		d.Expect(d.Backends[server].Start()).To(Succeed())
	}
	d.waitServing("router-a")
	for i := range overflowRequestCount {
		local = append(local, d.sendUntilRan("router-a", charge{id: fmt.Sprintf("local-%d", i)}))
	}
	d.setDomainLinks(domainA, testcluster.Forward)
	executions := d.executions()
	for _, id := range append(overflowed, local...) {
		d.Expect(executions).To(HaveKeyWithValue(id, 1))
	}
	d.Expect(executions).NotTo(HaveKey("hop"))
}

// TestOverflowFromFullFailureDomain guards against queueing in a failure domain
// whose slots are in use while others have free ones. Streams fill its two slots;
// once the load summaries have arrived, further ones go to another domain. Every
// stream is answered completely or refused as not run.
func TestOverflowFromFullFailureDomain(t *testing.T) {
	t.Parallel()
	d := deploy(t, overflowSpec())
	d.waitServing(campaignRouters...)
	before := d.executionsOutsideDomainA()
	c := &streamTally{numberedErrors: map[string]int{}}
	d.Expect(testcluster.Eventually(func() error {
		d.sendBurst("router-a", c)
		return checkAtLeast(d.executionsOutsideDomainA(), before+burstStreamCount/2)
	})).To(Succeed())
	t.Logf("%d streams: %d complete, %d of them in other failure domains, numbered errors %v",
		c.ended(), c.complete, d.executionsOutsideDomainA()-before, c.numberedErrors)
	d.Expect(c.invalid).To(BeEmpty())
	for refusal := range c.numberedErrors {
		d.Expect(refusal).To(HaveSuffix(string(api.OutcomeNotRun)))
	}
}

// burstStreamCount is the number of concurrent streams of a burst.
const burstStreamCount = 10

// sendBurst sends more concurrent streams than the failure domain has slots.
func (d deployment) sendBurst(router string, c *streamTally) {
	var group sync.WaitGroup
	for i := range burstStreamCount {
		group.Go(func() {
			caller := &testcluster.Caller{Token: callerToken}
			c.add(caller.AskVerified(context.Background(), d.callersAddress(router), streamRequest(i, 60), nil))
		})
	}
	group.Wait()
}

// executionsOutsideDomainA counts the executions on engines outside the first
// failure domain.
func (d deployment) executionsOutsideDomainA() int {
	return d.executionsAt("engine-b") + d.executionsAt("engine-c")
}

// askUntilComplete sends a request until it gets a complete answer.
func (d deployment) askUntilComplete(router string, request *api.ChatRequest) {
	caller := &testcluster.Caller{Token: callerToken}
	d.Expect(testcluster.Eventually(func() error {
		return caller.AskVerified(context.Background(), d.callersAddress(router), request, nil)
	})).To(Succeed())
}

// expectHopNotForwarded sends a request with the hop header of a forwarding router
// and checks that a router without servers does not forward it again. Until the
// servers time out as silent, the request fails at one of them.
func (d deployment) expectHopNotForwarded(router string) {
	caller := &testcluster.Caller{Token: callerToken}
	header := http.Header{api.HeaderHop: {"1"}, api.HeaderRequestID: {"hop"}}
	d.Expect(testcluster.Eventually(func() error {
		err := caller.AskVerified(context.Background(), d.callersAddress(router), streamRequest(1, 5), header)
		var refusal *api.Error
		d.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
		d.Expect(refusal.Outcome).To(Equal(api.OutcomeNotRun))
		if refusal.Code == api.CodeBackendFailed {
			return refusal
		}
		d.Expect(refusal.Code).To(Equal(api.CodeNoBackendServer))
		return nil
	})).To(Succeed())
}

// expectRefusedAsNotRun waits until a router refuses charges as not run, and checks
// that none of those ran. Until its summaries of the other failure domains expire,
// the router forwards charges there, and their outcome is unknown.
func (d deployment) expectRefusedAsNotRun(router, prefix string) {
	var refused []string
	for i := 0; len(refused) < overflowRequestCount; i++ {
		var got result
		id := fmt.Sprintf("%s-%d", prefix, i)
		d.Expect(testcluster.Eventually(func() error {
			if got = withPost(charge{id: id}).send(d.callersAddress(router)); got.outcome == api.OutcomeMayHaveRun {
				id += "x"
				return fmt.Errorf("%s: code %s", id, got.code)
			}
			return nil
		})).To(Succeed())
		d.Expect(got.outcome).To(Equal(api.OutcomeNotRun), "%s", got.code)
		d.Expect(got.code).To(Equal(api.CodeNoBackendServer))
		refused = append(refused, id)
	}
	executions := d.executionsOf([]string{"gate-b", "gate-c"})
	for _, id := range refused {
		d.Expect(executions).NotTo(HaveKey(id))
	}
}
