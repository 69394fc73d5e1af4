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

// overflowCount is how many requests of each sort a failure domain without
// servers gets.
const overflowCount = 20

// overflowSpec has a router, an engine and a gate in each of three failure
// domains. The engine of the first has two slots.
func overflowSpec() testcluster.Spec {
	spec := testcluster.Spec{
		Daemons:  []testcluster.DaemonSpec{control},
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

// serversOfA lists the stand-ins of the first failure domain.
var serversOfA = []string{"gate-a", "engine-a"}

// TestOverflowBetweenFailureDomains takes all servers of one failure domain
// away: its requests go to another one over one hop. Then it is cut off: its
// requests are refused as not run, until it has servers of its own again.
func TestOverflowBetweenFailureDomains(t *testing.T) {
	t.Parallel()
	d := deploy(t, overflowSpec())
	d.firstAnswer(campaignRouters...)
	for _, server := range serversOfA {
		d.Expect(d.Backends[server].Kill()).To(Succeed())
	}
	var away, local []string
	for i := range overflowCount {
		away = append(away, d.runs("router-a", charge{id: fmt.Sprintf("away-%d", i)}))
		d.answered("router-a", streamRequest(i, 5))
	}
	d.refusedOverHop("router-a")

	d.cutOff(domainA, testcluster.Blackhole)
	d.refusesAsNotRun("router-a", "cut-off")
	for _, server := range serversOfA {
		d.Expect(d.Backends[server].Start()).To(Succeed())
	}
	d.firstAnswer("router-a")
	for i := range overflowCount {
		local = append(local, d.runs("router-a", charge{id: fmt.Sprintf("local-%d", i)}))
	}
	d.cutOff(domainA, testcluster.Forward)
	executions := d.executions()
	for _, id := range append(away, local...) {
		d.Expect(executions).To(HaveKeyWithValue(id, 1))
	}
	d.Expect(executions).NotTo(HaveKey("hop"))
}

// TestOverflowOfAFullFailureDomain fills the two slots of a failure domain with
// streams: others go to another one as soon as the summaries of its load have
// come, and all are answered whole or refused as not run.
func TestOverflowOfAFullFailureDomain(t *testing.T) {
	t.Parallel()
	d := deploy(t, overflowSpec())
	d.firstAnswer(campaignRouters...)
	before := d.executionsElsewhere()
	c := &tally{explicit: map[string]int{}}
	d.Expect(testcluster.Eventually(func() error {
		d.burst("router-a", c)
		return atLeast(d.executionsElsewhere(), before+burstStreams/2)
	})).To(Succeed())
	t.Logf("%d streams: %d whole, %d of them in other failure domains, explicit errors %v",
		c.ended(), c.whole, d.executionsElsewhere()-before, c.explicit)
	d.Expect(c.wrong).To(BeEmpty())
	for refusal := range c.explicit {
		d.Expect(refusal).To(HaveSuffix(string(api.OutcomeNotRun)))
	}
}

// burstStreams is how many streams a burst sends at once.
const burstStreams = 10

// burst sends streams at once, more than the failure domain has slots for.
func (d deployed) burst(router string, c *tally) {
	var group sync.WaitGroup
	for i := range burstStreams {
		group.Go(func() {
			caller := &testcluster.Caller{Token: callerToken}
			c.add(caller.AskVerified(context.Background(), d.callers(router), streamRequest(i, 60), nil))
		})
	}
	group.Wait()
}

// executionsElsewhere counts what ran outside the first failure domain.
func (d deployed) executionsElsewhere() int {
	return d.executionsAt("engine-b") + d.executionsAt("engine-c")
}

// answered asks until the answer is whole.
func (d deployed) answered(router string, request *api.ChatRequest) {
	caller := &testcluster.Caller{Token: callerToken}
	d.Expect(testcluster.Eventually(func() error {
		return caller.AskVerified(context.Background(), d.callers(router), request, nil)
	})).To(Succeed())
}

// refusedOverHop sends a request as another router would: the router that has
// no servers must not send it on. Until the servers' silence is known, the
// request fails at one of them.
func (d deployed) refusedOverHop(router string) {
	caller := &testcluster.Caller{Token: callerToken}
	header := http.Header{api.HeaderHop: {"1"}, api.HeaderRequestID: {"hop"}}
	d.Expect(testcluster.Eventually(func() error {
		err := caller.AskVerified(context.Background(), d.callers(router), streamRequest(1, 5), header)
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

// refusesAsNotRun waits until a router refuses charges as not run, and checks
// that none of those ran. Before its summaries of the other failure domains are
// too old, it sends charges there, whose outcome it cannot know.
func (d deployed) refusesAsNotRun(router, prefix string) {
	var refused []string
	for i := 0; len(refused) < overflowCount; i++ {
		var got result
		id := fmt.Sprintf("%s-%d", prefix, i)
		d.Expect(testcluster.Eventually(func() error {
			if got = post(charge{id: id}).send(d.callers(router)); got.outcome == api.OutcomeMayHaveRun {
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
