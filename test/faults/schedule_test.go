package faults

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/fakebackend"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// Durations of the fault schedule.
const (
	minFaultPause    = 100 * time.Millisecond
	maxFaultPause    = 400 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 1500 * time.Millisecond
	// lateAnswerMS is above the progress timeout of the campaign.
	lateAnswerMS = 2 * campaignProgressMS
	// faultsBeforeDiskLoss is the number of faults before a replica loses its disk.
	faultsBeforeDiskLoss = 2
)

var (
	routerNames = campaignRouters
	gateNames   = []string{"gate-a", "gate-b", "gate-c"}
	ledgerNames = []string{"ledger-1", "ledger-2", "ledger-3", "ledger-4", "ledger-5"}
)

// faultKind is a kind of fault with its name in the counts.
type faultKind struct {
	name   string
	inject func(s *injector)
}

var faultKinds = []faultKind{
	{"kill router", func(s *injector) { s.onIdleProcess(routerNames, s.killAndRestart) }},
	{"kill ledger", func(s *injector) { s.onIdleProcess(ledgerNames, s.killAndRestart) }},
	{"freeze router", func(s *injector) { s.onIdleProcess(routerNames, s.suspendAndResume) }},
	{"freeze ledger", func(s *injector) { s.onIdleProcess(ledgerNames, s.suspendAndResume) }},
	{"blackhole links", func(s *injector) { s.cutLinks(testcluster.Blackhole) }},
	{"refuse links", func(s *injector) { s.cutLinks(testcluster.Refuse) }},
	{"gate closes without answer", func(s *injector) {
		s.onIdleProcess(gateNames, s.backendFault(fakebackend.Faults{CloseBeforeAnswer: true}))
	}},
	{"gate answers late", func(s *injector) {
		s.onIdleProcess(gateNames, s.backendFault(fakebackend.Faults{DelayMS: lateAnswerMS}))
	}},
	{"gate refuses", func(s *injector) { s.onIdleProcess(gateNames, s.backendFault(fakebackend.Faults{Refuse: true})) }},
}

// schedule injects faults from two injectors, so that two faults overlap on
// different processes. Each injector injects each kind at least once.
type schedule struct {
	deployment
	stopCh    chan struct{}
	injectors sync.WaitGroup

	mu       sync.Mutex
	injected map[string]int
	// busy holds the processes with an active fault.
	busy map[string]bool
}

// injector injects a sequence of faults whose order is determined by the seed.
type injector struct {
	*schedule
	random *rand.Rand
	// injectsDiskLoss makes the injector lose the disk of the first ledger replica.
	injectsDiskLoss bool
	// pendingKinds are the indices of the kinds that remain in this round.
	pendingKinds []int
}

func newSchedule(d deployment) *schedule {
	return &schedule{deployment: d, stopCh: make(chan struct{}), injected: map[string]int{}, busy: map[string]bool{}}
}

func (s *schedule) start(seed uint64) {
	first := &injector{schedule: s, random: rand.New(rand.NewPCG(seed, 2)), injectsDiskLoss: true}
	second := &injector{schedule: s, random: rand.New(rand.NewPCG(seed, 3))}
	s.injectors.Go(first.run)
	s.injectors.Go(second.run)
}

// stop waits until the active faults have ended and each kind has been injected.
func (s *schedule) stop() {
	close(s.stopCh)
	s.injectors.Wait()
}

func (s *schedule) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.injected)
}

func (s *schedule) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected[name]++
}

// acquire marks a process as busy, or returns false if it already is.
func (s *schedule) acquire(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *schedule) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

func (s *injector) run() {
	for i := 0; ; i++ {
		if i == faultsBeforeDiskLoss && s.injectsDiskLoss {
			s.count("lose disk")
			s.loseDisk()
			continue
		}
		select {
		case <-s.stopCh:
			if i > len(faultKinds) {
				return
			}
		case <-time.After(s.randomDuration(minFaultPause, maxFaultPause)):
		}
		next := s.next()
		s.count(next.name)
		next.inject(s)
	}
}

// next returns the next kind of fault; each kind occurs once a round.
func (s *injector) next() faultKind {
	if len(s.pendingKinds) == 0 {
		s.pendingKinds = s.random.Perm(len(faultKinds))
	}
	kind := s.pendingKinds[0]
	s.pendingKinds = s.pendingKinds[1:]
	return faultKinds[kind]
}

func (s *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *injector) sleepFaultDuration() {
	time.Sleep(s.randomDuration(minFaultDuration, maxFaultDuration))
}

// onIdleProcess injects a fault into a random process that has no active fault.
func (s *injector) onIdleProcess(names []string, inject func(name string)) {
	name := names[s.random.IntN(len(names))]
	for !s.acquire(name) {
		time.Sleep(minFaultPause)
		name = names[s.random.IntN(len(names))]
	}
	defer s.release(name)
	inject(name)
}

func (s *injector) killAndRestart(name string) {
	s.Expect(s.Daemons[name].Kill()).To(Succeed())
	s.sleepFaultDuration()
	s.Expect(s.Daemons[name].Start()).To(Succeed())
}

func (s *injector) suspendAndResume(name string) {
	s.Expect(s.Daemons[name].Suspend()).To(Succeed())
	s.sleepFaultDuration()
	s.Expect(s.Daemons[name].Resume()).To(Succeed())
}

// backendFault returns a function that injects faults into a gate server for a while.
func (s *injector) backendFault(faults fakebackend.Faults) func(gate string) {
	return func(gate string) {
		s.setBackendFaults(gate, faults)
		s.sleepFaultDuration()
		s.setBackendFaults(gate, fakebackend.Faults{})
	}
}

// cutLinks cuts one daemon off from about half of the others for a while.
func (s *injector) cutLinks(mode testcluster.Mode) {
	names := append(append([]string{}, routerNames...), ledgerNames...)
	name := names[s.random.IntN(len(names))]
	var others []string
	for _, other := range names {
		if other != name && s.random.IntN(2) == 0 {
			others = append(others, other)
			s.SetLinkBothWays(name, other, mode)
		}
	}
	s.sleepFaultDuration()
	for _, other := range others {
		s.SetLinkBothWays(name, other, testcluster.Forward)
	}
}

// groupsPerLedgerInstance is the number of groups that a ledger instance is a member of.
const groupsPerLedgerInstance = 2

// loseDisk removes the disk of the first replica and waits for its repair. Right
// after that it kills a second replica for a while.
func (s *injector) loseDisk() {
	s.onIdleProcess(ledgerNames[:1], func(name string) {
		daemon := s.Daemons[name]
		before := s.countActivations(daemon)
		s.Expect(daemon.Kill()).To(Succeed())
		s.Expect(s.RemoveDataDir(name)).To(Succeed())
		s.Expect(daemon.Start()).To(Succeed())
		s.Expect(testcluster.Eventually(func() error { return s.checkRecovered(daemon, before) })).To(Succeed())
		s.onIdleProcess(ledgerNames[1:3], s.killAndRestart)
	})
}

// countActivations returns how often the replicas of a ledger instance became active.
func (s *schedule) countActivations(d *testcluster.Daemon) int {
	raw, err := os.ReadFile(d.LogPath())
	s.Expect(err).NotTo(HaveOccurred())
	return bytes.Count(raw, []byte("the replica is active"))
}

// checkRecovered returns an error until both replicas of an instance are active again.
func (s *schedule) checkRecovered(d *testcluster.Daemon, before int) error {
	if now := s.countActivations(d); now < before+groupsPerLedgerInstance {
		return errors.Errorf("%s: %d replicas active again", d.Name, now-before)
	}
	return nil
}
