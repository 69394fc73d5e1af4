package faults

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

var (
	cutDuration    = flag.Duration("cut", 8*time.Second, "how long two regions are cut off from each other")
	cutChangeCount = flag.Int("cut-changes", 100, "changes at the majority's side during the cut")
)

const (
	domainPwaniA   = "pwani-a"
	domainPwaniB   = "pwani-b"
	domainOrienteA = "oriente-a"
	domainOrienteB = "oriente-b"
	// regionRequestPause is the time between two rounds of requests at a router.
	regionRequestPause = 100 * time.Millisecond
	// foreignKeyCount is the number of keys of each side that are sent to the other side.
	foreignKeyCount = 6
	// changeAfterCut is the name of the pool that is created after the cut.
	changeAfterCut = "after-the-cut"
)

// regionsSpec has two regions of two failure domains. The first region has the
// majority of the control replicas and of the fleet's ledger replicas.
func regionsSpec() testcluster.Spec {
	allRoles := []settings.Role{settings.RoleRouter, settings.RoleControl, settings.RoleLedger}
	routerLedgerRoles := []settings.Role{settings.RoleRouter, settings.RoleLedger}
	spec := testcluster.Spec{
		Daemons: []testcluster.DaemonSpec{
			{Instance: "pwani-a-1", FailureDomain: domainPwaniA, Roles: allRoles},
			{Instance: "pwani-b-1", FailureDomain: domainPwaniB, Roles: allRoles},
			{Instance: "pwani-b-2", FailureDomain: domainPwaniB, Roles: ledgerRoles},
			{Instance: "oriente-a-1", FailureDomain: domainOrienteA, Roles: allRoles},
			{Instance: "oriente-b-1", FailureDomain: domainOrienteB, Roles: routerLedgerRoles},
		},
		Timeouts: settings.Timeouts{ProgressMS: 2000, HeartbeatMS: 200},
	}
	for _, domain := range []string{domainPwaniA, domainPwaniB, domainOrienteA, domainOrienteB} {
		for _, pool := range []string{"gates", "chat-engine"} {
			spec.Backends = append(spec.Backends, testcluster.BackendSpec{
				Name: pool + "-" + domain, FailureDomain: domain, Pool: pool,
				Flags: []string{"-service-time", "1ms", "-token-time", "2ms", "-announce-every", "200ms", "-slots", "64"},
			})
		}
	}
	return spec
}

var (
	majorityRouters  = []string{"pwani-a-1", "pwani-b-1"}
	minorityRouters  = []string{"oriente-a-1", "oriente-b-1"}
	allRegionRouters = append(append([]string{}, majorityRouters...), minorityRouters...)
)

// regions is a campaign over two regions that are partitioned from each other.
type regions struct {
	campaign
	streams streamTally
}

// TestRegionsServeWhilePartitioned guards against duplicate executions, wrong
// outcomes and configurations that diverge or regress. The links between two
// regions drop all bytes for longer than every lease and election timeout, with
// load on both sides and configuration changes on the majority's side.
func TestRegionsServeWhilePartitioned(t *testing.T) {
	t.Parallel()
	r := &regions{campaign: campaign{deployment: deploy(t, regionsSpec())}, streams: streamTally{numberedErrors: map[string]int{}}}
	r.waitClaimsGranted(allRegionRouters)
	r.waitServing(allRegionRouters...)
	fromMajority, fromMinority := r.mintForeignKeys(majorityRouters[0]), r.mintForeignKeys(minorityRouters[0])
	before := r.putPoolInForce("before-the-cut")
	checkRevisions := r.watchRevisions()

	r.setRegionLinks(testcluster.Blackhole)
	healed := time.After(*cutDuration)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, router := range allRegionRouters {
		load.Go(func() { r.sendLoad(router, stop) })
	}
	var steps sync.WaitGroup
	steps.Go(func() { r.sendForeignKeys(majorityRouters, minorityRouters, fromMinority) })
	steps.Go(func() { r.sendForeignKeys(minorityRouters, majorityRouters, fromMajority) })
	steps.Go(func() { r.expectMinorityCutOff(before) })
	steps.Go(func() { r.makeChanges(*cutChangeCount) })
	steps.Wait()
	<-healed
	close(stop)
	load.Wait()
	r.Expect(r.routerRevision(minorityRouters[0])).To(Equal(before))

	r.setRegionLinks(testcluster.Forward)
	after := r.putPoolInForce(changeAfterCut)
	r.Expect(after).To(BeNumerically(">=", before+float64(*cutChangeCount)+1))
	checkRevisions()
	r.resendKeys(append(fromMajority, fromMinority...))
	r.expectMinorityCaughtUp()
	report := checkHistories(r.histories, r.executions())
	t.Logf("cut for %v, %d changes: %s; chats: %d complete, numbered errors %v", *cutDuration, *cutChangeCount, report, r.streams.complete, r.streams.numberedErrors)
	r.Expect(report.violations).To(BeEmpty())
	r.Expect(r.streams.invalid).To(BeEmpty())
}

// mintForeignKeys mints keys of a router's failure domain to send to the other side.
func (r *regions) mintForeignKeys(router string) []string {
	keys, err := mintKeys(r.callersAddress(router), foreignKeyCount)
	r.Expect(err).NotTo(HaveOccurred())
	return keys
}

