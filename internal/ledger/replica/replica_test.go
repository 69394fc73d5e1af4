package replica

import (
	"context"
	"encoding/binary"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/ledger"
)

// openReplica opens a replica that writes a snapshot after each 4 KiB of log.
func openReplica(g Gomega, dir string) *Replica {
	r, err := Open(dir, zerolog.Nop(), Options{Retention: time.Hour, CompactBytes: 4 << 10})
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// startReplica runs a replica and returns a function that stops it.
func startReplica(g Gomega, r *Replica) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	return func() {
		cancel()
		g.Expect(<-done).To(Succeed())
	}
}

// formGroup forms a group with the replica as its only member.
func formGroup(state *ledger.State) []ledger.Entry {
	_, prepared := state.PrepareFormation(ledger.Formation{Generation: 1, List: ledger.MemberList{Members: []string{"one"}}})
	_, committed := state.CommitFormation(1)
	return append(prepared, committed...)
}

// claimKey returns an update that claims the key n.
func claimKey(n int) func(*ledger.State) []ledger.Entry {
	request := ledger.ClaimRequest{View: ledger.ViewFingerprint(0, []string{"one"}), Attempt: ledger.AttemptID{1}}
	binary.BigEndian.PutUint64(request.Key[:], uint64(n))
	return func(state *ledger.State) []ledger.Entry {
		_, entries := state.Claim(time.Now(), request)
		return entries
	}
}

// TestClaimsSurviveSnapshotsAndRestarts guards against claims that are lost when a
// snapshot is written during concurrent updates, or when the replica restarts.
func TestClaimsSurviveSnapshotsAndRestarts(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	const claims, rounds = 200, 3
	for round := range rounds {
		r := openReplica(g, dir)
		stop := startReplica(g, r)
		g.Expect(r.Update(context.Background(), formGroup)).To(Succeed())
		var updates sync.WaitGroup
		errs := make([]error, claims)
		for i := range claims {
			updates.Go(func() { errs[i] = r.Update(context.Background(), claimKey(round*claims+i)) })
		}
		updates.Wait()
		g.Expect(errs).To(HaveEach(BeNil()))
		stop()
	}
	snapshots, err := filepath.Glob(filepath.Join(dir, "*.snapshot"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshots).To(HaveLen(1))
	meta, records := openReplica(g, dir).Meta()
	g.Expect(meta.Phase).To(Equal(ledger.PhaseActive))
	g.Expect(records).To(Equal(claims * rounds))
}

// TestUpdateWaitsForVisibleChangesToBeDurable guards against a reply that depends on
// a change that a crash can undo. Run is not running, so nothing becomes durable: each
// update that sees the claim must wait, even a repeated claim or a read that changes
// nothing.
func TestUpdateWaitsForVisibleChangesToBeDurable(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	r := openReplica(g, dir)
	stop := startReplica(g, r)
	g.Expect(r.Update(context.Background(), formGroup)).To(Succeed())
	stop()
	r = openReplica(g, dir)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	read := func(*ledger.State) []ledger.Entry { return nil }
	g.Expect(r.Update(canceled, read)).To(Succeed(), "all entries are durable")
	g.Expect(r.Update(canceled, claimKey(1))).To(MatchError(context.Canceled))
	g.Expect(r.Update(canceled, claimKey(1))).To(MatchError(context.Canceled), "the repeated claim")
	g.Expect(r.Update(canceled, read)).To(MatchError(context.Canceled), "a read of the claimed key")
}

// TestStoppedReplicaRejectsUpdates guards against an update that succeeds or blocks
// although nothing makes its changes durable any more.
func TestStoppedReplicaRejectsUpdates(t *testing.T) {
	g := NewWithT(t)
	r := openReplica(g, t.TempDir())
	startReplica(g, r)()
	g.Expect(r.Update(context.Background(), formGroup)).NotTo(Succeed())
}
