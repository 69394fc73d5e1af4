package slotshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// TestNamingIsStableAndConverges guards against a coordinator that changes while it reports, one
// that keeps its name after it ended, and two that are named at the same time for good.
func TestNamingIsStableAndConverges(t *testing.T) {
	g := NewWithT(t)
	var a, b slotshare.Naming
	g.Expect(a.Elect(at(0))).To(BeFalse(), "no router")
	a.Offer("router-1", at(0))
	b.Offer("router-2", at(0))
	g.Expect(a.Elect(at(0))).To(BeTrue())
	g.Expect(b.Elect(at(0))).To(BeTrue())
	nameA, atA := a.Name()
	nameB, atB := b.Name()
	g.Expect(a.Merge(nameB, atB)).To(BeFalse(), "router-1 comes first")
	g.Expect(b.Merge(nameA, atA)).To(BeTrue())
	for ms := 700; ms < 10_000; ms += 700 {
		a.Offer("router-1", at(ms))
		a.Offer("router-0", at(ms))
		b.Offer("router-2", at(ms))
		name, reported := a.Name()
		g.Expect(b.Merge(name, reported)).To(BeFalse())
		g.Expect(a.Elect(at(ms))).To(BeFalse())
		g.Expect(b.Elect(at(ms))).To(BeFalse())
	}
	b.Offer("router-2", at(12_800))
	g.Expect(b.Elect(at(12_900))).To(BeTrue(), "router-1 has ended")
	next, reported := b.Name()
	g.Expect(next.Address).To(Equal("router-2"))
	g.Expect(a.Merge(next, reported)).To(BeTrue())
	g.Expect(a.Merge(nameA, at(12_950))).To(BeFalse(), "a message of before")

	var restarted slotshare.Naming
	later := at(13_000).Add(time.Hour)
	restarted.Offer("router-3", later)
	g.Expect(restarted.Elect(later)).To(BeTrue())
	name, _ := restarted.Name()
	g.Expect(a.Merge(name, later)).To(BeTrue(), "a name of replicas that lost all names")
}
