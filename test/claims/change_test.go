package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// changeable prepares three failure domains with a ledger replica each, and the
// late replicas "l-4" and "l-5" in a fourth and a fifth one, which the settings
// of the others do not name.
func changeable(t *testing.T) *testcluster.Cluster {
	t.Helper()
	g := NewWithT(t)
	spec := testcluster.Spec{}
	for i := range 5 {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("l-%d", i+1), FailureDomain: fmt.Sprintf("pwani-%c", 'a'+i),
			Roles: []settings.Role{settings.RoleLedger}, Late: i > 2,
		})
	}
	bed, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(bed.Close)
	for _, name := range []string{"l-1", "l-2", "l-3"} {
		g.Expect(bed.Daemons[name].Start()).To(Succeed())
	}
	g.Expect(eventuallyGranted(firstClaimer(bed))).To(Succeed())
	return bed
}

// firstClaimer returns a claimer whose settings name the first three replicas only.
func firstClaimer(bed *testcluster.Cluster) *quorum.Claimer {
	return quorum.New(quorum.MembersFrom(&bed.Daemons["l-1"].Settings))
}

// startLate starts a late replica.
func startLate(g Gomega, bed *testcluster.Cluster, name string) {
	g.Expect(bed.Daemons[name].Start()).To(Succeed())
	g.Expect(bed.Daemons[name].WaitReady()).To(Succeed())
}

// replace runs the operator's command with the settings of the new instance.
func replace(t *testing.T, bed *testcluster.Cluster, old, by string) (string, int) {
	return testcluster.RunCommand("ledger-replace", "-settings", settingsOf(bed, by), "-group", "fleet", "-replace", old, "-by", by)
}

func TestMemberLostForGoodIsReplacedAndASecondOneLost(t *testing.T) {
	g := NewWithT(t)
	bed := changeable(t)
	c := firstClaimer(bed)
	_, decision := claim(c, customerKey("kept"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	g.Expect(bed.Daemons["l-3"].Kill()).To(Succeed())
	g.Expect(bed.LoseDisk("l-3")).To(Succeed())
	startLate(g, bed, "l-4")

	out, code := replace(t, bed, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), out)
	out, code = replace(t, bed, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), "the same command again: %s", out)
	g.Expect(bed.Daemons["l-1"].Kill()).To(Succeed())
	g.Expect(bed.LoseDisk("l-1")).To(Succeed())

	g.Expect(claimHeld(c, customerKey("kept")).Verdict).To(Equal(ledger.VerdictHeld), "the new member has copied it")
	g.Expect(testcluster.Eventually(func() error { return grantedOnce(c, customerKey("next")) })).To(Succeed(), "the claimer has learned the new list")
	startLate(g, bed, "l-5")
	out, code = replace(t, bed, "l-1", "l-5")
	g.Expect(code).To(Equal(api.ExitOK), out)
	g.Expect(bed.Daemons["l-2"].Kill()).To(Succeed())
	for _, key := range []string{"kept", "next"} {
		g.Expect(claimHeld(c, customerKey(key)).Verdict).To(Equal(ledger.VerdictHeld), "none of the first members is left")
	}
	g.Expect(eventuallyGranted(c)).To(Succeed())
}

func TestReplaceRefusesWhatCannotBe(t *testing.T) {
	g := NewWithT(t)
	bed := changeable(t)
	out, code := replace(t, bed, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitRefused), "not started: %s", out)
	g.Expect(out).To(ContainSubstring("ledger_member_invalid"))
	startLate(g, bed, "l-4")
	for _, wrong := range [][]string{{"l-9", "l-4"}, {"l-3", "l-2"}} {
		out, code = testcluster.RunCommand("ledger-replace", "-settings", settingsOf(bed, "l-4"), "-replace", wrong[0], "-by", wrong[1])
		g.Expect(code).To(Equal(api.ExitRefused), out)
		g.Expect(out).To(ContainSubstring("ledger_member_invalid"))
	}
	g.Expect(bed.Daemons["l-2"].Kill()).To(Succeed())
	g.Expect(bed.Daemons["l-3"].Kill()).To(Succeed())
	out, code = replace(t, bed, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitUnreachable), out)
	g.Expect(out).To(ContainSubstring("ledger_no_majority"))
	g.Expect(bed.Daemons["l-2"].Start()).To(Succeed())
	g.Expect(bed.Daemons["l-2"].WaitReady()).To(Succeed())
	out, code = replace(t, bed, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), out)
	out, code = replace(t, bed, "l-2", "l-3")
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("ledger_member_invalid"), "l-3 is down")
	g.Expect(bed.Daemons["l-3"].Start()).To(Succeed())
	g.Expect(bed.Daemons["l-3"].WaitReady()).To(Succeed())
	out, code = replace(t, bed, "l-2", "l-3")
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("not empty"), "it comes back with what it held")
}

