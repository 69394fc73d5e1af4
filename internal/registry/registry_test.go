package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
)

var start = time.Now()

func server(id string, startedMS int64, sequence uint64, state registry.State) registry.Server {
	return registry.Server{ID: id, StartedMS: startedMS, Sequence: sequence, Pool: "engines", Address: "10.0.0.1:80", Slots: 4, State: state}
}

func stateOf(g *WithT, t *registry.Table, id string) registry.State {
	e, ok := t.Get(id)
	g.Expect(ok).To(BeTrue())
	return e.State
}

// TestLateAnnouncementIsIgnored guards against a reordered announcement that returns a
// draining server to the ready state.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	g.Expect(table.Merge(server("a", 100, 5, registry.StateDraining), start)).To(BeTrue())
	g.Expect(table.Merge(server("a", 100, 4, registry.StateReady), start)).To(BeFalse())
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateDraining))
}

// TestGoneIncarnationIsNotRevived guards against a delayed announcement that revives an
// incarnation after its withdrawal. A new incarnation with the same ID is accepted.
func TestGoneIncarnationIsNotRevived(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(server("a", 100, 5, registry.StateReady), start)
	known, recorded := table.Withdraw("a", start)
	g.Expect(known && recorded).To(BeTrue())
	g.Expect(table.Merge(server("a", 100, 9, registry.StateReady), start)).To(BeFalse())
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateGone))
	g.Expect(table.Merge(server("a", 200, 1, registry.StateReady), start)).To(BeTrue(), "a new incarnation with the same ID")
	g.Expect(stateOf(g, table, "a")).To(Equal(registry.StateReady))
}

// TestNewerServerAtSameAddressReplacesOlderOne guards against requests to a server that
// has died, after another one has started at its address, and against a delayed
// announcement of the dead server.
func TestNewerServerAtSameAddressReplacesOlderOne(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(server("old", 100, 5, registry.StateReady), start)
	table.Merge(server("new", 200, 1, registry.StateReady), start)
	g.Expect(stateOf(g, table, "old")).To(Equal(registry.StateGone))
	g.Expect(table.Merge(server("old", 100, 6, registry.StateReady), start)).To(BeFalse(), "a delayed announcement")
	g.Expect(stateOf(g, table, "new")).To(Equal(registry.StateReady))
}

// TestSilenceIsReportedOnceAndEndsOnConfirmation checks that Expire reports a silent
// server as a change only once, and that Confirm of another replica's announcement ends
// the silence.
func TestSilenceIsReportedOnceAndEndsOnConfirmation(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	first := server("a", 100, 1, registry.StateReady)
	table.Merge(first, start)
	g.Expect(table.Expire(start.Add(registry.SilentAfter / 2))).To(BeFalse())
	silentAt := start.Add(registry.SilentAfter + time.Second)
	g.Expect(table.Expire(silentAt)).To(BeTrue())
	g.Expect(table.Expire(silentAt)).To(BeFalse())
	revision := table.Revision()
	g.Expect(table.Confirm(first.Hash(), silentAt, silentAt)).To(BeTrue(), "another replica has received an announcement")
	g.Expect(table.Since(revision)).To(HaveLen(1))
	g.Expect(table.Since(revision)[0].Silent).To(BeFalse())
	g.Expect(table.Confirm(12345, silentAt, silentAt)).To(BeFalse(), "an incarnation that is not in the table")
}

// TestSinceReturnsOnlyChangedEntries guards against records being sent to routers for
// announcements that change nothing for them.
func TestSinceReturnsOnlyChangedEntries(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	table.Merge(server("a", 100, 1, registry.StateReady), start)
	revision := table.Revision()
	g.Expect(table.Merge(server("a", 100, 2, registry.StateReady), start)).To(BeFalse(), "a heartbeat changes nothing for routers")
	g.Expect(table.Since(revision)).To(BeEmpty())
	table.Merge(server("a", 100, 3, registry.StateDraining), start)
	g.Expect(table.Since(revision)).To(HaveLen(1))
}

