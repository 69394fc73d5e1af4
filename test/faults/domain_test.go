package faults

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// cutOffChargeCount is the number of charges of each kind at a cut-off failure domain.
const cutOffChargeCount = 10

// TestCutOffFailureDomainRunsOwnKeysOnly guards against a cut-off failure domain
// that stops serving its own keys and requests without one, and against
// duplicate executions by both sides. The links drop all bytes silently. A key
// of another domain, or of the customer, must return "may have run" without
// running.
func TestCutOffFailureDomainRunsOwnKeysOnly(t *testing.T) {
	t.Parallel()
	d := deploy(t, campaignSpec())
	ownKeys, err := mintKeys(d.callersAddress("router-c"), cutOffChargeCount)
	d.Expect(err).NotTo(HaveOccurred())
	foreignKeys, err := mintKeys(d.callersAddress("router-a"), cutOffChargeCount)
	d.Expect(err).NotTo(HaveOccurred())
	d.waitClaimsGranted(campaignRouters)
	d.setDomainLinks(domainC, testcluster.Blackhole)

	for _, key := range ownKeys {
		d.sendUntilRan("router-c", charge{id: key, keyed: true})
	}
	for i := range cutOffChargeCount {
		d.sendUntilRan("router-c", charge{id: fmt.Sprintf("unkeyed-%d", i)})
	}
	newKeys, err := mintKeys(d.callersAddress("router-c"), 1)
	d.Expect(err).NotTo(HaveOccurred(), "a cut-off failure domain still mints keys")
	d.sendUntilRan("router-c", charge{id: newKeys[0], keyed: true})
	d.expectOutcome("router-c", charge{id: foreignKeys[0], keyed: true}, api.OutcomeMayHaveRun)
	d.expectOutcome("router-c", charge{id: "customer-key", keyed: true}, api.OutcomeMayHaveRun)
	d.Expect(d.executions()).NotTo(HaveKey("customer-key"))

	d.sendUntilRan("router-a", charge{id: foreignKeys[0], keyed: true})
	d.sendUntilRan("router-b", charge{id: "customer-key", keyed: true})
	d.expectOutcome("router-b", charge{id: ownKeys[0], keyed: true}, api.OutcomeMayHaveRun)
	d.setDomainLinks(domainC, testcluster.Forward)
	for _, key := range []string{foreignKeys[0], "customer-key", ownKeys[0]} {
		for _, router := range campaignRouters {
			d.Expect(testcluster.Eventually(func() error {
				return withPost(charge{id: key, keyed: true}).send(d.callersAddress(router)).checkResolved()
			})).To(Succeed())
		}
	}
	for key, count := range d.executions() {
		d.Expect(count).To(Equal(1), key)
	}
}

// withPost returns the charge with the POST method.
func withPost(c charge) charge {
	c.method = http.MethodPost
	return c
}

func (d deployment) expectOutcome(router string, c charge, want api.Outcome) {
	got := withPost(c).send(d.callersAddress(router))
	d.Expect(got.outcome).To(Equal(want), "%s at %s: code %s, %q", c.id, router, got.code, got.body)
}

// sendUntilRan sends a charge until it has run, and returns its ID. It resends
// under the same key while the outcome is unknown, and without a key only if
// nothing has run. If a charge without a key has an unknown outcome, as on a busy
// host, a new charge replaces it.
func (d deployment) sendUntilRan(router string, c charge) string {
	d.Expect(testcluster.Eventually(func() error {
		got := withPost(c).send(d.callersAddress(router))
		if got.outcome == api.OutcomeRan {
			return nil
		}
		err := errors.Errorf("%s at %s: outcome %q, code %s", c.id, router, got.outcome, got.code)
		if !c.keyed && !got.notSent && got.outcome != api.OutcomeNotRun {
			c.id += "-again"
		}
		return err
	})).To(Succeed())
	return c.id
}

// setDomainLinks sets the mode of every connection between the daemons of a
// failure domain and those of the others.
func (d deployment) setDomainLinks(domain string, mode testcluster.Mode) {
	for name, inside := range d.Daemons {
		for other, outside := range d.Daemons {
			if inside.Settings.FailureDomain == domain && outside.Settings.FailureDomain != domain {
				d.SetLinkBothWays(name, other, mode)
			}
		}
	}
}
