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
	cutTime    = flag.Duration("cut", 8*time.Second, "how long two regions are cut off from each other")
	cutChanges = flag.Int("cut-changes", 100, "changes at the majority's side during the cut")
)

const (
	domainPwaniA   = "pwani-a"
	domainPwaniB   = "pwani-b"
	domainOrienteA = "oriente-a"
	domainOrienteB = "oriente-b"
	// regionPause is the time between two rounds of requests at a router.
	regionPause = 100 * time.Millisecond
	// foreignKeys is how many keys of each side are sent at the other one.
	foreignKeys = 6
	// catchUpChange is the change after the cut.
	catchUpChange = "after-the-cut"
)

// regionsSpec has two regions of two failure domains. The first region has the
// majority of the control and of the fleet's ledger replicas.
func regionsSpec() testcluster.Spec {
	all := []settings.Role{settings.RoleRouter, settings.RoleControl, settings.RoleLedger}
	routerLedger := []settings.Role{settings.RoleRouter, settings.RoleLedger}
	spec := testcluster.Spec{
		Daemons: []testcluster.DaemonSpec{
			{Instance: "pwani-a-1", FailureDomain: domainPwaniA, Roles: all},
			{Instance: "pwani-b-1", FailureDomain: domainPwaniB, Roles: all},
			{Instance: "pwani-b-2", FailureDomain: domainPwaniB, Roles: ledgerRoles},
			{Instance: "oriente-a-1", FailureDomain: domainOrienteA, Roles: all},
			{Instance: "oriente-b-1", FailureDomain: domainOrienteB, Roles: routerLedger},
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
	majoritySide = []string{"pwani-a-1", "pwani-b-1"}
	minoritySide = []string{"oriente-a-1", "oriente-b-1"}
	allSides     = append(append([]string{}, majoritySide...), minoritySide...)
)

// regions is a run of two regions that lose each other.
type regions struct {
	campaign
	answers tally
}

// TestRegionsLoseEachOther cuts two regions off from each other, silently and
// for longer than every lease and election timeout, with load on both sides.
func TestRegionsLoseEachOther(t *testing.T) {
	t.Parallel()
	r := &regions{campaign: campaign{deployed: deploy(t, regionsSpec())}, answers: tally{explicit: map[string]int{}}}
	r.claimsWork(allSides)
	r.firstAnswer(allSides...)
	fromMajority, fromMinority := r.mint(majoritySide[0]), r.mint(minoritySide[0])
	before := r.inForceEverywhere("before-the-cut")
	revisions := r.watchRevisions()

	r.cutRegions(testcluster.Blackhole)
	healed := time.After(*cutTime)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, router := range allSides {
		load.Go(func() { r.serve(router, stop) })
	}
	var during sync.WaitGroup
	during.Go(func() { r.foreign(majoritySide, minoritySide, fromMinority) })
	during.Go(func() { r.foreign(minoritySide, majoritySide, fromMajority) })
	during.Go(func() { r.minorityKnows(before) })
	during.Go(func() { r.change(*cutChanges) })
	during.Wait()
	<-healed
	close(stop)
	load.Wait()
	r.Expect(r.routerRevision(minoritySide[0])).To(Equal(before))

	r.cutRegions(testcluster.Forward)
	after := r.inForceEverywhere(catchUpChange)
	r.Expect(after).To(BeNumerically(">=", before+float64(*cutChanges)+1))
	revisions()
	r.settleKeys(append(fromMajority, fromMinority...))
	r.minorityAnswersAgain()
	v := judge(r.histories, r.executions())
	t.Logf("cut for %v, %d changes: %s; chats: %d whole, explicit errors %v", *cutTime, *cutChanges, v, r.answers.whole, r.answers.explicit)
	r.Expect(v.faults).To(BeEmpty())
	r.Expect(r.answers.wrong).To(BeEmpty())
}

func (r *regions) mint(router string) []string {
	keys, err := mintKeys(r.callers(router), foreignKeys)
	r.Expect(err).NotTo(HaveOccurred())
	return keys
}

// cutRegions sets every connection between daemons of different regions.
func (r *regions) cutRegions(mode testcluster.Mode) {
	for name, one := range r.Daemons {
		for other, two := range r.Daemons {
			if one.Settings.Region < two.Settings.Region {
				r.Cut(name, other, mode)
			}
		}
	}
}

// serve sends chats, charges without a key and charges under keys of the
// router's own failure domain until the load stops.
func (r *regions) serve(router string, stop <-chan struct{}) {
	caller := &testcluster.Caller{Token: callerToken}
	address := r.callers(router)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(regionPause):
		}
		r.Expect(testcluster.Eventually(func() error {
			err := caller.AskVerified(context.Background(), address, streamRequest(i, 10), nil)
			r.answers.add(err)
			return err
		})).To(Succeed())
		unkeyed := post(charge{id: fmt.Sprintf("unkeyed-%s-%d", router, i)})
		r.record(history{unkeyed, r.until(address, unkeyed)})
		keys, err := mintKeys(address, 1)
		r.Expect(err).NotTo(HaveOccurred())
		keyed := post(charge{id: keys[0], keyed: true})
		results := r.until(address, keyed)
		r.record(history{keyed, append(results, keyed.send(address))})
	}
}

