package registry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
)

// startedAt returns a server that started at a time.
func startedAt(at time.Time) registry.Server {
	return server("a", at.UnixMilli(), 1, registry.StateReady)
}

// TestWithdrawalOfUnknownServerIsRecorded guards against a withdrawal that is confirmed and not
// recorded, and against a delayed announcement that revives the server.
func TestWithdrawalOfUnknownServerIsRecorded(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	known, recorded := table.Withdraw("a", start)
	g.Expect([]bool{known, recorded}).To(Equal([]bool{false, true}))
	delayed := startedAt(start.Add(-time.Minute))
	g.Expect(table.Merge(delayed, start.Add(5*time.Second))).To(BeFalse(), "a delayed announcement")
	g.Expect(table.MergeRecord(registry.Entry{Server: delayed, LastAnnounced: start.Add(-time.Second)})).To(BeFalse(), "the record of another replica")
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateGone))
	g.Expect(table.Merge(startedAt(start.Add(time.Second)), start.Add(2*time.Second))).To(BeTrue(), "a later incarnation")
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateReady))
	g.Expect(table.MergeRecord(withdrawal("a", start))).To(BeFalse(), "the withdrawal of the earlier one, from another replica")
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateReady))
}

func withdrawal(id string, at time.Time) registry.Entry {
	return registry.Entry{Server: registry.Server{ID: id, State: registry.StateGone}, LastAnnounced: at, Withdrawn: true}
}

// TestWithdrawalCoversAnIncarnationThatAnotherReplicaKnows guards against a withdrawal that is dropped
// where the server is known, also if only an earlier incarnation is.
func TestWithdrawalCoversAnIncarnationThatAnotherReplicaKnows(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(startedAt(start.Add(-time.Minute)), start.Add(-time.Second))
	g.Expect(table.MergeRecord(withdrawal("a", start))).To(BeTrue())
	g.Expect(table.MergeRecord(withdrawal("a", start.Add(300*time.Millisecond)))).To(BeFalse(), "the same one, from another replica")
	e, _ := table.Get("a")
	g.Expect(e.State).To(Equal(registry.StateGone))
	g.Expect(e.Withdrawn).To(BeTrue(), "a router may have a later incarnation")
	g.Expect(table.Merge(startedAt(start.Add(-time.Second)), start.Add(time.Second))).To(BeFalse(), "that one is covered")
	g.Expect(table.Merge(startedAt(start.Add(time.Second)), start.Add(2*time.Second))).To(BeTrue())
}

// TestSteppedClocksReviveNoWithdrawnServer guards against a clock that is set back on the host of the
// server or of the replica.
func TestSteppedClocksReviveNoWithdrawnServer(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Withdraw("a", start)
	for _, step := range []time.Duration{-3 * time.Second, 0, 3 * time.Second} {
		g.Expect(table.Merge(startedAt(start.Add(step-time.Minute)), start.Add(time.Second))).To(BeFalse(), "step of %v", step)
	}
	g.Expect(table.Merge(startedAt(start.Add(time.Minute)), start.Add(-time.Second))).To(BeFalse(), "announced before the withdrawal")
}

// TestUnknownWithdrawalsAreBounded guards against withdrawals of servers that never were: they take
// bounded memory, displace no other record and expire.
func TestUnknownWithdrawalsAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(server("real", 100, 1, registry.StateReady), start)
	for i := range registry.MaxWithdrawn {
		_, recorded := table.Withdraw(fmt.Sprint("i-", i), start)
		g.Expect(recorded).To(BeTrue())
	}
	_, recorded := table.Withdraw("one more", start)
	g.Expect(recorded).To(BeFalse())
	g.Expect(table.Len()).To(Equal(registry.MaxWithdrawn + 1))
	known, recorded := table.Withdraw("real", start)
	g.Expect(known && recorded).To(BeTrue())
	table.Expire(start.Add(registry.EntryRetention + time.Second))
	_, recorded = table.Withdraw("one more", start)
	g.Expect(recorded).To(BeTrue())
}

// TestRouterAppliesWithdrawal checks what a router does with a withdrawal of which control knows only
// the ID.
func TestRouterAppliesWithdrawal(t *testing.T) {
	g := NewWithT(t)
	known := registry.Entry{Server: startedAt(start.Add(-time.Minute)), LastAnnounced: start.Add(-time.Second)}
	applied, isNews := withdrawal("a", start).ApplyTo(known)
	g.Expect(isNews).To(BeTrue())
	g.Expect(applied.State).To(Equal(registry.StateGone))
	g.Expect(applied.Address).To(Equal(known.Address))
	g.Expect(applied.CoversAnnounced(&known.Server, start.Add(time.Second))).To(BeTrue(), "the same incarnation")
	later := startedAt(start.Add(time.Second))
	g.Expect(applied.CoversAnnounced(&later, start.Add(2*time.Second))).To(BeFalse())
	_, isNews = withdrawal("a", start).ApplyTo(registry.Entry{Server: later, LastAnnounced: start.Add(2 * time.Second)})
	g.Expect(isNews).To(BeFalse())
}

// TestSecondWithdrawalOfUnknownServerIsNews guards against the withdrawal of a later incarnation that is
// taken for a repeated call.
func TestSecondWithdrawalOfUnknownServerIsNews(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Withdraw("a", start)
	before := table.Revision()
	table.Withdraw("a", start.Add(500*time.Millisecond))
	g.Expect(table.Revision()).To(Equal(before), "a repeated call")
	table.Withdraw("a", start.Add(20*time.Second))
	g.Expect(table.Revision()).To(BeNumerically(">", before))
	g.Expect(table.Merge(startedAt(start.Add(10*time.Second)), start.Add(21*time.Second))).To(BeFalse())
}
