package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
)

var start = time.Now()

func server(id string, born int64, sequence uint64, state registry.State) registry.Server {
	return registry.Server{ID: id, StartedMS: born, Sequence: sequence, Pool: "engines", Address: "10.0.0.1:80", Slots: 4, State: state}
}

func stateOf(g *WithT, t *registry.Table, id string) registry.State {
	e, ok := t.Get(id)
	g.Expect(ok).To(BeTrue())
	return e.State
}

func TestALateAnnouncementChangesNothing(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	g.Expect(table.Merge(server("a", 100, 5, registry.StateDraining), start)).To(BeTrue())
	g.Expect(table.Merge(server("a", 100, 4, registry.StateReady), start)).To(BeFalse())
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateDraining))
}

func TestADepartedIncarnationStaysGone(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(server("a", 100, 5, registry.StateReady), start)
	g.Expect(table.Withdraw("a", start)).To(BeTrue())
	g.Expect(table.Merge(server("a", 100, 9, registry.StateReady), start)).To(BeFalse())
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateGone))
	g.Expect(table.Merge(server("a", 200, 1, registry.StateReady), start)).To(BeTrue(), "a new start under the same ID")
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateReady))
}

func TestANewerServerAtTheAddressEndsTheOlderOne(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(server("old", 100, 5, registry.StateReady), start)
	table.Merge(server("new", 200, 1, registry.StateReady), start)
	g.Expect(stateOf(g, table, "old")).To(Equal(registry.StateGone))
	g.Expect(table.Merge(server("old", 100, 6, registry.StateReady), start)).To(BeFalse(), "a delayed announcement")
	g.Expect(stateOf(g, table, "new")).To(Equal(registry.StateReady))
}

func TestSilenceIsNewsOnceAndEndsWithAnAnnouncement(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	first := server("a", 100, 1, registry.StateReady)
	table.Merge(first, start)
	g.Expect(table.Expire(start.Add(registry.SilentAfter / 2))).To(BeFalse())
	late := start.Add(registry.SilentAfter + time.Second)
	g.Expect(table.Expire(late)).To(BeTrue())
	g.Expect(table.Expire(late)).To(BeFalse())
	before := table.Revision()
	g.Expect(table.Confirm(first.Hash(), late, late)).To(BeTrue(), "another replica has heard it")
	g.Expect(table.Since(before)).To(HaveLen(1))
	g.Expect(table.Since(before)[0].Silent).To(BeFalse())
	g.Expect(table.Confirm(12345, late, late)).To(BeFalse(), "an incarnation that is not known")
}

func TestSinceReturnsWhatChanged(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(server("a", 100, 1, registry.StateReady), start)
	seen := table.Revision()
	g.Expect(table.Merge(server("a", 100, 2, registry.StateReady), start)).To(BeFalse(), "a sign of life is no news")
	g.Expect(table.Since(seen)).To(BeEmpty())
	table.Merge(server("a", 100, 3, registry.StateDraining), start)
	g.Expect(table.Since(seen)).To(HaveLen(1))
}
