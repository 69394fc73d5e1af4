// Package platform shows on real processes that the product speaks the users'
// platform, before a stand-in of its clients, workers and operator.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
	"peridotwinch.example/peridotwinch/platform"
)

func TestMain(m *testing.M) { testcluster.MainWith(m, adapter.Set{platform.Name: platform.New()}) }

const (
	apiKey = "key-1"
	host   = "gate.example"
)

// machine is a daemon on a loopback address of its own.
type machine struct {
	*testcluster.Process
	settings settings.Settings
	path     string
}

// fleet is three control instances and routers that know the former as seeds.
type fleet struct {
	*WithT
	t        *testing.T
	dir      string
	controls []*machine
	routers  []*machine
	client   *http.Client
	subnet   int
	attempts atomic.Int64
}

// lastSubnet keeps the addresses of a test's fleets apart.
var lastSubnet atomic.Int32

func startFleet(t *testing.T, routers int) *fleet {
	t.Helper()
	f := newFleet(t, routers)
	f.start()
	return f
}

// startRelayedFleet returns a fleet whose control instances are reached by the others
// through relays, one each.
func startRelayedFleet(t *testing.T, routers int) (*fleet, []*testcluster.Relay) {
	t.Helper()
	f := newFleet(t, routers)
	var relays []*testcluster.Relay
	for _, m := range f.all() {
		// All daemons are known at one port; what listens there is the relay.
		m.settings.Join.Address = m.settings.Listen.Peers
		ip, _, err := net.SplitHostPort(m.settings.Listen.Peers)
		f.Expect(err).NotTo(HaveOccurred())
		m.settings.Listen.Peers = ip + ":" + f.freePort(f.subnet)
		f.prepare(m)
	}
	for _, m := range f.controls {
		relay, err := testcluster.NewRelayAt(m.settings.Join.Address, m.settings.Listen.Peers)
		f.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(relay.Close)
		relays = append(relays, relay)
	}
	f.start()
	return f, relays
}

func newFleet(t *testing.T, routers int) *fleet {
	t.Helper()
	subnet := int(lastSubnet.Add(1)) + os.Getpid()%100*2
	f := &fleet{WithT: NewWithT(t), t: t, dir: t.TempDir(), client: &http.Client{Timeout: 5 * time.Second}, subnet: subnet}
	peers, operators := f.freePort(subnet), f.freePort(subnet)
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("127.%d.0.%d:%s", subnet, i+1, operators))
	}
	for i := range 3 + routers {
		ip := fmt.Sprintf("127.%d.0.%d", subnet, i+1)
		m := &machine{settings: settings.Settings{
			Instance: fmt.Sprint("core-", i+1), FailureDomain: fmt.Sprint("zone-", i%3), Adapter: platform.Name,
			NameSchemes: []api.Scheme{"site"}, Join: &settings.Join{Seeds: seeds, Bootstrap: true},
			Listen: settings.Listen{Peers: ip + ":" + peers, Platform: ip + ":" + f.freePort(subnet)},
		}}
		if i < 3 {
			m.settings.Roles = []settings.Role{settings.RoleControl}
			m.settings.DataDir = filepath.Join(f.dir, m.settings.Instance)
			m.settings.Listen.Operators = ip + ":" + operators
			m.settings.Timeouts.HeartbeatMS = 250
			f.controls = append(f.controls, m)
		} else {
			m.settings.Instance = fmt.Sprint("front-", i-2)
			m.settings.Roles = []settings.Role{settings.RoleRouter}
			m.settings.Listen.Callers = ip + ":" + f.freePort(subnet)
			m.settings.Timeouts = settings.Timeouts{DrainMS: 7600, AnnounceMS: 1000}
			f.routers = append(f.routers, m)
		}
		f.prepare(m)
	}
	return f
}

func (f *fleet) start() {
	for _, m := range f.all() {
		f.Expect(m.Start()).To(Succeed())
	}
	f.t.Cleanup(func() {
		for _, m := range f.all() {
			_ = m.Kill()
		}
	})
}

// freePort returns a port that is free on a loopback address of the subnet.
func (f *fleet) freePort(subnet int) string {
	f.t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", subnet))
	f.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	f.Expect(err).NotTo(HaveOccurred())
	return port
}

// prepare writes the settings file of a machine and sets its process up.
func (f *fleet) prepare(m *machine) {
	f.t.Helper()
	f.writeSettings(m)
	m.Process = testcluster.NewProcess(f.dir, m.settings.Instance, "serve", "-settings", m.path)
}

func (f *fleet) writeSettings(m *machine) {
	f.t.Helper()
	raw, err := json.Marshal(&m.settings)
	f.Expect(err).NotTo(HaveOccurred())
	m.path = filepath.Join(f.dir, m.settings.Instance+".json")
	f.Expect(os.WriteFile(m.path, raw, 0o600)).To(Succeed())
}

func (f *fleet) all() []*machine { return append(append([]*machine(nil), f.controls...), f.routers...) }

