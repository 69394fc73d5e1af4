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
	// chargeInterval is the time between two charges. It spreads them over the faults.
	chargeInterval = 30 * time.Millisecond
	// senderCount is the maximum number of charges in progress.
	senderCount = 12
	// maxSends limits the sends of a charge whose outcome stays unknown.
	maxSends    = 4
	resendPause = 300 * time.Millisecond
)

// campaignSpec has a router and a gate server in each of three failure domains,
// and five ledger replicas, so that the ledger group of one domain has three members.
func campaignSpec() testcluster.Spec {
	spec := testcluster.Spec{
		Daemons:  []testcluster.DaemonSpec{controlSpec},
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

// campaign sends charges while faults are injected and records their histories.
type campaign struct {
	deployment
	random *rand.Rand
	// routers receive the charges; the first one for each charge is drawn at random.
	routers []string

	mu        sync.Mutex
	histories []history
}

// TestChargesRunAtMostOnceUnderFaults guards against duplicate executions, false
// outcomes and lost charges. Charges with and without request keys are sent and
// resent while routers, ledger replicas and gate servers crash, are suspended,
// lose connections or fail, and one ledger replica loses its disk.
func TestChargesRunAtMostOnceUnderFaults(t *testing.T) { runCampaign(t, campaignSpec()) }

// TestChargesRunAtMostOnceWhileServersRepeatAnswers guards against copies of answers that
// are taken for the answers to later charges.
func TestChargesRunAtMostOnceWhileServersRepeatAnswers(t *testing.T) {
	spec := campaignSpec()
	for i := range spec.Backends {
		spec.Backends[i].Flags = append(spec.Backends[i].Flags, "-repeat-answers")
	}
	c := runCampaign(t, spec)
	for _, h := range c.histories {
		for _, r := range h.results {
			if r.outcome == api.OutcomeRan {
				c.Expect(r.body).To(ContainSubstring(h.charge.id + `"`))
			}
		}
	}
}

// runCampaign sends the charges while faults are injected, and checks their histories.
func runCampaign(t *testing.T, spec testcluster.Spec) *campaign {
	c := &campaign{deployment: deploy(t, spec), random: rand.New(rand.NewPCG(*seed, 1)), routers: campaignRouters}
	c.waitClaimsGranted(campaignRouters)
	charges := c.newCharges(*chargeCount)
	schedule := newSchedule(c.deployment)
	schedule.start(*seed)
	c.sendCharges(charges)
	schedule.stop()
	t.Logf("faults: %v", schedule.counts())
	c.resolveUnknown()
	report := checkHistories(c.histories, c.executions())
	t.Logf("seed %d: %s", *seed, report)
	t.Logf("error codes: %v", c.countErrorCodes())
	c.Expect(report.violations).To(BeEmpty())
	c.Expect(report.Charges).To(Equal(2 * *chargeCount))
	c.Expect(schedule.counts()["lose disk"]).To(Equal(1))
	c.Expect(report.Ran).To(BeNumerically(">", report.Charges/2), "most charges run despite the faults")
	return c
}

// newCharges returns count charges with a request key, half of them minted, and
// count charges without one, in random order.
func (c *campaign) newCharges(count int) []charge {
	var keys []string
	for i, router := range c.routers {
		share := (count/2 + i) / len(c.routers)
		minted, err := mintKeys(c.callersAddress(router), max(share, 1))
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

// chargeTask is a charge, the index of the router that receives it first, and
// whether a second router receives it concurrently.
type chargeTask struct {
	charge      charge
	firstRouter int
	concurrent  bool
}

func (c *campaign) sendCharges(charges []charge) {
	tasks := make(chan chargeTask)
	var group sync.WaitGroup
	for range senderCount {
		group.Go(func() {
			for next := range tasks {
				c.record(history{next.charge, c.sendUntilKnown(next)})
			}
		})
	}
	ticker := time.NewTicker(chargeInterval)
	defer ticker.Stop()
	for _, next := range charges {
		<-ticker.C
		tasks <- chargeTask{charge: next, firstRouter: c.random.IntN(len(c.routers)), concurrent: c.random.IntN(3) == 0}
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

func (c *campaign) routerAddress(i int) string { return c.callersAddress(c.routers[i%len(c.routers)]) }

// sendUntilKnown sends a charge until its outcome is known or a resend is unsafe.
// A concurrent charge with a key is also sent through a router of another failure
// domain, and once more after both sends through the third one.
func (c *campaign) sendUntilKnown(t chargeTask) []result {
	second := make(chan result, 1)
	concurrent := t.concurrent && t.charge.keyed
	if concurrent {
		go func() { second <- t.charge.send(c.routerAddress(t.firstRouter + 1)) }()
	}
	results := c.sendWhileSafe(t.charge, t.firstRouter)
	if concurrent {
		results = append(results, <-second)
		results = append(results, t.charge.send(c.routerAddress(t.firstRouter+2)))
	}
	return results
}

// sendWhileSafe sends a charge through the routers in turn while a resend is safe:
// always with a key, and without a key only if nothing has run.
func (c *campaign) sendWhileSafe(toSend charge, first int) []result {
	var results []result
	for i := range maxSends {
		r := toSend.send(c.routerAddress(first + i))
		results = append(results, r)
		safe := toSend.keyed || r.notSent || r.outcome == api.OutcomeNotRun
		if r.outcome == api.OutcomeRan || !safe {
			break
		}
		time.Sleep(resendPause)
	}
	return results
}

// resolveUnknown resends, after the faults, each charge with a key whose outcome
// is still unknown to its caller.
func (c *campaign) resolveUnknown() {
	for _, router := range c.routers {
		c.Expect(c.Daemons[router].WaitReady()).To(Succeed())
	}
	pending := make(chan *history)
	var group sync.WaitGroup
	for range senderCount {
		group.Go(func() {
			for h := range pending {
				c.Expect(testcluster.Eventually(func() error {
					r := h.charge.send(c.routerAddress(len(h.results)))
					h.results = append(h.results, r)
					return r.checkResolved()
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

// checkResolved returns an error unless the charge has run, or its outcome stays
// unknown because of a lost claim or an expired key.
func (r result) checkResolved() error {
	unknown := r.code == api.CodeClaimLost || r.code == api.CodeKeyExpired
	if r.outcome == api.OutcomeRan || unknown {
		return nil
	}
	return fmt.Errorf("outcome %q, code %d", r.outcome, r.code)
}

func (c *campaign) countErrorCodes() map[string]int {
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
