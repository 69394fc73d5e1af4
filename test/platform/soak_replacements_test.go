package platform

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// controlCatchUp is CatchUpS of the platform: for how long an instance counts as lost after its start.
	controlCatchUp = 4 * time.Second
	// controlDowntime is how long an instance is down that loses its disk, allDowntime how long all are
	// that are killed at the same time.
	controlDowntime = time.Second
	allDowntime     = 700 * time.Millisecond
	// controlContact is ContactMs of the platform: once control has run undisturbed for that long, routers
	// have to apply what it acknowledges.
	controlContact = 3 * time.Second
	// controlRecovery is RecoveryS and ContactMs of the platform.
	controlRecovery = 15 * time.Second
)

// controlSoak is the run of one seed: planned replacements of control instances that overlap with lost
// disks, and then restarts of all of them while a worker that cannot reach them leaves.
type controlSoak struct {
	*fleet
	rng *rand.Rand

	mu sync.Mutex
	// running are the instances that the operator calls.
	running []*machine
	// acknowledged is the highest version that was acknowledged, sent the highest that was sent.
	acknowledged, sent uint64
	violations         []string
	history            string
}

// controlEvent is something that happens to a control instance.
type controlEvent struct {
	at  time.Duration
	run func()
}

// TestSoakReplacedControls guards against a control group that elects no leader any more, loses what was
// acknowledged, or acknowledges that a worker leaves and forgets it.
func TestSoakReplacedControls(t *testing.T) {
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			f, leaving := startFleetOfTwoWorkers(t)
			s := &controlSoak{fleet: f, rng: rand.New(rand.NewPCG(seed, 3)), running: slices.Clone(f.controls), acknowledged: 7, sent: 7}
			s.run(leaving)
		})
	}
}

// TestInstanceWithEmptyDiskRejoinsAfterItsSeedsAreReplaced guards against a control instance that has
// lost its disk and never finds its group again: of its seeds only itself still runs.
func TestInstanceWithEmptyDiskRejoinsAfterItsSeedsAreReplaced(t *testing.T) {
	f, _ := startFleetOfTwoWorkers(t)
	s := &controlSoak{fleet: f, running: slices.Clone(f.controls), acknowledged: 7, sent: 7}
	var events []controlEvent
	for i, old := range f.controls[:2] {
		start, successor := time.Duration(i)*controlCatchUp, s.newSuccessor(old, 10+i)
		events = append(events, controlEvent{start, func() { s.start(successor) }},
			controlEvent{start + controlCatchUp, func() { s.end(old, syscall.SIGTERM) }})
	}
	last := f.controls[2]
	s.play(append(events, controlEvent{3 * controlCatchUp, func() { s.loseDisk(last) }}))
	f.Eventually(func() int { return f.readyStatus(last) }, controlRecovery, 20*time.Millisecond).Should(Equal(http.StatusOK), lastLines(last))
}

func (s *controlSoak) run(leaving *worker) {
	stop, tasks := make(chan struct{}), sync.WaitGroup{}
	tasks.Go(func() { s.runOperator(stop) })
	s.play(s.planReplacements())
	s.expectRecovery("the replacements")
	s.leaveDuringRestarts(leaving)
	s.expectRecovery("the restarts")
	close(stop)
	tasks.Wait()
	s.t.Logf("version %d acknowledged after: %s", s.acknowledged, s.history)
	s.Expect(s.violations).To(BeEmpty(), s.history)
}

// upTo returns a random duration below a limit.
func (s *controlSoak) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// planReplacements returns events in which one or two instances are replaced, and one that remains or a
// successor loses its disk, once or twice. At no time more than one instance counts as lost: a replaced
// one does so together with its successor until controlCatchUp after the start of that.
func (s *controlSoak) planReplacements() (events []controlEvent) {
	order := s.rng.Perm(len(s.controls))
	remaining := []*machine{s.controls[order[2]]}
	replaced := 1 + s.rng.IntN(2)
	if replaced == 1 {
		remaining = append(remaining, s.controls[order[1]])
	}
	var at time.Duration
	for _, i := range order[:replaced] {
		old, successor := s.controls[i], s.newSuccessor(s.controls[i], 10+i)
		start, end := at, at+s.upTo(9*time.Second)
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[s.rng.IntN(2)]
		events = append(events,
			controlEvent{start, func() { s.start(successor) }},
			controlEvent{end, func() { s.end(old, signal) }})
		s.note("%.1f s %s starts, %.1f s %s ends with %v;", start.Seconds(), successor.settings.Instance, end.Seconds(), old.settings.Instance, signal)
		remaining = append(remaining, successor)
		at += controlCatchUp + s.upTo(2*time.Second)
	}
	for range 1 + s.rng.IntN(2) {
		lost := remaining[s.rng.IntN(len(remaining))]
		events = append(events, controlEvent{at, func() { s.loseDisk(lost) }})
		s.note("%.1f s %s loses its disk;", at.Seconds(), lost.settings.Instance)
		at += controlDowntime + controlCatchUp + s.upTo(2*time.Second)
	}
	return events
}

func (s *controlSoak) note(format string, args ...any) {
	s.history += fmt.Sprintf(format, args...) + " "
}

// play runs events at their times and waits until all have ended.
func (s *controlSoak) play(events []controlEvent) {
	slices.SortStableFunc(events, func(a, b controlEvent) int { return cmp.Compare(a.at, b.at) })
	begin, tasks := time.Now(), sync.WaitGroup{}
	for _, event := range events {
		time.Sleep(time.Until(begin.Add(event.at)))
		tasks.Go(event.run)
	}
	tasks.Wait()
}