// config returns a configuration with the routes of the pages' kinds.
func (f *fleet) config(version uint64, timeoutMs int) string {
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":"/%s/","Kind":%q,"TimeoutMs":%d,"SloMs":300,"Priority":0,`+
			`"Service":%q,"MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false,"GapSloMs":300}`, name, host, name, kind, timeoutMs, service)
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s,%s],"Services":[{"Name":"app","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},`+
		`"Tenants":[{"Name":"tenant","ApiKeys":[%q],"Priority":1}]}`, version, route("debit", "unsafe", "app"), route("look", "safe", "app"), apiKey)
}

// call sends a request to a control instance.
func (f *fleet) call(m *machine, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+m.settings.Listen.Operators+path, strings.NewReader(body))
	f.Expect(err).NotTo(HaveOccurred())
	response, err := f.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(raw)
}

// configure sends a configuration until an instance acknowledges it.
func (f *fleet) configure(source string) {
	f.t.Helper()
	i := 0
	f.Eventually(func() int {
		status, _ := f.call(f.controls[i%len(f.controls)], http.MethodPut, "/config", source)
		i++
		return status
	}, testcluster.WaitTimeout, 50*time.Millisecond).Should(Equal(http.StatusOK))
}

// awaitControls waits until every control instance returns the configuration in force.
// An acknowledgment shows only that a majority is up: the remaining instance may not
// listen yet, and a request that is sent to it once fails.
func (f *fleet) awaitControls() {
	f.t.Helper()
	for _, control := range f.controls {
		f.Eventually(func() int {
			status, _ := f.call(control, http.MethodGet, "/config", "")
			return status
		}, testcluster.WaitTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK), control.settings.Instance)
	}
}

// ask sends a client's request to a router.
func (f *fleet) ask(m *machine, method, path string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, "http://"+m.settings.Listen.Callers+path, bytes.NewReader([]byte("body")))
	f.Expect(err).NotTo(HaveOccurred())
	r.Host = host
	r.Header.Set("Peridotwinch-Attempt-Id", fmt.Sprintf("%016x", f.attempts.Add(1)))
	r.Header.Set("Peridotwinch-Request-Deadline", "1500")
	r.Header.Set("Peridotwinch-Tenant-Name", "someone-else")
	r.Header.Set("Authorization", "Token "+apiKey)
	response, err := f.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response, string(raw), err
}

// serves waits until a router answers a request on the path with 200.
func (f *fleet) serves(m *machine, path string) {
	f.t.Helper()
	f.Eventually(func() int {
		response, _, err := f.ask(m, http.MethodPost, path)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}, testcluster.WaitTimeout, 50*time.Millisecond).Should(Equal(http.StatusOK))
}

// mode is how a worker answers; by default as it should.
type mode int

const (
	// modeClose reads the request and closes the connection.
	modeClose mode = iota + 1
	// modeCutStream begins a stream and breaks it off inside the third event.
	modeCutStream
)

// worker is a stand-in of a worker that announces itself to the control instances.
type worker struct {
	id, service, address string
	server               *http.Server

	mu       sync.Mutex
	requests []*http.Request
	mode     mode
	state    string
	seq      int
	stop     chan struct{}
}

func (f *fleet) startWorker(id string) *worker {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	w := &worker{id: id, service: "app", address: listener.Addr().String(), state: "ready", stop: make(chan struct{})}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	go w.announce(f)
	f.t.Cleanup(func() {
		close(w.stop)
		_ = w.server.Close()
	})
	return w
}

func (w *worker) handle(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	w.requests = append(w.requests, r)
	mode := w.mode
	w.mu.Unlock()
	if mode == modeClose {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Peridotwinch-Attempt-Id", r.Header.Get("Peridotwinch-Attempt-Id"))
	if expected := r.Header.Get("Peridotwinch-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Peridotwinch-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	out.Header().Set("Peridotwinch-Server-Stamp", "stamp-"+w.id)
	if mode == modeCutStream {
		out.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(out, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
		_ = http.NewResponseController(out).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, "from "+w.id)
}

func (w *worker) ran() []*http.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*http.Request(nil), w.requests...)
}

// announce sends heartbeats to one control instance after the other.
func (w *worker) announce(f *fleet) {
	for i := 0; ; i++ {
		status, _ := w.beat(f, f.controls[i%len(f.controls)])
		pause := 200 * time.Millisecond
		if status != http.StatusOK {
			pause = 20 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) beat(f *fleet, to *machine) (int, string) {
	w.mu.Lock()
	w.seq++
	body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"zone-0","Version":"v1","Slots":6,"State":%q,"ColdLeftMs":0,"Seq":%d,"born":1000,"New":"field"}`,
		w.service, w.address, w.state, w.seq)
	w.mu.Unlock()
	return f.call(to, http.MethodPut, "/instances/"+w.id, body)
}

func (w *worker) setMode(m mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
}

func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}
