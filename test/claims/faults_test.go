package claims

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	workers = 12
	// sharedKeys is the number of keys that the workers choose from in each round.
	sharedKeys             = 4
	linearizabilityTimeout = 30 * time.Second
	faultInterval          = 300 * time.Millisecond
)

// waitActive waits until a daemon is active in the fleet's group and in its domain's.
func waitActive(d *testcluster.Daemon) error {
	return testcluster.Eventually(func() error {
		resp, err := http.Get("http://" + d.Settings.Listen.Platform + "/metrics")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		for _, group := range []string{"fleet", "domain/" + d.Settings.FailureDomain} {
			if !strings.Contains(string(raw), fmt.Sprintf("peridotwinch_ledger_active{group=%q} 1", group)) {
				return errors.Errorf("replica %s is not active in group %s", d.Name, group)
			}
		}
		return nil
	})
}

func waitAllActive(cluster *testcluster.Cluster) error {
	for _, d := range cluster.Daemons {
		if err := waitActive(d); err != nil {
			return err
		}
	}
	return nil
}

// runFaultsUnderLoad waits until the cluster is active and runs the faults
// concurrently with claims; see runFaultsWithClaimers.
func runFaultsUnderLoad(t *testing.T, cluster *testcluster.Cluster, seed uint64, faults func(random *rand.Rand)) {
	t.Helper()
	NewWithT(t).Expect(waitAllActive(cluster)).To(Succeed())
	claimers := []ledger.Claimer{newClaimer(cluster, "pwani-a"), newClaimer(cluster, "pwani-a"), newClaimer(cluster, "pwani-a")}
	runFaultsWithClaimers(t, claimers, seed, faults)
}

// runFaultsWithClaimers runs the faults while workers claim changing keys, several
// attempts for each key. It then checks that no key ran twice, that the history is
// linearizable, and that the group still grants claims.
func runFaultsWithClaimers(t *testing.T, claimers []ledger.Claimer, seed uint64, faults func(random *rand.Rand)) {
	t.Helper()
	g := NewWithT(t)
	recorder := &recorder{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for worker := range workers {
		random := rand.New(rand.NewPCG(seed, uint64(worker)))
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("key-%d-%d", i, random.IntN(sharedKeys))
				recorder.runAttempt(claimers[random.IntN(len(claimers))], key, random.IntN(100))
			}
		})
	}
	faults(rand.New(rand.NewPCG(seed, workers)))
	close(stop)
	group.Wait()
	twice, ran := recorder.keysRunTwice()
	t.Logf("seed %d: %d operations, %d grants, %d keys ran, %d of them more than once", seed, len(recorder.history), recorder.granted.Load(), ran, len(twice))
	g.Expect(twice).To(BeEmpty())
	g.Expect(ran).To(BeNumerically(">", 0))
	g.Expect(porcupine.CheckOperationsTimeout(keyModel, recorder.history, linearizabilityTimeout)).To(Equal(porcupine.Ok))
	g.Expect(eventuallyGranted(claimers[0])).To(Succeed(), "the group still grants claims after the faults")
}

// Single replicas are killed or suspended under load, and return with their data.
func TestNoKeyRunsTwiceWhileReplicasAreKilledAndFrozen(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		cluster := startLedgerCluster(t)
		g := NewWithT(t)
		runFaultsUnderLoad(t, cluster, seed, func(random *rand.Rand) {
			for range 6 {
				d := cluster.Daemons[fmt.Sprintf("ledger-%d", 1+random.IntN(3))]
				if random.IntN(2) == 0 {
					g.Expect(d.Suspend()).To(Succeed())
					time.Sleep(faultInterval)
					g.Expect(d.Resume()).To(Succeed())
				} else {
					g.Expect(d.Kill()).To(Succeed())
					time.Sleep(faultInterval)
					g.Expect(d.Start()).To(Succeed())
				}
				g.Expect(waitActive(d)).To(Succeed())
			}
		})
	}
}

// One replica after the other loses its disk under load and returns empty. A
// replica that is active before it has copied the group's records would let a
// majority grant a key again.
func TestNoKeyRunsTwiceWhileDisksAreLostOneAfterTheOther(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		cluster := startLedgerCluster(t)
		g := NewWithT(t)
		runFaultsUnderLoad(t, cluster, seed, func(random *rand.Rand) {
			first := random.IntN(3)
			for i := range 4 {
				name := fmt.Sprintf("ledger-%d", 1+(first+i)%3)
				g.Expect(cluster.Daemons[name].Kill()).To(Succeed())
				g.Expect(cluster.RemoveDataDir(name)).To(Succeed())
				time.Sleep(faultInterval)
				g.Expect(cluster.Daemons[name].Start()).To(Succeed())
				g.Expect(waitActive(cluster.Daemons[name])).To(Succeed())
			}
		})
	}
}
