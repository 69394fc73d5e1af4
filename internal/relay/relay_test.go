package relay_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/relay"
)

// The default limits of the settings.
var (
	controlLimits = relay.Limits{Unconditional: 8, PerDomain: 2, Max: 64}
	routerLimits  = relay.Limits{Unconditional: 16, Max: 16}
)

func subscriber(i int, domain string) relay.Subscriber {
	return relay.Subscriber{Instance: fmt.Sprintf("router-%d", i), FailureDomain: domain, Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

func TestSmallFleetFollowsControlDirectly(t *testing.T) {
	g := NewWithT(t)
	a := relay.NewAdmission(controlLimits)
	for i := range 8 {
		g.Expect(a.Decide(subscriber(i, "domain-a"), nil).Admitted).To(BeTrue())
	}
	g.Expect(a.Decide(subscriber(9, "domain-a"), nil).Admitted).To(BeFalse())
}

func TestRoutersAreRedirectedWithinTheirFailureDomain(t *testing.T) {
	g := NewWithT(t)
	a := relay.NewAdmission(relay.Limits{PerDomain: 2, Max: 64})
	g.Expect(a.Decide(subscriber(1, "domain-a"), nil).Admitted).To(BeTrue())
	g.Expect(a.Decide(subscriber(2, "domain-b"), nil).Admitted).To(BeTrue())
	g.Expect(a.Decide(subscriber(3, "domain-a"), nil).Admitted).To(BeTrue())
	verdict := a.Decide(subscriber(4, "domain-a"), nil)
	g.Expect(verdict.Admitted).To(BeFalse())
	g.Expect(verdict.Redirect).To(ConsistOf("10.0.0.1:1", "10.0.0.3:1"))
}

// TestLostRelayKeepsNobodyFromBeingServed guards against a relay that lost power: its
// connection to control looks open, and routers would be sent to it for ever.
func TestLostRelayKeepsNobodyFromBeingServed(t *testing.T) {
	g := NewWithT(t)
	a := relay.NewAdmission(relay.Limits{PerDomain: 2, Max: 64})
	a.Decide(subscriber(1, "domain-a"), nil)
	a.Decide(subscriber(2, "domain-a"), nil)
	g.Expect(a.Decide(subscriber(3, "domain-a"), []string{"10.0.0.1:1"}).Admitted).To(BeTrue())
	g.Expect(a.Len()).To(Equal(3))
}

func TestRestartedRouterReplacesItsSubscription(t *testing.T) {
	g := NewWithT(t)
	a := relay.NewAdmission(relay.Limits{PerDomain: 1, Max: 64})
	first := a.Decide(subscriber(1, "domain-a"), nil)
	second := a.Decide(subscriber(1, "domain-a"), nil)
	g.Expect(second.Admitted).To(BeTrue())
	a.Remove(first.ID)
	g.Expect(a.Len()).To(Equal(1), "the end of the replaced stream removes nothing")
}

func TestRoutersThatDoNotRelayAreNotRedirectedTo(t *testing.T) {
	g := NewWithT(t)
	a := relay.NewAdmission(relay.Limits{Unconditional: 1, Max: 1})
	plain := subscriber(1, "domain-a")
	plain.Address = ""
	g.Expect(a.Decide(plain, nil).Admitted).To(BeTrue())
	verdict := a.Decide(subscriber(2, "domain-a"), nil)
	g.Expect(verdict.Admitted).To(BeFalse())
	g.Expect(verdict.Redirect).To(BeEmpty())
}

func TestPathExcludesLoopsAndBoundsDepth(t *testing.T) {
	g := NewWithT(t)
	g.Expect(relay.Path{"control", "a"}.CanAdmit("b")).To(BeTrue())
	g.Expect(relay.Path{"control", "a"}.CanAdmit("a")).To(BeFalse(), "a would follow itself")
	g.Expect(relay.Path{"control", "a", "b"}.CanAdmit("a")).To(BeFalse(), "a relays to b")
	g.Expect(relay.Path{"control", "a", "b"}.CanAdmit("c")).To(BeTrue())
	g.Expect(relay.Path{"control", "a", "b", "c"}.CanAdmit("d")).To(BeFalse(), "too deep")
	g.Expect(relay.Path{"control", "a", "b", "c"}.CanKeep("d")).To(BeTrue(), "c has subscribed with its followers")
	g.Expect(relay.Path{"control", "a", "b", "c", "d", "e"}.CanKeep("f")).To(BeFalse(), "too deep")
	g.Expect(relay.Path{"control", "a"}.CanKeep("a")).To(BeFalse())
}

func TestSelectorTriesEachRelayBeforeControl(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := relay.NewSelector("router", []string{"control"})
	s.Redirect([]string{"a", "b"})
	first, second := s.Next(now), s.Next(now)
	g.Expect(first.IsRelay && second.IsRelay).To(BeTrue())
	g.Expect(first).NotTo(Equal(second))
	g.Expect(s.Next(now)).To(Equal(relay.Source{Address: "control"}))
}

func TestSelectorLeavesFailedRelayForAnother(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := relay.NewSelector("router", []string{"control"})
	s.Redirect([]string{"a", "b"})
	first := s.Next(now)
	s.Followed(first)
	s.Failed(first, now)
	second := s.Next(now)
	g.Expect(second.IsRelay).To(BeTrue())
	g.Expect(second).NotTo(Equal(first))
	g.Expect(s.FailedRelays(now)).To(ConsistOf(first.Address))
	g.Expect(s.FailedRelays(now.Add(5 * time.Second))).To(BeEmpty())
}

// TestRelayThatRefusesAgainCountsAsFailed guards against a router that waits for ever for
// relays that are alive but cannot reach control, which the router can.
func TestRelayThatRefusesAgainCountsAsFailed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := relay.NewSelector("router", []string{"control"})
	s.Redirect([]string{"a"})
	a := s.Next(now)
	s.Refused(a, now)
	g.Expect(s.FailedRelays(now)).To(BeEmpty(), "relays of a fleet that starts have no table yet")
	now = now.Add(2 * time.Second)
	s.Redirect([]string{"a"})
	s.Refused(s.Next(now), now)
	g.Expect(s.FailedRelays(now)).To(ConsistOf("a"))
}

func TestSelectorTakesControlReplicasInTurn(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := relay.NewSelector("router", []string{"c1", "c2"})
	first := s.Next(now)
	g.Expect(first.Address).To(Equal(s.Preferred()))
	g.Expect(s.Failed(first, now)).To(BeFalse())
	second := s.Next(now)
	g.Expect(second).NotTo(Equal(first))
	g.Expect(s.Failed(second, now)).To(BeTrue(), "all control replicas have failed")
	g.Expect(s.Alternatives(first, now)).To(ConsistOf(second))
}