// until sends a charge until it has run, as long as a resend is safe.
func (r *regions) until(router string, c charge) []result {
	var results []result
	r.Expect(testcluster.Eventually(func() error {
		got := c.send(router)
		results = append(results, got)
		if safe := c.keyed || got.unsent || got.outcome == api.OutcomeNotRun; got.outcome != api.OutcomeRan && safe {
			return errors.Errorf("%s: outcome %q, code %s", c.id, got.outcome, got.code)
		}
		return nil
	})).To(Succeed())
	return results
}

// foreign sends the keys of the other side, and a customer's own key. The side
// without the group's majority may run none of them and cannot call them not run.
func (r *regions) foreign(side, other, keys []string) {
	var group sync.WaitGroup
	defer group.Wait()
	for i, key := range keys {
		group.Go(func() {
			c := post(charge{id: key, keyed: true})
			here := c.send(r.callers(side[i%len(side)]))
			r.Expect(here.outcome).To(Equal(api.OutcomeMayHaveRun), "%s: code %s", key, here.code)
			r.record(history{c, append([]result{here}, r.until(r.callers(other[i%len(other)]), c)...)})
		})
	}
	own := post(charge{id: "customer-key-" + side[0], keyed: true})
	if side[0] == majoritySide[0] {
		r.record(history{own, r.until(r.callers(side[0]), own)})
		return
	}
	got := own.send(r.callers(side[0]))
	r.Expect(got.outcome).To(Equal(api.OutcomeMayHaveRun), "code %s", got.code)
	r.record(history{own, []result{got}})
}

// minorityKnows waits until the smaller side says that it is cut off.
func (r *regions) minorityKnows(before float64) {
	for _, router := range minoritySide {
		r.Expect(testcluster.Eventually(func() error {
			value, err := r.metric(router, "peridotwinch_router_config_cut_off")
			if err == nil && value != 1 {
				err = errors.Errorf("%s does not count itself as cut off", router)
			}
			return err
		})).To(Succeed())
		r.Expect(r.routerRevision(router)).To(Equal(before))
	}
	operators := r.Daemons[minoritySide[0]].Settings.Listen.Operators
	resp, err := http.Get("http://" + operators + "/apis/v1/pools")
	r.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	r.Expect(api.DecodeError(resp).Code).To(Equal(api.CodeNoQuorum))
	status, err := api.NewClient(operators, "test").ControlStatus(context.Background())
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(status.Current).To(BeFalse())
}

// change makes changes at the larger side.
func (r *regions) change(count int) {
	var operators []string
	for _, name := range majoritySide {
		operators = append(operators, r.Daemons[name].Settings.Listen.Operators)
	}
	client := api.NewClient(strings.Join(operators, ","), "test")
	for i := range count {
		r.put(client, fmt.Sprintf("changed-%d", i))
	}
}

// settleKeys asks for each key at every router after the cut.
func (r *regions) settleKeys(keys []string) {
	for _, key := range append(keys, "customer-key-"+majoritySide[0], "customer-key-"+minoritySide[0]) {
		c := post(charge{id: key, keyed: true})
		var results []result
		for _, router := range allSides {
			results = append(results, r.until(r.callers(router), c)...)
		}
		r.record(history{c, results})
	}
}

// minorityAnswersAgain reads the newest change at the replica that was cut off.
func (r *regions) minorityAnswersAgain() {
	control := api.NewClient(r.Daemons[minoritySide[0]].Settings.Listen.Operators, "test")
	r.Expect(testcluster.Eventually(func() error {
		_, err := control.Get(context.Background(), api.KindPools, catchUpChange)
		return err
	})).To(Succeed())
}
