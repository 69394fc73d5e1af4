package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

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

// startReplaceableCluster starts a ledger replica in each of three failure
// domains. It prepares, but does not start, the spare replicas "l-4" and "l-5" in
// two further domains; the settings of the first three do not name them.
func startReplaceableCluster(t *testing.T) *testcluster.Cluster {
	t.Helper()
	g := NewWithT(t)
	spec := testcluster.Spec{}
	for i := range 5 {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("l-%d", i+1), FailureDomain: fmt.Sprintf("pwani-%c", 'a'+i),
			Roles: []settings.Role{settings.RoleLedger}, Late: i > 2,
		})
	}
	cluster, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	for _, name := range []string{"l-1", "l-2", "l-3"} {
		g.Expect(cluster.Daemons[name].Start()).To(Succeed())
	}
	g.Expect(eventuallyGranted(initialClaimer(cluster))).To(Succeed())
	return cluster
}

// initialClaimer returns a claimer whose settings name only the first three replicas.
func initialClaimer(cluster *testcluster.Cluster) *quorum.Claimer {
	return quorum.New(quorum.MembersFrom(&cluster.Daemons["l-1"].Settings))
}

// startSpare starts a spare replica and waits until it is ready.
func startSpare(g Gomega, cluster *testcluster.Cluster, name string) {
	g.Expect(cluster.Daemons[name].Start()).To(Succeed())
	g.Expect(cluster.Daemons[name].WaitReady()).To(Succeed())
}

// runReplace runs the ledger-replace command with the settings of the new
// instance. It returns the command's output and exit code.
func runReplace(t *testing.T, cluster *testcluster.Cluster, old, replacement string) (string, int) {
	return testcluster.RunCommand("ledger-replace", "-settings", settingsFile(cluster, replacement), "-group", "fleet", "-replace", old, "-by", replacement)
}

// Two members of a group lose their disks one after the other, and a third one
// stops after both are replaced. Claims granted before must survive in the new
// members' copies, and the group must stay available.
func TestMemberLostForGoodIsReplacedAndASecondOneLost(t *testing.T) {
	g := NewWithT(t)
	cluster := startReplaceableCluster(t)
	c := initialClaimer(cluster)
	_, decision := claim(c, customerKey("kept"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	g.Expect(cluster.Daemons["l-3"].Kill()).To(Succeed())
	g.Expect(cluster.RemoveDataDir("l-3")).To(Succeed())
	startSpare(g, cluster, "l-4")

	out, code := runReplace(t, cluster, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), out)
	out, code = runReplace(t, cluster, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), "repeated command: %s", out)
	g.Expect(cluster.Daemons["l-1"].Kill()).To(Succeed())
	g.Expect(cluster.RemoveDataDir("l-1")).To(Succeed())

	g.Expect(claimHeldKey(c, customerKey("kept")).Verdict).To(Equal(ledger.VerdictHeld), "the new member has copied the claim")
	g.Expect(testcluster.Eventually(func() error { return claimGranted(c, customerKey("next")) })).To(Succeed(), "the claimer has received the new member list")
	startSpare(g, cluster, "l-5")
	out, code = runReplace(t, cluster, "l-1", "l-5")
	g.Expect(code).To(Equal(api.ExitOK), out)
	g.Expect(cluster.Daemons["l-2"].Kill()).To(Succeed())
	for _, key := range []string{"kept", "next"} {
		g.Expect(claimHeldKey(c, customerKey(key)).Verdict).To(Equal(ledger.VerdictHeld), "none of the first members is left")
	}
	g.Expect(eventuallyGranted(c)).To(Succeed())
}

// TestReplaceOutlastsPausedMember guards against a command that gives up because a member missed one
// round of its requests.
func TestReplaceOutlastsPausedMember(t *testing.T) {
	g := NewWithT(t)
	cluster := startReplaceableCluster(t)
	g.Expect(cluster.Daemons["l-3"].Kill()).To(Succeed())
	g.Expect(cluster.RemoveDataDir("l-3")).To(Succeed())
	startSpare(g, cluster, "l-4")
	g.Expect(cluster.Daemons["l-2"].Suspend()).To(Succeed())
	time.AfterFunc(1500*time.Millisecond, func() { _ = cluster.Daemons["l-2"].Resume() })
	out, code := runReplace(t, cluster, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), out)
}

// ledger-replace must refuse an unreachable new member, an unknown old one, a new
// one that is a member already, a group without a majority, and a former member
// that returns with its old data.
func TestReplaceOfInvalidMembersIsRefused(t *testing.T) {
	g := NewWithT(t)
	cluster := startReplaceableCluster(t)
	out, code := runReplace(t, cluster, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitRefused), "the new member is not started: %s", out)
	g.Expect(out).To(ContainSubstring("ledger_member_invalid"))
	startSpare(g, cluster, "l-4")
	for _, pair := range [][]string{{"l-9", "l-4"}, {"l-3", "l-2"}} {
		out, code = testcluster.RunCommand("ledger-replace", "-settings", settingsFile(cluster, "l-4"), "-replace", pair[0], "-by", pair[1])
		g.Expect(code).To(Equal(api.ExitRefused), out)
		g.Expect(out).To(ContainSubstring("ledger_member_invalid"))
	}
	g.Expect(cluster.Daemons["l-2"].Kill()).To(Succeed())
	g.Expect(cluster.Daemons["l-3"].Kill()).To(Succeed())
	out, code = runReplace(t, cluster, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitUnreachable), out)
	g.Expect(out).To(ContainSubstring("ledger_no_majority"))
	g.Expect(cluster.Daemons["l-2"].Start()).To(Succeed())
	g.Expect(cluster.Daemons["l-2"].WaitReady()).To(Succeed())
	out, code = runReplace(t, cluster, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), out)
	out, code = runReplace(t, cluster, "l-2", "l-3")
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("ledger_member_invalid"), "l-3 is down")
	g.Expect(cluster.Daemons["l-3"].Start()).To(Succeed())
	g.Expect(cluster.Daemons["l-3"].WaitReady()).To(Succeed())
	out, code = runReplace(t, cluster, "l-2", "l-3")
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("not empty"), "the former member still has its old data")
}