// setRegionLinks sets the mode of every connection between daemons of different regions.
func (r *regions) setRegionLinks(mode testcluster.Mode) {
	for name, a := range r.Daemons {
		for other, b := range r.Daemons {
			if a.Settings.Region < b.Settings.Region {
				r.SetLinkBothWays(name, other, mode)
			}
		}
	}
}

// sendLoad sends chats, charges without a key and charges under keys of the
// router's own failure domain until stop is closed.
func (r *regions) sendLoad(router string, stop <-chan struct{}) {
	caller := &testcluster.Caller{Token: callerToken}
	address := r.callersAddress(router)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(regionRequestPause):
		}
		r.Expect(testcluster.Eventually(func() error {
			err := caller.AskVerified(context.Background(), address, streamRequest(i, 10), nil)
			r.streams.add(err)
			return err
		})).To(Succeed())
		unkeyed := withPost(charge{id: fmt.Sprintf("unkeyed-%s-%d", router, i)})
		r.record(history{unkeyed, r.retryUntilRan(address, unkeyed)})
		keys, err := mintKeys(address, 1)
		r.Expect(err).NotTo(HaveOccurred())
		keyed := withPost(charge{id: keys[0], keyed: true})
		results := r.retryUntilRan(address, keyed)
		r.record(history{keyed, append(results, keyed.send(address))})
	}
}

// retryUntilRan sends a charge until it has run, while a resend is safe.
func (r *regions) retryUntilRan(router string, c charge) []result {
	var results []result
	r.Expect(testcluster.Eventually(func() error {
		got := c.send(router)
		results = append(results, got)
		if safe := c.keyed || got.notSent || got.outcome == api.OutcomeNotRun; got.outcome != api.OutcomeRan && safe {
			return errors.Errorf("%s: outcome %q, code %s", c.id, got.outcome, got.code)
		}
		return nil
	})).To(Succeed())
	return results
}

// sendForeignKeys sends the keys of the other side, and a customer's own key. The side
// without the group's majority must not run any of them, nor return "not run".
func (r *regions) sendForeignKeys(side, other, keys []string) {
	var group sync.WaitGroup
	defer group.Wait()
	for i, key := range keys {
		group.Go(func() {
			c := withPost(charge{id: key, keyed: true})
			ownSideResult := c.send(r.callersAddress(side[i%len(side)]))
			r.Expect(ownSideResult.outcome).To(Equal(api.OutcomeMayHaveRun), "%s: code %s", key, ownSideResult.code)
			r.record(history{c, append([]result{ownSideResult}, r.retryUntilRan(r.callersAddress(other[i%len(other)]), c)...)})
		})
	}
	customerCharge := withPost(charge{id: "customer-key-" + side[0], keyed: true})
	if side[0] == majorityRouters[0] {
		r.record(history{customerCharge, r.retryUntilRan(r.callersAddress(side[0]), customerCharge)})
		return
	}
	got := customerCharge.send(r.callersAddress(side[0]))
	r.Expect(got.outcome).To(Equal(api.OutcomeMayHaveRun), "code %s", got.code)
	r.record(history{customerCharge, []result{got}})
}

// expectMinorityCutOff waits until the minority's routers report that they are cut
// off, at the revision from before the cut, and checks that its control replica
// has no quorum.
func (r *regions) expectMinorityCutOff(before float64) {
	for _, router := range minorityRouters {
		r.Expect(testcluster.Eventually(func() error {
			value, err := r.metric(router, "peridotwinch_router_config_cut_off")
			if err == nil && value != 1 {
				err = errors.Errorf("%s does not report that it is cut off", router)
			}
			return err
		})).To(Succeed())
		r.Expect(r.routerRevision(router)).To(Equal(before))
	}
	operators := r.Daemons[minorityRouters[0]].Settings.Listen.Operators
	resp, err := http.Get("http://" + operators + "/apis/v1/pools")
	r.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	r.Expect(api.DecodeError(resp).Code).To(Equal(api.CodeNoQuorum))
	status, err := api.NewClient(operators, "test").ControlStatus(context.Background())
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(status.Current).To(BeFalse())
}

// makeChanges creates pools through the majority's control replicas.
func (r *regions) makeChanges(count int) {
	var operators []string
	for _, name := range majorityRouters {
		operators = append(operators, r.Daemons[name].Settings.Listen.Operators)
	}
	client := api.NewClient(strings.Join(operators, ","), "test")
	for i := range count {
		r.putPool(client, fmt.Sprintf("changed-%d", i))
	}
}

// resendKeys sends the keys of both sides, and the customers' own keys, to every
// router after the cut.
func (r *regions) resendKeys(keys []string) {
	for _, key := range append(keys, "customer-key-"+majorityRouters[0], "customer-key-"+minorityRouters[0]) {
		c := withPost(charge{id: key, keyed: true})
		var results []result
		for _, router := range allRegionRouters {
			results = append(results, r.retryUntilRan(r.callersAddress(router), c)...)
		}
		r.record(history{c, results})
	}
}

// expectMinorityCaughtUp waits until the control replica that was cut off returns
// the newest change.
func (r *regions) expectMinorityCaughtUp() {
	control := api.NewClient(r.Daemons[minorityRouters[0]].Settings.Listen.Operators, "test")
	r.Expect(testcluster.Eventually(func() error {
		_, err := control.Get(context.Background(), api.KindPools, changeAfterCut)
		return err
	})).To(Succeed())
}