// newSuccessor returns an instance at a new address, with an empty disk, in the failure domain of an
// existing one.
func (s *controlSoak) newSuccessor(old *machine, host int) *machine {
	address := func(listen string) string {
		subnet := listen[:strings.LastIndex(listen[:strings.LastIndex(listen, ":")], ".")]
		return fmt.Sprintf("%s.%d%s", subnet, host+30, listen[strings.LastIndex(listen, ":"):])
	}
	m := &machine{settings: old.settings}
	m.settings.Instance = old.settings.Instance + "-successor"
	m.settings.DataDir = filepath.Join(s.dir, m.settings.Instance)
	m.settings.Listen = settings.Listen{
		Peers: address(old.settings.Listen.Peers), Platform: address(old.settings.Listen.Platform), Operators: address(old.settings.Listen.Operators),
	}
	join := *old.settings.Join
	join.Bootstrap = false
	m.settings.Join = &join
	s.prepare(m)
	s.t.Cleanup(func() { _ = m.Kill() })
	return m
}

func (s *controlSoak) start(m *machine) {
	if err := m.Start(); err != nil {
		s.reportViolation("%s not started: %v", m.settings.Instance, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = append(s.running, m)
}

// end ends an instance for good.
func (s *controlSoak) end(m *machine, signal syscall.Signal) {
	s.mu.Lock()
	s.running = slices.DeleteFunc(slices.Clone(s.running), func(other *machine) bool { return other == m })
	s.mu.Unlock()
	_ = m.Signal(signal)
	_ = m.Wait()
}

// loseDisk kills an instance, which starts again with an empty disk.
func (s *controlSoak) loseDisk(m *machine) {
	_ = m.Signal(syscall.SIGKILL)
	_ = m.Wait()
	if err := os.RemoveAll(m.settings.DataDir); err != nil {
		s.reportViolation("data directory of %s not removed: %v", m.settings.Instance, err)
	}
	time.Sleep(controlDowntime)
	s.restart(m)
}

func (s *controlSoak) restart(m *machine) {
	join := *m.settings.Join
	join.Bootstrap = false
	m.settings.Join = &join
	s.writeSettings(m)
	if err := m.Start(); err != nil {
		s.reportViolation("%s not started again: %v", m.settings.Instance, err)
	}
}

func (s *controlSoak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// targets returns the instances that the operator calls, and the highest version that was acknowledged.
func (s *controlSoak) targets() ([]*machine, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.running), s.acknowledged
}

// runOperator sends configurations with increasing versions to the instances in turn, and reads the
// version in force after each acknowledgment.
func (s *controlSoak) runOperator(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(changeInterval):
		}
		targets, _ := s.targets()
		s.mu.Lock()
		s.sent++
		version := s.sent
		s.mu.Unlock()
		status, _ := s.callControl(targets[i%len(targets)], http.MethodPut, "/config", s.config(version, 1000))
		if status != http.StatusOK {
			continue
		}
		s.mu.Lock()
		s.acknowledged = version
		s.mu.Unlock()
		status, body := s.callControl(targets[(i+1)%len(targets)], http.MethodGet, "/config", "")
		if got := versionOf(body); status == http.StatusOK && got < version {
			s.reportViolation("version %d was acknowledged, but a later read returned version %d", version, got)
		}
	}
}

// expectRecovery expects that a change is acknowledged within controlRecovery, and that every instance
// returns what was acknowledged.
func (s *controlSoak) expectRecovery(what string) {
	targets, before := s.targets()
	s.Eventually(func() uint64 { _, now := s.targets(); return now }, controlRecovery, 20*time.Millisecond).
		Should(BeNumerically(">", before), "no change is acknowledged after %s: %s", what, s.history)
	for _, m := range targets {
		s.Eventually(func() int {
			_, acknowledged := s.targets()
			status, body := s.callControl(m, http.MethodGet, "/config", "")
			if got := versionOf(body); status == http.StatusOK && got < acknowledged {
				s.reportViolation("%s returned version %d after version %d was acknowledged", m.settings.Instance, got, acknowledged)
			}
			return status
		}, controlRecovery, 20*time.Millisecond).Should(Equal(http.StatusOK), "%s after %s: %s", m.settings.Instance, what, s.history)
	}
}

// leaveDuringRestarts kills all control instances, once or twice, while a worker cannot reach them. The
// worker's next call says that it leaves; from drainLimit on after its acknowledgment it must get no
// request.
func (s *controlSoak) leaveDuringRestarts(leaving *worker) {
	leaving.silence()
	time.Sleep(s.upTo(time.Second))
	targets, _ := s.targets()
	for range 1 + s.rng.IntN(2) {
		for _, m := range targets {
			_ = m.Signal(syscall.SIGKILL)
		}
		time.Sleep(allDowntime)
		for _, m := range targets {
			_ = m.Wait()
			s.restart(m)
		}
	}
	time.Sleep(controlContact + s.upTo(2*time.Second))
	s.note("the worker leaves")
	for i, status := 0, 0; status != http.StatusOK; i++ {
		if i == 100 {
			s.reportViolation("no instance acknowledged that the worker leaves")
			return
		}
		status, _ = s.callControl(targets[i%len(targets)], http.MethodDelete, "/instances/"+leaving.id, "")
	}
	time.Sleep(drainLimit)
	s.expectNoRequest(leaving, "from i-2")
	if s.rng.IntN(2) == 0 {
		_, _ = leaving.sendHeartbeat(s.fleet, targets[s.rng.IntN(len(targets))])
		time.Sleep(s.upTo(time.Second))
		s.expectNoRequest(leaving, "from i-2")
	}
}
