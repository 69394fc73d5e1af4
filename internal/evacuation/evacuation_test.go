package evacuation_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/evacuation"
)

// TestOrderProposedBeforeALaterOneHasNoEffect guards against an order that a stalled replica
// proposed, and that its caller has abandoned, but that is committed after a later order on the
// same domain was acknowledged: also if the later one changed nothing.
func TestOrderProposedBeforeALaterOneHasNoEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &evacuation.State{}
		inFlight := []evacuation.Order{}
		acknowledged := map[string]bool{}
		domains := []string{"a", "b"}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			domain := rapid.SampledFrom(domains).Draw(rt, "domain")
			order := evacuation.Order{Domain: domain, Evacuate: rapid.Bool().Draw(rt, "evacuate"), Base: s.Domains[domain].Orders}
			if rapid.Bool().Draw(rt, "stalled") {
				inFlight = append(inFlight, order)
				continue
			}
			if !s.Apply(order, evacuation.Change{}) {
				rt.Fatalf("an order on the current state was rejected: %+v", order)
			}
			acknowledged[domain] = order.Evacuate
			for _, late := range inFlight {
				if late.Domain == domain && s.Apply(late, evacuation.Change{}) {
					rt.Fatalf("%+v was applied after %+v", late, order)
				}
			}
			var want []string
			for _, name := range domains {
				if acknowledged[name] {
					want = append(want, name)
				}
			}
			if got := s.Set().Domains; fmt.Sprint(got) != fmt.Sprint(want) {
				rt.Fatalf("evacuated %v, acknowledged %v", got, want)
			}
		}
	})
}

// TestRepeatedOrderChangesNothing checks that an order that is in force already succeeds without a
// new revision or an entry in the audit trail, and that the state survives its encoding.
func TestRepeatedOrderChangesNothing(t *testing.T) {
	g := NewWithT(t)
	s := &evacuation.State{}
	at := time.Unix(1, 0).UTC()
	for base := range uint64(3) {
		g.Expect(s.Apply(evacuation.Order{Domain: "a/ä", Evacuate: true, Base: base}, evacuation.Change{Time: at, Operator: "amina", RequestID: "r"})).To(BeTrue())
		g.Expect(s.Set()).To(Equal(&evacuation.Set{Revision: 1, Domains: []string{"a/ä"}}))
	}
	g.Expect(s.Changes).To(Equal([]evacuation.Change{{Revision: 1, Time: at, Operator: "amina", RequestID: "r", Domain: "a/ä", Evacuate: true}}))
	raw, err := json.Marshal(s)
	g.Expect(err).NotTo(HaveOccurred())
	restored := &evacuation.State{}
	g.Expect(json.Unmarshal(raw, restored)).To(Succeed())
	g.Expect(restored).To(Equal(s))
}

// TestReturnedDomains checks that a set names the withdrawals after a revision, and no domain that
// was evacuated again since.
func TestReturnedDomains(t *testing.T) {
	g := NewWithT(t)
	s := &evacuation.State{}
	order := func(domain string, evacuate bool) {
		g.Expect(s.Apply(evacuation.Order{Domain: domain, Evacuate: evacuate, Base: s.Domains[domain].Orders}, evacuation.Change{})).To(BeTrue())
	}
	order("c", false)
	g.Expect(s.Set()).To(Equal(&evacuation.Set{}), "nothing was withdrawn")
	order("a", true)
	order("b", true)
	order("b", false)
	order("a", false)
	order("a", false)
	g.Expect(s.Set()).To(Equal(&evacuation.Set{Revision: 4, Returned: map[string]uint64{"a": 4, "b": 3}}))
	g.Expect(s.Set().ReturnedSince(2)).To(Equal([]string{"a", "b"}))
	g.Expect(s.Set().ReturnedSince(3)).To(Equal([]string{"a"}))
	order("a", true)
	g.Expect(s.Set().ReturnedSince(0)).To(Equal([]string{"b"}))
}

// TestAuditTrailIsBounded guards against snapshots that grow with every order.
func TestAuditTrailIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := &evacuation.State{}
	for base := range uint64(1000) {
		g.Expect(s.Apply(evacuation.Order{Domain: "a", Evacuate: base%2 == 0, Base: base}, evacuation.Change{})).To(BeTrue())
	}
	g.Expect(s.Changes).To(HaveLen(256))
	g.Expect(s.Changes[255].Revision).To(BeNumerically("==", 1000))
}
