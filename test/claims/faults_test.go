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

// Load of the fault tests.
const (
	workers       = 12
	sharedKeys    = 4
	judgeTimeout  = 30 * time.Second
	faultInterval = 300 * time.Millisecond
)

// waitActive waits until a daemon takes part in both of its groups.
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
				return errors.Errorf("%s is not active in %s", d.Name, group)
			}
		}
		return nil
	})
}

func waitAllActive(bed *testcluster.Cluster) error {
	for _, d := range bed.Daemons {
		if err := waitActive(d); err != nil {
			return err
		}
	}
	return nil
}

// underLoad runs attempts at changing keys, several at each key, while faults
// runs, and judges the history.
func underLoad(t *testing.T, bed *testcluster.Cluster, seed uint64, faults func(random *rand.Rand)) {
	t.Helper()
	NewWithT(t).Expect(waitAllActive(bed)).To(Succeed())
	claimers := []ledger.Claimer{claimer(bed, "pwani-a"), claimer(bed, "pwani-a"), claimer(bed, "pwani-a")}
	underLoadOf(t, claimers, seed, faults)
}

// underLoadOf runs the attempts through these claimers.
func underLoadOf(t *testing.T, claimers []ledger.Claimer, seed uint64, faults func(random *rand.Rand)) {
	t.Helper()
	g := NewWithT(t)
	rec := &recorder{}
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
				rec.attempt(claimers[random.IntN(len(claimers))], key, random.IntN(100))
			}
		})
	}
	faults(rand.New(rand.NewPCG(seed, workers)))
	close(stop)
	group.Wait()
	twice, ran := rec.doubled()
	t.Logf("seed %d: %d operations, %d grants, %d keys ran, %d twice", seed, len(rec.history), rec.granted.Load(), ran, len(twice))
	g.Expect(twice).To(BeEmpty())
	g.Expect(ran).To(BeNumerically(">", 0))
	g.Expect(porcupine.CheckOperationsTimeout(keyModel, rec.history, judgeTimeout)).To(Equal(porcupine.Ok))
	g.Expect(eventuallyGranted(claimers[0])).To(Succeed(), "the group goes on")
}

func TestClaimsWhileReplicasAreKilledAndFrozen(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		bed := ledgers(t)
		g := NewWithT(t)
		underLoad(t, bed, seed, func(random *rand.Rand) {
			for range 6 {
				d := bed.Daemons[fmt.Sprintf("ledger-%d", 1+random.IntN(3))]
				if random.IntN(2) == 0 {
					g.Expect(d.Freeze()).To(Succeed())
					time.Sleep(faultInterval)
					g.Expect(d.Thaw()).To(Succeed())
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

func TestClaimsWhileDisksAreLostOneAfterTheOther(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		bed := ledgers(t)
		g := NewWithT(t)
		underLoad(t, bed, seed, func(random *rand.Rand) {
			first := random.IntN(3)
			for i := range 4 {
				name := fmt.Sprintf("ledger-%d", 1+(first+i)%3)
				g.Expect(bed.Daemons[name].Kill()).To(Succeed())
				g.Expect(bed.LoseDisk(name)).To(Succeed())
				time.Sleep(faultInterval)
				g.Expect(bed.Daemons[name].Start()).To(Succeed())
				g.Expect(waitActive(bed.Daemons[name])).To(Succeed())
			}
		})
	}
}
