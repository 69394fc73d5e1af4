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

// Times of the fault schedule.
const (
	minQuiet = 100 * time.Millisecond
	maxQuiet = 400 * time.Millisecond
	minFault = 200 * time.Millisecond
	maxFault = 1500 * time.Millisecond
	// lateAnswerMS is above the progress timeout of the campaign.
	lateAnswerMS = 2 * campaignProgressMS
	// diskLossAt is the number of faults before the disk of a replica is lost.
	diskLossAt = 2
)

var (
	routerNames = campaignRouters
	gateNames   = []string{"gate-a", "gate-b", "gate-c"}
	ledgerNames = []string{"ledger-1", "ledger-2", "ledger-3", "ledger-4", "ledger-5"}
)

// fault is a kind of fault.
type fault struct {
	name string
	make func(s *strand)
}

var faults = []fault{
	{"kill router", func(s *strand) { s.on(routerNames, s.kill) }},
	{"kill ledger", func(s *strand) { s.on(ledgerNames, s.kill) }},
	{"freeze router", func(s *strand) { s.on(routerNames, s.freeze) }},
	{"freeze ledger", func(s *strand) { s.on(ledgerNames, s.freeze) }},
	{"swallow", func(s *strand) { s.cut(testcluster.Blackhole) }},
	{"refuse", func(s *strand) { s.cut(testcluster.Refuse) }},
	{"gate closes unanswered", func(s *strand) { s.on(gateNames, s.spoil(fakebackend.Faults{CloseBeforeAnswer: true})) }},
	{"gate answers late", func(s *strand) { s.on(gateNames, s.spoil(fakebackend.Faults{DelayMS: lateAnswerMS})) }},
	{"gate refuses", func(s *strand) { s.on(gateNames, s.spoil(fakebackend.Faults{Refuse: true})) }},
}

// schedule brings faults about in two strands, so that two come at a time on
// different processes. Each kind comes at least once in each strand.
type schedule struct {
	deployed
	stopCh  chan struct{}
	strands sync.WaitGroup

	mu   sync.Mutex
	made map[string]int
	// busy are the processes that a fault has hit.
	busy map[string]bool
}

// strand is a sequence of faults in an order that the seed fixes.
type strand struct {
	*schedule
	random *rand.Rand
	// losesDisk says that the strand loses the disk of the first ledger replica.
	losesDisk bool
	// round holds the kinds of faults that come next.
	round []int
}

func newSchedule(d deployed) *schedule {
	return &schedule{deployed: d, stopCh: make(chan struct{}), made: map[string]int{}, busy: map[string]bool{}}
}

func (s *schedule) start(seed uint64) {
	first := &strand{schedule: s, random: rand.New(rand.NewPCG(seed, 2)), losesDisk: true}
	second := &strand{schedule: s, random: rand.New(rand.NewPCG(seed, 3))}
	s.strands.Go(first.run)
	s.strands.Go(second.run)
}

// stop waits until the present faults have ended and each kind has been.
func (s *schedule) stop() {
	close(s.stopCh)
	s.strands.Wait()
}

func (s *schedule) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.made)
}

func (s *schedule) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made[name]++
}

// take marks a process as hit, or returns false where it is already.
func (s *schedule) take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *schedule) giveBack(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

func (s *strand) run() {
	for i := 0; ; i++ {
		if i == diskLossAt && s.losesDisk {
			s.count("lose disk")
			s.loseDisk()
			continue
		}
		select {
		case <-s.stopCh:
			if i > len(faults) {
				return
			}
		case <-time.After(s.between(minQuiet, maxQuiet)):
		}
		next := s.next()
		s.count(next.name)
		next.make(s)
	}
}

// next returns the next kind of fault: each comes once a round.
func (s *strand) next() fault {
	if len(s.round) == 0 {
		s.round = s.random.Perm(len(faults))
	}
	kind := s.round[0]
	s.round = s.round[1:]
	return faults[kind]
}

func (s *strand) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *strand) hold() { time.Sleep(s.between(minFault, maxFault)) }

// on brings a fault about on one of the named processes that is not hit yet.
func (s *strand) on(names []string, act func(name string)) {
	name := names[s.random.IntN(len(names))]
	for !s.take(name) {
		time.Sleep(minQuiet)
		name = names[s.random.IntN(len(names))]
	}
	defer s.giveBack(name)
	act(name)
}

func (s *strand) kill(name string) {
	s.Expect(s.Daemons[name].Kill()).To(Succeed())
	s.hold()
	s.Expect(s.Daemons[name].Start()).To(Succeed())
}

func (s *strand) freeze(name string) {
	s.Expect(s.Daemons[name].Freeze()).To(Succeed())
	s.hold()
	s.Expect(s.Daemons[name].Thaw()).To(Succeed())
}

// spoil returns a fault of a gate.
func (s *strand) spoil(faults fakebackend.Faults) func(gate string) {
	return func(gate string) {
		s.setFaults(gate, faults)
		s.hold()
		s.setFaults(gate, fakebackend.Faults{})
	}
}

// cut cuts one daemon off from about half of the others.
func (s *strand) cut(mode testcluster.Mode) {
	all := append(append([]string{}, routerNames...), ledgerNames...)
	one := all[s.random.IntN(len(all))]
	var others []string
	for _, other := range all {
		if other != one && s.random.IntN(2) == 0 {
			others = append(others, other)
			s.Cut(one, other, mode)
		}
	}
	s.hold()
	for _, other := range others {
		s.Cut(one, other, testcluster.Forward)
	}
}

// groupsOfReplica is how many groups a ledger instance is a member of.
const groupsOfReplica = 2

// loseDisk loses the disk of the first replica. Right after its repair, a
// second replica is lost for a while.
func (s *strand) loseDisk() {
	s.on(ledgerNames[:1], func(name string) {
		lost := s.Daemons[name]
		before := s.activations(lost)
		s.Expect(lost.Kill()).To(Succeed())
		s.Expect(s.LoseDisk(name)).To(Succeed())
		s.Expect(lost.Start()).To(Succeed())
		s.Expect(testcluster.Eventually(func() error { return s.recovered(lost, before) })).To(Succeed())
		s.on(ledgerNames[1:3], s.kill)
	})
}

// activations returns how often a replica of a ledger instance became active.
func (s *schedule) activations(d *testcluster.Daemon) int {
	raw, err := os.ReadFile(d.LogPath())
	s.Expect(err).NotTo(HaveOccurred())
	return bytes.Count(raw, []byte("the replica is active"))
}

// recovered returns an error until both replicas of an instance are active again.
func (s *schedule) recovered(d *testcluster.Daemon, before int) error {
	if now := s.activations(d); now < before+groupsOfReplica {
		return errors.Errorf("%s: %d replicas are active again", d.Name, now-before)
	}
	return nil
}