// acceptAtOne runs a change up to the point where only one member has accepted
// the new list, as a command does that is killed there.
func acceptAtOne(g Gomega, bed *testcluster.Cluster, at, old, by string) {
	first := ledger.MemberList{Members: []string{"l-1", "l-2", "l-3"}, Addresses: make([]string, 3)}
	next := first.Replace(old, by, bed.Daemons[by].Settings.Listen.Peers)
	request := &ledgerpb.ChangeRequest{Group: string(ledger.FleetGroup), Epoch: ledger.ChangeEpoch(1000, rand.New(rand.NewPCG(1, 1)))}
	for _, name := range []string{"l-1", "l-2"} {
		g.Expect(change(g, bed, name, request)).To(BeTrue())
	}
	request.Next = wire.FromList(&next)
	g.Expect(change(g, bed, at, request)).To(BeTrue())
}

func change(g Gomega, bed *testcluster.Cluster, name string, request *ledgerpb.ChangeRequest) bool {
	client := rpc.NewClient(bed.Daemons[name].Settings.Listen.Peers, rpc.PurposeLedger)
	defer client.Close()
	var out *ledgerpb.ChangeResponse
	g.Expect(client.Do(context.Background(), func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = ledgerpb.NewDRPCLedgerClient(conn).Change(ctx, request)
		return err
	})).To(Succeed())
	return out.Accepted
}

// TestTwoOperatorsReplaceOneMember lets two commands race for one place.
func TestTwoOperatorsReplaceOneMember(t *testing.T) {
	g := NewWithT(t)
	bed := changeable(t)
	startLate(g, bed, "l-4")
	startLate(g, bed, "l-5")
	rivals := []string{"l-4", "l-5"}
	codes := make([]int, len(rivals))
	outs := make([]string, len(rivals))
	var group sync.WaitGroup
	for i, by := range rivals {
		group.Go(func() { outs[i], codes[i] = replace(t, bed, "l-3", by) })
	}
	group.Wait()
	t.Logf("codes %v", codes)
	won := 0
	for i := range rivals {
		if codes[i] == api.ExitOK {
			won++
			continue
		}
		g.Expect(codes[i]).To(Equal(api.ExitRefused), outs[i])
		g.Expect(outs[i]).To(Or(ContainSubstring("ledger_change_pending"), ContainSubstring("ledger_member_invalid")))
	}
	// Both may stop where each has seen the other's pending list; one command
	// again then finishes what is pending.
	for i := 0; won == 0 && i < len(rivals); i++ {
		if _, code := replace(t, bed, "l-3", rivals[i]); code == api.ExitOK {
			won++
		}
	}
	g.Expect(won).To(Equal(1), "%v", outs)
	g.Expect(eventuallyGranted(firstClaimer(bed))).To(Succeed())
}

// TestInterruptedChangeIsResumed stops a change where only one member has
// accepted the new list.
func TestInterruptedChangeIsResumed(t *testing.T) {
	g := NewWithT(t)
	bed := changeable(t)
	c := firstClaimer(bed)
	_, decision := claim(c, customerKey("kept"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	startLate(g, bed, "l-4")
	acceptAtOne(g, bed, "l-1", "l-3", "l-4")
	g.Expect(bed.Daemons["l-3"].Kill()).To(Succeed())
	_, decision = claim(c, customerKey("between"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable), "a member that has accepted grants nothing")
	startLate(g, bed, "l-5")
	out, code := replace(t, bed, "l-3", "l-5")
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("ledger_change_pending"))
	out, code = replace(t, bed, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), out)
	g.Expect(claimHeld(c, customerKey("kept")).Verdict).To(Equal(ledger.VerdictHeld))
	g.Expect(eventuallyGranted(c)).To(Succeed())
}

func TestClaimsWhileMembersAreReplaced(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		bed := changeable(t)
		g := NewWithT(t)
		underLoadOf(t, []ledger.Claimer{firstClaimer(bed), firstClaimer(bed), firstClaimer(bed)}, seed, func(random *rand.Rand) {
			lost := []string{"l-1", "l-2", "l-3"}
			random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
			for i, by := range []string{"l-4", "l-5"} {
				g.Expect(bed.Daemons[lost[i]].Kill()).To(Succeed())
				g.Expect(bed.LoseDisk(lost[i])).To(Succeed())
				startLate(g, bed, by)
				out, code := replace(t, bed, lost[i], by)
				g.Expect(code).To(Equal(api.ExitOK), out)
			}
		})
	}
}
