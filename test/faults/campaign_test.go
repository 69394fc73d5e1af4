package faults

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	campaignProgressMS = 1000
	// chargeEvery spreads the charges over the faults.
	chargeEvery = 30 * time.Millisecond
	// senders is how many charges are in progress at once.
	senders = 12
	// resendTries bounds the sends of a charge whose outcome stays unknown.
	resendTries = 4
	resendPause = 300 * time.Millisecond
)

// campaignSpec has a router and a gate in each of three failure domains, and
// ledger replicas so that one group has three members.
func campaignSpec() testcluster.Spec {
	spec := testcluster.Spec{
		Daemons:  []testcluster.DaemonSpec{control},
		Timeouts: settings.Timeouts{ProgressMS: campaignProgressMS, HeartbeatMS: 200},
	}
	for i, domain := range []string{domainA, domainB, domainC} {
		suffix := string(rune('a' + i))
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{Instance: "router-" + suffix, FailureDomain: domain, Roles: routerRoles})
		spec.Backends = append(spec.Backends, testcluster.BackendSpec{
			Name: "gate-" + suffix, FailureDomain: domain, Pool: "gates",
			Flags: []string{"-service-time", "5ms", "-announce-every", "200ms", "-slots", "64"},
		})
	}
	for i, domain := range []string{domainA, domainA, domainA, domainB, domainC} {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{Instance: fmt.Sprintf("ledger-%d", i+1), FailureDomain: domain, Roles: ledgerRoles})
	}
	return spec
}

var campaignRouters = []string{"router-a", "router-b", "router-c"}

// campaign sends charges while faults go on.
type campaign struct {
	deployed
	random *rand.Rand
	// routers take the charges in turn.
	routers []string

	mu        sync.Mutex
	histories []history
}

func TestAtMostOnce(t *testing.T) {
	c := &campaign{deployed: deploy(t, campaignSpec()), random: rand.New(rand.NewPCG(*seed, 1)), routers: campaignRouters}
	c.claimsWork(campaignRouters)
	charges := c.charges(*chargeCount)
	schedule := newSchedule(c.deployed)
	schedule.start(*seed)
	c.sendAll(charges)
	schedule.stop()
	t.Logf("faults: %v", schedule.counts())
	c.settle()
	v := judge(c.histories, c.executions())
	t.Logf("seed %d: %s", *seed, v)
	t.Logf("codes of refusals: %v", c.codes())
	c.Expect(v.faults).To(BeEmpty())
	c.Expect(v.Charges).To(Equal(2 * *chargeCount))
	c.Expect(schedule.counts()["lose disk"]).To(Equal(1))
	c.Expect(v.Ran).To(BeNumerically(">", v.Charges/2), "most charges run in spite of the faults")
}

// charges returns count charges with a key, half of them minted, and as many
// without one, in a random order.
func (c *campaign) charges(count int) []charge {
	var keys []string
	for i, router := range c.routers {
		share := (count/2 + i) / len(c.routers)
		minted, err := mintKeys(c.callers(router), max(share, 1))
		c.Expect(err).NotTo(HaveOccurred())
		keys = append(keys, minted...)
	}
	for i := len(keys); i < count; i++ {
		keys = append(keys, fmt.Sprintf("customer-key-%d", i))
	}
	var out []charge
	for i, key := range keys[:count] {
		out = append(out, charge{id: key, keyed: true, amount: i}, charge{id: fmt.Sprintf("unkeyed-%d", i), amount: i})
	}
	for i := range out {
		out[i].method = []string{http.MethodPost, http.MethodPut}[c.random.IntN(2)]
	}
	c.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// task is a charge with the router that gets it first and whether it is sent
// through another one at the same time.
type task struct {
	charge charge
	first  int
	twice  bool
}

func (c *campaign) sendAll(charges []charge) {
	tasks := make(chan task)
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for next := range tasks {
				c.record(history{next.charge, c.run(next)})
			}
		})
	}
	pace := time.NewTicker(chargeEvery)
	defer pace.Stop()
	for _, one := range charges {
		<-pace.C
		tasks <- task{charge: one, first: c.random.IntN(len(c.routers)), twice: c.random.IntN(3) == 0}
	}
	close(tasks)
	group.Wait()
}

func (c *campaign) record(h history) {
	sort.Slice(h.results, func(i, j int) bool { return h.results[i].ended.Before(h.results[j].ended) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histories = append(c.histories, h)
}

func (c *campaign) router(i int) string { return c.callers(c.routers[i%len(c.routers)]) }

// run sends a charge until its caller knows what became of it. A charge with a
// key is also sent through a router of another failure domain at the same time.
func (c *campaign) run(t task) []result {
	second := make(chan result, 1)
	twice := t.twice && t.charge.keyed
	if twice {
		go func() { second <- t.charge.send(c.router(t.first + 1)) }()
	}
	results := c.resend(t.charge, t.first)
	if twice {
		results = append(results, <-second)
		results = append(results, t.charge.send(c.router(t.first+2)))
	}
	return results
}

// resend sends a charge through one router after the other while that is safe:
// always with a key, without one only while nothing has run.
func (c *campaign) resend(one charge, first int) []result {
	var results []result
	for i := range resendTries {
		r := one.send(c.router(first + i))
		results = append(results, r)
		safe := one.keyed || r.unsent || r.outcome == api.OutcomeNotRun
		if r.outcome == api.OutcomeRan || !safe {
			break
		}
		time.Sleep(resendPause)
	}
	return results
}

// settle asks once more, after the faults, for each charge with a key whose
// caller does not know what became of it.
func (c *campaign) settle() {
	for _, router := range c.routers {
		c.Expect(c.Daemons[router].WaitReady()).To(Succeed())
	}
	pending := make(chan *history)
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for h := range pending {
				c.Expect(testcluster.Eventually(func() error {
					r := h.charge.send(c.router(len(h.results)))
					h.results = append(h.results, r)
					return r.settled()
				})).To(Succeed(), h.charge.id)
			}
		})
	}
	for i := range c.histories {
		h := &c.histories[i]
		if h.charge.keyed && h.firstRan() == nil {
			pending <- h
		}
	}
	close(pending)
	group.Wait()
}

// settled returns an error while a working system still owes an answer.
func (r result) settled() error {
	unknown := r.code == api.CodeClaimLost || r.code == api.CodeKeyExpired
	if r.outcome == api.OutcomeRan || unknown {
		return nil
	}
	return fmt.Errorf("outcome %q, code %d", r.outcome, r.code)
}

func (c *campaign) codes() map[string]int {
	out := map[string]int{}
	for _, h := range c.histories {
		for _, r := range h.results {
			if r.code != 0 {
				out[fmt.Sprintf("%s %s", r.code, r.outcome)]++
			}
		}
	}
	return out
}