// TestWarmupIsAChangeOnlyIfItEndsLater guards against warm-ups that routers are not told of, and against
// a change with each announcement during a warm-up.
func TestWarmupIsAChangeOnlyIfItEndsLater(t *testing.T) {
	g := NewWithT(t)
	table := registry.New()
	announce := func(after, remaining time.Duration) bool {
		s := server("a", 100, uint64(after/time.Millisecond)+1, registry.StateReady)
		s.WarmupLeft = remaining
		return table.Merge(s, start.Add(after))
	}
	announce(0, 0)
	g.Expect(announce(time.Second, 3*time.Second)).To(BeTrue(), "it begins to warm up")
	g.Expect(announce(2*time.Second, 2400*time.Millisecond)).To(BeFalse(), "the call took 0.4 s")
	g.Expect(announce(2200*time.Millisecond, 2600*time.Millisecond)).To(BeTrue(), "a later end than routers know")
	g.Expect(announce(3*time.Second, 0)).To(BeFalse(), "an earlier end")
	e, _ := table.Get("a")
	g.Expect(e.WarmupUntil).To(Equal(start.Add(4800 * time.Millisecond)))
	copied := registry.New()
	copied.Replace(e)
	before := copied.Revision()
	copied.Replace(e)
	g.Expect(copied.Revision()).To(Equal(before))
	e.WarmupUntil = e.WarmupUntil.Add(time.Second)
	copied.Replace(e)
	g.Expect(copied.Revision()).To(BeNumerically(">", before))
}

// TestServerThatRepeatsItsRemainingWarmupCausesFewChanges guards against a change for all routers with
// each announcement of a server that always states the same remaining time, against routers that then
// take it for warm, and against ends far later than what a server states.
func TestServerThatRepeatsItsRemainingWarmupCausesFewChanges(t *testing.T) {
	g := NewWithT(t)
	const interval = 1200 * time.Millisecond
	for _, remaining := range []time.Duration{time.Second, 3 * time.Second, 20 * time.Second, time.Minute} {
		table, replica := registry.New(), registry.New()
		announce := func(n int, remaining time.Duration) bool {
			s := server("a", 100, uint64(n)+1, registry.StateReady)
			s.WarmupLeft = remaining
			return table.Merge(s, start.Add(time.Duration(n)*interval))
		}
		announce(0, 0)
		changes, replicaChanges := 0, 0
		for n := 1; n <= 100; n++ {
			at := start.Add(time.Duration(n) * interval)
			if before, _ := table.Get("a"); n > 1 && remaining >= 3*time.Second {
				g.Expect(before.WarmupUntil.Sub(at)).To(BeNumerically(">", 600*time.Millisecond), "routers learn of a later end in time")
			}
			if announce(n, remaining) {
				changes++
			}
			e, _ := table.Get("a")
			g.Expect(e.WarmupUntil).To(BeTemporally(">=", at.Add(min(remaining, time.Second))))
			g.Expect(e.WarmupUntil.Sub(at)).To(BeNumerically("<=", max(remaining, min(4*max(remaining, 3*time.Second), 30*time.Second))))
			if replica.MergeRecord(e) && n > 1 {
				replicaChanges++
			}
			copied, _ := replica.Get("a")
			g.Expect(copied.WarmupUntil).To(Equal(e.WarmupUntil))
		}
		t.Logf("%v: %d changes", remaining, changes)
		g.Expect(changes).To(BeNumerically("<=", 18))
		g.Expect(replicaChanges).To(Equal(changes - 1))

		last, _ := table.Get("a")
		ended := int(last.WarmupUntil.Sub(start)/interval) + 1
		g.Expect(announce(ended, 0)).To(BeFalse())
		g.Expect(announce(ended+1, remaining)).To(BeTrue(), "a new warm-up")
		e, _ := table.Get("a")
		g.Expect(e.WarmupUntil).To(Equal(start.Add(time.Duration(ended+1) * interval).Add(remaining)))
	}
}
