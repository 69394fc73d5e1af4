package platform

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

var (
	soakSeeds = flag.Int("soak.seeds", 1, "how many fresh seeds TestSoak plays, from soak.first on")
	soakFirst = flag.Uint64("soak.first", 1, "the first seed of TestSoak")
)

const (
	// soakTime is how long faults come for a seed; as long again is allowed for the recovery.
	soakTime = 8 * time.Second
	// soakRecovery is the time in which all is to serve again: RecoveryS of the platform.
	soakRecovery = 12 * time.Second
	// soakClients send one request after the other, each on kept connections.
	soakClients = 6
)

// failedSeeds have broken a promise once; each has a line on its cause.
var failedSeeds = []uint64{}

// TestSoak plays faults in series, overlapping, on real processes and connections, and
// checks the promises by what clients, workers and the operator see.
func TestSoak(t *testing.T) {
	seeds := failedSeeds
	for i := range uint64(*soakSeeds) {
		seeds = append(seeds, *soakFirst+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { newSoak(t, seed).play() })
	}
}

// soak is one run: a fleet behind relays, with what its callers and workers have seen.
type soak struct {
	*fleet
	random  *rand.Rand
	relays  []*testcluster.Relay
	workers []*worker
	stop    chan struct{}
	running sync.WaitGroup

	mu sync.Mutex
	// notRun has the requests of which an answer said that they have not run.
	notRun map[string]bool
	// acknowledged and sent are the highest configurations of each kind, faults lists what
	// broke a promise, answered counts the answers with success.
	acknowledged, sent uint64
	faults             []string
	answered           int
	// busy has the machines that a fault holds, and starts counts the starts of processes.
	busy   map[string]bool
	starts map[string]int
}

func newSoak(t *testing.T, seed uint64) *soak {
	f, relays := startRelayedFleet(t, 3)
	s := &soak{
		fleet: f, relays: relays, random: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{}),
		notRun: make(map[string]bool), busy: make(map[string]bool), starts: make(map[string]int),
	}
	for i := range 4 {
		s.workers = append(s.workers, f.startWorker(fmt.Sprint("i-", i+1)))
	}
	f.configure(s.numbered(1))
	for _, router := range f.routers {
		f.serves(router, "/look/x")
	}
	return s
}

// numbered returns a configuration that only has a probe's route of its own version.
func (s *soak) numbered(version uint64) string {
	declared := make(map[string]any)
	s.Expect(json.Unmarshal([]byte(s.config(version, 1000)), &declared)).To(Succeed())
	routes := declared["Routes"].([]any)
	probe := make(map[string]any)
	for key, value := range routes[1].(map[string]any) {
		probe[key] = value
	}
	probe["Name"], probe["PathPrefix"] = "probe", fmt.Sprintf("/v%d/", version)
	declared["Routes"] = append(routes, probe)
	raw, err := json.Marshal(declared)
	s.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

func (s *soak) play() {
	for i := range soakClients {
		s.running.Go(func() { s.client(i) })
	}
	s.running.Go(s.operate)
	for _, router := range s.routers {
		s.running.Go(func() { s.probe(router) })
	}
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(100+s.random.IntN(400)) * time.Millisecond)
	}
	s.awaitRecovery()
	close(s.stop)
	s.running.Wait()
	s.judge()
}

// awaitRecovery waits for the end of all faults, and until everything serves.
func (s *soak) awaitRecovery() {
	s.Eventually(func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.busy)
	}, testcluster.WaitTimeout, 20*time.Millisecond).Should(BeZero(), "faults end by themselves")
	begun := time.Now()
	for _, m := range s.routers {
		s.Eventually(func() int { return s.readyStatus(m) }, testcluster.WaitTimeout, 50*time.Millisecond).Should(Equal(http.StatusOK))
		s.serves(m, "/look/x")
	}
	if took := time.Since(begun); took > soakRecovery {
		s.broken("it took %v until all routers served again", took)
	}
}

