package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small sites.
const (
	configApply = 2 * time.Second
	drain       = 2 * time.Second
)

// record is record.txt of the case.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.start).Seconds(), line)
}

// machine is a machine with one process of the system.
type machine struct {
	name, zone, ip string
	role           string
	front, ready   string
	control        string
	peers          string
	dataDir        string
	bootstrap      bool

	fleet   *fleet
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *record
	dir      string
	binary   string
	controls []*machine
	fronts   []*machine
	seeds    []any
	zones    map[string]any
	subnet   string
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun ends the program with status 2.
type cannotRun struct{ err error }

// newFleet returns a deployment with core machines and fronts in three zones.
func newFleet(rec *record, binary string, cores, fronts int) *fleet {
	dir, err := os.MkdirTemp("", "review3-")
	check(err)
	f := &fleet{rec: rec, dir: dir, binary: binary, zones: map[string]any{"zone-a": "region", "zone-b": "region", "zone-c": "region"}}
	f.subnet = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, time.Now().UnixNano()/1000%250+1)
	peerPort, controlPort := freePort(f.subnet+".1"), freePort(f.subnet+".1")
	internal := freePort(f.subnet + ".1")
	zoneNames := []string{"zone-a", "zone-b", "zone-c"}
	for i := range cores + fronts {
		ip := fmt.Sprintf("%s.%d", f.subnet, i+1)
		m := &machine{fleet: f, ip: ip, zone: zoneNames[i%3], peers: ip + ":" + peerPort, bootstrap: true}
		if i < cores {
			m.name, m.role, m.control = fmt.Sprintf("core-%d", i+1), "control", ip+":"+controlPort
			m.dataDir = filepath.Join(dir, m.name, "data")
			check(os.MkdirAll(m.dataDir, 0o755))
			m.ready = ip + ":" + internal
			f.controls = append(f.controls, m)
			if i < 3 {
				f.seeds = append(f.seeds, m.control)
			}
		} else {
			m.zone = zoneNames[(i-cores)%3]
			m.name, m.role = fmt.Sprintf("front-%d", i-cores+1), "router"
			m.front, m.ready = ip+":"+freePort(ip), ip+":"+freePort(ip)
			f.fronts = append(f.fronts, m)
		}
	}
	return f
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.controls...), f.fronts...)
}

func (f *fleet) start() {
	for _, m := range f.machines() {
		m.start()
	}
}

func (f *fleet) stop() {
	for _, m := range f.machines() {
		m.kill()
	}
	_ = os.RemoveAll(f.dir)
}

// writeSettings renders the template of the deploy file for the machine.
func (m *machine) writeSettings() string {
	class := "front"
	if m.role == "control" {
		class = "core"
	}
	port := func(address string) any {
		_, p, _ := net.SplitHostPort(address)
		return json.Number(p)
	}
	fields := map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Region": "region", "Zones": m.fleet.zones, "Ip": m.ip,
		"InternalPorts": []any{port(m.peers), port(m.ready)}, "Seeds": m.fleet.seeds, "Bootstrap": m.bootstrap,
		"Limits": map[string]any{"LinkMbps": map[string]any{"front": 1000.0, "core": 6.0}[class]},
		"Bounds": map[string]any{"PassMs": 120},
		"Listen": map[string]any{"Front": m.front, "ReadyAddr": m.ready, "Control": m.control}, "DataDir": m.dataDir,
	}
	template, err := os.ReadFile("deploy/" + m.role + ".json.tmpl")
	check(err)
	text := render(string(template), fields)
	path := filepath.Join(m.fleet.dir, m.name+".json")
	check(os.WriteFile(path, []byte(text), 0o644))
	return path
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	defer log.Close()
	c := exec.Command(m.fleet.binary, "serve")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTWINCH_SETTINGS=" + m.writeSettings()}
	if m.role == "control" {
		c.Env = append(c.Env, "PERIDOTWINCH_FAULT_TOLERANCE=1")
	} else {
		c.Env = append(c.Env, "PERIDOTWINCH_PROCESS_MEMORY_MB=284")
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c, ended
	m.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	c, ended := m.process, m.ended
	m.process = nil
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-ended
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range f.fronts {
		for !m.isReady() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", m.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// call makes one call to a control machine.
func call(m *machine, method, path, body string, timeout time.Duration) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+m.control+path, strings.NewReader(body))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Timeout: timeout, Transport: transport}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// put sends a configuration as the operator does, until it is acknowledged or a time has passed, and returns
// the acknowledging machine and when.
func (f *fleet) put(version int, config string, limit time.Duration) (*machine, time.Time) {
	deadline := time.Now().Add(limit)
	for i := version; time.Now().Before(deadline); i++ {
		m := f.controls[i%len(f.controls)]
		status, body, err := call(m, http.MethodPut, "/config", config, time.Second)
		if status == http.StatusOK {
			at := time.Now()
			f.rec.add("configuration %d acknowledged by %s", version, m.name)
			return m, at
		}
		f.rec.add("configuration %d at %s: %d %v %s", version, m.name, status, err, strings.TrimSpace(body))
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return nil, time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, time.Now()
}

func jsonText(value any) string {
	var out bytes.Buffer
	_ = json.NewEncoder(&out).Encode(value)
	return out.String()
}