// acceptChangeAtOneMember runs a change until exactly one member has accepted the
// new list, like a command that is killed at this point.
func acceptChangeAtOneMember(g Gomega, cluster *testcluster.Cluster, member, old, replacement string) {
	first := ledger.MemberList{Members: []string{"l-1", "l-2", "l-3"}, Addresses: make([]string, 3)}
	next := first.Replace(old, replacement, cluster.Daemons[replacement].Settings.Listen.Peers)
	request := &ledgerpb.ChangeRequest{Group: string(ledger.FleetGroup), Epoch: ledger.ChangeEpoch(1000, rand.New(rand.NewPCG(1, 1)))}
	for _, name := range []string{"l-1", "l-2"} {
		g.Expect(sendChange(g, cluster, name, request)).To(BeTrue())
	}
	request.Next = wire.FromList(&next)
	g.Expect(sendChange(g, cluster, member, request)).To(BeTrue())
}

// sendChange sends the request to one replica and reports whether it accepted.
func sendChange(g Gomega, cluster *testcluster.Cluster, name string, request *ledgerpb.ChangeRequest) bool {
	client := rpc.NewClient(cluster.Daemons[name].Settings.Listen.Peers, rpc.PurposeLedger)
	defer client.Close()
	var out *ledgerpb.ChangeResponse
	g.Expect(client.Do(context.Background(), func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = ledgerpb.NewDRPCLedgerClient(conn).Change(ctx, request)
		return err
	})).To(Succeed())
	return out.Accepted
}

// Two operators replace the same member by different instances at the same time.
// Exactly one replacement must succeed, and the group must stay available.
func TestConcurrentReplaceCommandsLetOneSucceed(t *testing.T) {
	g := NewWithT(t)
	cluster := startReplaceableCluster(t)
	startSpare(g, cluster, "l-4")
	startSpare(g, cluster, "l-5")
	replacements := []string{"l-4", "l-5"}
	codes := make([]int, len(replacements))
	outs := make([]string, len(replacements))
	var group sync.WaitGroup
	for i, replacement := range replacements {
		group.Go(func() { outs[i], codes[i] = runReplace(t, cluster, "l-3", replacement) })
	}
	group.Wait()
	t.Logf("exit codes %v", codes)
	succeeded := 0
	for i := range replacements {
		if codes[i] == api.ExitOK {
			succeeded++
			continue
		}
		g.Expect(codes[i]).To(Equal(api.ExitRefused), outs[i])
		g.Expect(outs[i]).To(Or(ContainSubstring("ledger_change_pending"), ContainSubstring("ledger_member_invalid")))
	}
	// Both commands may stop after each has seen the other's pending list. A
	// repeated command then finishes the pending change.
	for i := 0; succeeded == 0 && i < len(replacements); i++ {
		if _, code := runReplace(t, cluster, "l-3", replacements[i]); code == api.ExitOK {
			succeeded++
		}
	}
	g.Expect(succeeded).To(Equal(1), "%v", outs)
	g.Expect(eventuallyGranted(initialClaimer(cluster))).To(Succeed())
}

// A change stops after only one member has accepted the new list. A different
// replacement must be refused, and the repeated command must complete the change
// without losing a claim.
func TestInterruptedChangeIsResumed(t *testing.T) {
	g := NewWithT(t)
	cluster := startReplaceableCluster(t)
	c := initialClaimer(cluster)
	_, decision := claim(c, customerKey("kept"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
	startSpare(g, cluster, "l-4")
	acceptChangeAtOneMember(g, cluster, "l-1", "l-3", "l-4")
	g.Expect(cluster.Daemons["l-3"].Kill()).To(Succeed())
	_, decision = claim(c, customerKey("between"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable), "a member that has accepted a new list grants no claims")
	startSpare(g, cluster, "l-5")
	out, code := runReplace(t, cluster, "l-3", "l-5")
	g.Expect(code).To(Equal(api.ExitRefused), out)
	g.Expect(out).To(ContainSubstring("ledger_change_pending"))
	out, code = runReplace(t, cluster, "l-3", "l-4")
	g.Expect(code).To(Equal(api.ExitOK), out)
	g.Expect(claimHeldKey(c, customerKey("kept")).Verdict).To(Equal(ledger.VerdictHeld))
	g.Expect(eventuallyGranted(c)).To(Succeed())
}

// Two of three members lose their disks and are replaced under load. No key may
// run twice, and the history must be linearizable.
func TestNoKeyRunsTwiceWhileMembersAreReplaced(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		cluster := startReplaceableCluster(t)
		g := NewWithT(t)
		runFaultsWithClaimers(t, []ledger.Claimer{initialClaimer(cluster), initialClaimer(cluster), initialClaimer(cluster)}, seed, func(random *rand.Rand) {
			lost := []string{"l-1", "l-2", "l-3"}
			random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
			for i, replacement := range []string{"l-4", "l-5"} {
				g.Expect(cluster.Daemons[lost[i]].Kill()).To(Succeed())
				g.Expect(cluster.RemoveDataDir(lost[i])).To(Succeed())
				startSpare(g, cluster, replacement)
				out, code := runReplace(t, cluster, lost[i], replacement)
				g.Expect(code).To(Equal(api.ExitOK), out)
			}
		})
	}
}