// judge checks what was seen over the whole run.
func (s *soak) judge() {
	s.mu.Lock()
	acknowledged := s.acknowledged
	s.mu.Unlock()
	version := uint64(0)
	s.Eventually(func() int {
		status, body := s.call(s.controls[0], http.MethodGet, "/config", "")
		version = versionOf(body)
		return status
	}, testcluster.WaitTimeout, 50*time.Millisecond).Should(Equal(http.StatusOK))
	if version < acknowledged {
		s.broken("version %d was acknowledged, and %d is read back at the end", acknowledged, version)
	}
	runs := make(map[string]int)
	for _, w := range s.workers {
		for _, r := range w.ran() {
			if r.Method == http.MethodPost && r.URL.Path == "/debit/x" {
				runs[r.Header.Get("Peridotwinch-Attempt-Id")]++
			}
		}
	}
	for id, count := range runs {
		if count > 1 {
			s.broken("request %s ran %d times", id, count)
		}
		if s.notRun[id] {
			s.broken("request %s ran, and its answer said that it had not", id)
		}
	}
	s.t.Logf("%d answered, %d charges ran, version %d acknowledged", s.answered, len(runs), acknowledged)
	s.Expect(s.answered).To(BeNumerically(">", 100), "the run served next to nobody")
	s.Expect(s.faults).To(BeEmpty())
}

func versionOf(body string) uint64 {
	declared := struct{ Version uint64 }{}
	if json.Unmarshal([]byte(body), &declared) != nil {
		return 0
	}
	return declared.Version
}

