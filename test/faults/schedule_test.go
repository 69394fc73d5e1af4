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

	"peridotwinch.example/peridotwinch/internal/fake"
	"peridotwinch.example/peridotwinch/test/testbed"
)

// Times of the fault schedule.
const (
	minQuiet = 100 * time.Millisecond
	maxQuiet = 400 * time.Millisecond
	minFault = 200 * time.Millisecond
	maxFault = 1500 * time.Millisecond
)

// schedule brings faults about, one after the other, in an order that the seed
// fixes; each kind comes at least once. The disk of the first ledger replica is lost after diskLossAt faults.
type schedule struct {
	deployed
	random *rand.Rand
	// round holds the kinds of faults that come next.
	round []int
	// before is how often a replica of the lost disk had become active.
	before int
	stopCh chan struct{}
	done   sync.WaitGroup

	mu   sync.Mutex
	made map[string]int
}

const diskLossAt = 2

// lateAnswerMS is above the progress timeout of the campaign.
const lateAnswerMS = 2 * campaignProgressMS

// fault is a kind of fault.
type fault struct {
	name string
	make func(s *schedule)
}

var routerNames = campaignRouters
var gateNames = []string{"gate-a", "gate-b", "gate-c"}
var ledgerNames = []string{"ledger-1", "ledger-2", "ledger-3", "ledger-4", "ledger-5"}

var faults = []fault{
	{"kill router", func(s *schedule) { s.kill(s.pick(routerNames)) }},
	{"kill ledger", func(s *schedule) { s.kill(s.pick(ledgerNames)) }},
	{"freeze router", func(s *schedule) { s.freeze(s.pick(routerNames)) }},
	{"freeze ledger", func(s *schedule) { s.freeze(s.pick(ledgerNames)) }},
	{"swallow", func(s *schedule) { s.cut(testbed.Swallow) }},
	{"refuse", func(s *schedule) { s.cut(testbed.Refuse) }},
	{"gate closes unanswered", func(s *schedule) { s.spoil(fake.Faults{CloseBeforeAnswer: true}) }},
	{"gate answers late", func(s *schedule) { s.spoil(fake.Faults{DelayMS: lateAnswerMS}) }},
	{"gate refuses", func(s *schedule) { s.spoil(fake.Faults{Refuse: true}) }},
}

func newSchedule(d deployed, random *rand.Rand) *schedule {
	return &schedule{deployed: d, random: random, stopCh: make(chan struct{}), made: map[string]int{}}
}

func (s *schedule) start() { s.done.Go(s.run) }

// stop waits until the present fault has ended and each kind has been.
func (s *schedule) stop() {
	close(s.stopCh)
	s.done.Wait()
}

func (s *schedule) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.made)
}

func (s *schedule) run() {
	for i := 0; ; i++ {
		if i == diskLossAt {
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
func (s *schedule) next() fault {
	if len(s.round) == 0 {
		s.round = s.random.Perm(len(faults))
	}
	kind := s.round[0]
	s.round = s.round[1:]
	return faults[kind]
}

func (s *schedule) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made[name]++
}

func (s *schedule) pick(names []string) string { return names[s.random.IntN(len(names))] }

func (s *schedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *schedule) hold() { time.Sleep(s.between(minFault, maxFault)) }

func (s *schedule) kill(name string) {
	s.Expect(s.Daemons[name].Kill()).To(Succeed())
	s.hold()
	s.Expect(s.Daemons[name].Start()).To(Succeed())
}

func (s *schedule) freeze(name string) {
	s.Expect(s.Daemons[name].Freeze()).To(Succeed())
	s.hold()
	s.Expect(s.Daemons[name].Thaw()).To(Succeed())
}

// spoil makes a gate fail for a while.
func (s *schedule) spoil(faults fake.Faults) {
	gate := s.pick(gateNames)
	s.setFaults(gate, faults)
	s.hold()
	s.setFaults(gate, fake.Faults{})
}

// cut cuts one daemon off from some or all others.
func (s *schedule) cut(mode testbed.Mode) {
	one := s.pick(append(append([]string{}, routerNames...), ledgerNames...))
	var others []string
	for _, other := range append(append([]string{}, routerNames...), ledgerNames...) {
		if other != one && s.random.IntN(2) == 0 {
			others = append(others, other)
			s.Cut(one, other, mode)
		}
	}
	s.hold()
	for _, other := range others {
		s.Cut(one, other, testbed.Forward)
	}
}

// groupsOfReplica is how many groups a ledger instance is a member of.
const groupsOfReplica = 2

func (s *schedule) activations(d *testbed.Daemon) int {
	raw, err := os.ReadFile(d.LogPath())
	s.Expect(err).NotTo(HaveOccurred())
	return bytes.Count(raw, []byte("the replica is active"))
}

// recovered returns an error until both replicas of an instance are active again.
func (s *schedule) recovered(d *testbed.Daemon) error {
	if now := s.activations(d); now < s.before+groupsOfReplica {
		return errors.Errorf("%s: %d replicas are active again", d.Name, now-s.before)
	}
	return nil
}

// loseDisk loses the disk of the first replica. Right after its repair, a
// second replica is lost for a while.
func (s *schedule) loseDisk() {
	lost := s.Daemons[ledgerNames[0]]
	s.before = s.activations(lost)
	s.Expect(lost.Kill()).To(Succeed())
	s.Expect(s.LoseDisk(lost.Name)).To(Succeed())
	s.Expect(lost.Start()).To(Succeed())
	s.Expect(testbed.Eventually(func() error { return s.recovered(lost) })).To(Succeed())
	s.kill(ledgerNames[1+s.random.IntN(2)])
}
