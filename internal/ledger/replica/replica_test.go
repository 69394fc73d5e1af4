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

func open(g Gomega, dir string) *Replica {
	r, err := Open(dir, zerolog.Nop(), Options{Retention: time.Hour, CompactBytes: 4 << 10})
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// start runs a replica and returns a function that stops it.
func start(g Gomega, r *Replica) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	return func() {
		cancel()
		g.Expect(<-ended).To(Succeed())
	}
}

func form(state *ledger.State) []ledger.Change {
	_, prepared := state.PrepareFormation(ledger.Formation{Generation: 1, List: ledger.MemberList{Members: []string{"one"}}})
	_, committed := state.CommitFormation(1)
	return append(prepared, committed...)
}

func claimKey(n int) func(*ledger.State) []ledger.Change {
	request := ledger.ClaimRequest{View: ledger.View(0, []string{"one"}), Attempt: ledger.AttemptID{1}}
	binary.BigEndian.PutUint64(request.Key[:], uint64(n))
	return func(state *ledger.State) []ledger.Change {
		_, changes := state.Claim(time.Now(), request)
		return changes
	}
}

func TestClaimsOutliveSnapshotsAndRestarts(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	const claims, rounds = 200, 3
	for round := range rounds {
		r := open(g, dir)
		stop := start(g, r)
		g.Expect(r.Update(context.Background(), form)).To(Succeed())
		var group sync.WaitGroup
		errs := make([]error, claims)
		for i := range claims {
			group.Go(func() { errs[i] = r.Update(context.Background(), claimKey(round*claims+i)) })
		}
		group.Wait()
		g.Expect(errs).To(HaveEach(BeNil()))
		stop()
	}
	snapshots, err := filepath.Glob(filepath.Join(dir, "*.snapshot"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshots).To(HaveLen(1))
	meta, records := open(g, dir).Meta()
	g.Expect(meta.Phase).To(Equal(ledger.PhaseActive))
	g.Expect(records).To(Equal(claims * rounds))
}

// TestAnswersWaitForWhatTheyHaveSeen uses a replica that never writes: every
// update then has to wait, also a repeated claim that changes nothing.
func TestAnswersWaitForWhatTheyHaveSeen(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	r := open(g, dir)
	stop := start(g, r)
	g.Expect(r.Update(context.Background(), form)).To(Succeed())
	stop()
	r = open(g, dir)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	read := func(*ledger.State) []ledger.Change { return nil }
	g.Expect(r.Update(ended, read)).To(Succeed(), "everything is on disk")
	g.Expect(r.Update(ended, claimKey(1))).To(MatchError(context.Canceled))
	g.Expect(r.Update(ended, claimKey(1))).To(MatchError(context.Canceled), "the repeated claim")
	g.Expect(r.Update(ended, read)).To(MatchError(context.Canceled), "a read of the claim")
}

func TestStoppedReplicaAnswersNothing(t *testing.T) {
	g := NewWithT(t)
	r := open(g, t.TempDir())
	start(g, r)()
	g.Expect(r.Update(context.Background(), form)).NotTo(Succeed())
}