// client sends charges and look-ups to one router after the other, each on a connection
// that it keeps as long as the router does.
func (s *soak) client(number int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		default:
		}
		path := "/debit/x"
		if i%3 == 0 {
			path = "/look/x"
		}
		s.exchange(client, s.routers[(number+i/20)%len(s.routers)], path)
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *soak) exchange(client *http.Client, router *machine, path string) {
	id := fmt.Sprintf("%016x", s.attempts.Add(1))
	// A body that cannot be rewound keeps the client's library from sending it twice.
	r, err := http.NewRequest(http.MethodPost, "http://"+router.settings.Listen.Callers+path, io.NopCloser(bytes.NewReader([]byte("body"))))
	s.Expect(err).NotTo(HaveOccurred())
	r.ContentLength = int64(len("body"))
	r.Host = host
	r.Header.Set("Peridotwinch-Attempt-Id", id)
	r.Header.Set("Peridotwinch-Request-Deadline", "1000")
	r.Header.Set("Authorization", "Token "+apiKey)
	response, err := client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch status := response.StatusCode; {
	case err != nil:
	case status == http.StatusOK:
		s.answered++
		if got := response.Header.Get("Peridotwinch-Attempt-Id"); got != id || string(body) != "from "+response.Header.Get("Peridotwinch-Server-Stamp")[len("stamp-"):] {
			s.faults = append(s.faults, fmt.Sprintf("request %s got the answer of %s: %q", id, got, body))
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.notRun[id] = true
	case status < http.StatusInternalServerError:
		s.faults = append(s.faults, fmt.Sprintf("request %s got status %d: %s", id, status, body))
	}
}

// operate sends one configuration after the other, each again until it is acknowledged,
// and reads what is in force.
func (s *soak) operate() {
	for version := uint64(2); ; version++ {
		s.mu.Lock()
		s.sent = version
		s.mu.Unlock()
		for i := version; ; i++ {
			select {
			case <-s.stop:
				return
			default:
			}
			status, body := s.call(s.controls[i%uint64(len(s.controls))], http.MethodPut, "/config", s.numbered(version))
			if status == http.StatusOK {
				break
			}
			if status >= 400 && status < 500 {
				s.broken("version %d was refused with status %d: %s", version, status, body)
				return
			}
		}
		s.mu.Lock()
		s.acknowledged = version
		s.mu.Unlock()
		status, body := s.call(s.controls[version%uint64(len(s.controls))], http.MethodGet, "/config", "")
		if got := versionOf(body); status == http.StatusOK && got < version {
			s.broken("version %d was acknowledged, and %d is read", version, got)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// probe asks a router for the routes of versions, and notes where it goes back behind what
// it has shown. A start of the router's process begins anew.
func (s *soak) probe(router *machine) {
	name := router.settings.Instance
	highest, start := uint64(0), 0
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		held, starts, newest := s.stateOf(name)
		if held || starts != start {
			highest, start = 0, starts
			continue
		}
		version := newest - min(uint64(i%3), newest)
		response, _, err := s.ask(router, http.MethodPost, fmt.Sprintf("/v%d/x", version))
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		held, starts, _ = s.stateOf(name)
		if held || starts != start {
			continue
		}
		if version < highest {
			s.broken("%s showed version %d and then %d", name, highest, version)
		}
		highest = max(highest, version)
	}
}

// stateOf returns whether a fault holds the machine, how often its process was started
// again, and the newest configuration that was sent.
func (s *soak) stateOf(machine string) (held bool, starts int, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy[machine], s.starts[machine], s.sent
}

// hold reserves a machine for a fault, and reports whether it was free.
func (s *soak) hold(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *soak) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

// fault begins a fault that ends by itself.
func (s *soak) fault() {
	duration := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
	control, router, w := s.random.IntN(3), s.random.IntN(3), s.random.IntN(len(s.workers))
	out, back := testcluster.Mode(s.random.IntN(3)), testcluster.Mode(s.random.IntN(3))
	switch s.random.IntN(10) {
	case 0: // A control instance is cut off, or only one way.
		s.during(s.controls[control].settings.Instance, duration, func() { s.relays[control].Set(out, back) },
			func() { s.relays[control].Set(testcluster.Forward, testcluster.Forward) })
	case 1: // Its connections fall silent one after the other, and come late.
		s.during(s.controls[control].settings.Instance, duration, func() {
			s.relays[control].SetDelay(50 * time.Millisecond)
			s.relays[control].SetLoss(0.1)
		}, func() { s.relays[control].SetDelay(0); s.relays[control].SetLoss(0) })
	case 2, 3:
		s.pause(s.controls[control], duration)
	case 4:
		s.restart(s.controls[control], syscall.SIGKILL, duration)
	case 5:
		s.pause(s.routers[router], duration)
	case 6:
		s.restart(s.routers[router], syscall.SIGKILL, duration)
	case 7:
		s.restart(s.routers[router], syscall.SIGTERM, duration)
	case 9:
		s.loseDisk(s.controls[control])
	case 8: // A worker runs requests and loses their answers.
		s.during(s.workers[w].id, duration, func() { s.workers[w].setMode(modeClose) }, func() { s.workers[w].setMode(0) })
	}
}

func (s *soak) during(name string, duration time.Duration, begin, end func()) {
	if !s.hold(name) {
		return
	}
	begin()
	time.AfterFunc(duration, func() { end(); s.release(name) })
}

func (s *soak) pause(m *machine, duration time.Duration) {
	s.during(m.settings.Instance, duration, func() { _ = m.Signal(syscall.SIGSTOP) }, func() { _ = m.Signal(syscall.SIGCONT) })
}

// loseDisk ends a control instance and starts it with an empty disk. The deployment bears
// one such loss at a time, so no other control instance is held until that one votes again.
func (s *soak) loseDisk(m *machine) {
	var held []string
	for _, control := range s.controls {
		if s.hold(control.settings.Instance) {
			held = append(held, control.settings.Instance)
		}
	}
	end := func() {
		for _, name := range held {
			s.release(name)
		}
	}
	if len(held) < len(s.controls) {
		end()
		return
	}
	_ = m.Signal(syscall.SIGKILL)
	s.running.Go(func() {
		defer end()
		_ = m.Wait()
		if err := os.RemoveAll(m.settings.DataDir); err != nil {
			s.broken("the disk of %s is still there: %v", m.settings.Instance, err)
		}
		s.startAgain(m)
		for begun := time.Now(); s.readyStatus(m) != http.StatusOK; time.Sleep(20 * time.Millisecond) {
			if time.Since(begun) > soakRecovery {
				s.broken("%s does not vote again %v after the loss of its disk", m.settings.Instance, soakRecovery)
				return
			}
		}
	})
}

// restart ends a machine's process and starts it again.
func (s *soak) restart(m *machine, signal syscall.Signal, duration time.Duration) {
	if !s.hold(m.settings.Instance) {
		return
	}
	_ = m.Signal(signal)
	s.running.Go(func() {
		defer s.release(m.settings.Instance)
		_ = m.Wait()
		time.Sleep(duration)
		s.startAgain(m)
	})
}

func (s *soak) startAgain(m *machine) {
	m.settings.Join.Bootstrap = false
	s.writeSettings(m)
	s.mu.Lock()
	s.starts[m.settings.Instance]++
	s.mu.Unlock()
	if err := m.Start(); err != nil {
		s.broken("%s does not start: %v", m.settings.Instance, err)
	}
}
