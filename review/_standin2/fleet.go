// Command standin2 holds the cases 6 to 10 of the second review: it starts the daemons of the
// deploy file as processes of their own and acts as their platform, workers, clients and operator.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and limits of the deployment: those of the small sites, from their pages.
const (
	host       = "gate.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	memoryMB   = 284  // MemoryMb of a front machine
	drainMS    = 2000 // DrainMs
	contactMS  = 3000 // ContactMs
	heartbeat  = 1200 * time.Millisecond
	maxBody    = 4194304 // Limits.MaxBodyBytes
	startLimit = 20 * time.Second
)

// recorder writes record.txt: one line for each event, with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is a daemon at a loopback address of its own.
type machine struct {
	name, ip, settings string
	operators, callers string
	ready              string
	env                []string
	log                *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// fleet is three control daemons and some routers.
type fleet struct {
	dir      string
	record   *recorder
	controls []*machine
	routers  []*machine
	client   *http.Client
	subnet   string
	// ports has the ports of peers, platform, operators and callers, the same on all machines.
	ports []string
	seeds []string
}

// newFleet writes the settings that deploy/*.json.tmpl render for a small site.
func newFleet(record *recorder, routers int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: record, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	f.subnet = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	f.ports = make([]string, 4)
	for i := range f.ports {
		if f.ports[i], err = freePort(f.subnet+".1", f.ports[:i]); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("%s.%d:%s", f.subnet, i+1, f.ports[2]))
	}
	for i := range 3 {
		m, err := f.newMachine(fmt.Sprint("core-", i+1), i+1)
		if err != nil {
			return nil, err
		}
		if err := f.writeControl(m, true); err != nil {
			return nil, err
		}
		f.controls = append(f.controls, m)
	}
	for i := range routers {
		m, err := f.newMachine(fmt.Sprint("front-", i+1), i+4)
		if err != nil {
			return nil, err
		}
		if err := f.writeRouter(m, i); err != nil {
			return nil, err
		}
		f.routers = append(f.routers, m)
	}
	return f, nil
}

func (f *fleet) newMachine(name string, host int) (*machine, error) {
	ip := fmt.Sprintf("%s.%d", f.subnet, host)
	m := &machine{name: name, ip: ip, ready: ip + ":" + f.ports[1], settings: filepath.Join(f.dir, name+".json")}
	m.env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "PERIDOTWINCH_SETTINGS=" + m.settings}
	var err error
	m.log, err = os.Create(filepath.Join(f.dir, name+".log"))
	return m, err
}

// common returns the settings that both templates have.
func (f *fleet) common(m *machine, zone int, role string, listen object) object {
	listen["platform"], listen["peers"] = m.ready, m.ip+":"+f.ports[0]
	return object{
		"instance": m.name, "failureDomain": fmt.Sprintf("pwani-%c", 'a'+zone%3), "region": "pwani", "roles": []string{role},
		"adapter": "platform", "nameSchemes": []string{"site"}, "listen": listen,
	}
}

// writeControl writes what deploy/control.json.tmpl renders.
func (f *fleet) writeControl(m *machine, bootstrap bool) error {
	m.operators = m.ip + ":" + f.ports[2]
	s := f.common(m, int(m.ip[len(m.ip)-1]-'1'), "control", object{"operators": m.operators})
	s["dataDir"] = filepath.Join(f.dir, m.name)
	s["link"], s["timeouts"] = object{"mbitPerSecond": 6}, object{"heartbeatMs": 400}
	s["domains"] = []string{"pwani-a", "pwani-b", "pwani-c"}
	s["join"] = object{"seeds": f.seeds, "bootstrap": bootstrap}
	return writeJSON(m.settings, s)
}

// writeRouter writes what deploy/router.json.tmpl renders.
func (f *fleet) writeRouter(m *machine, zone int) error {
	m.callers = m.ip + ":" + f.ports[3]
	s := f.common(m, zone, "router", object{"callers": m.callers})
	s["link"], s["join"] = object{"mbitPerSecond": 1000}, object{"seeds": f.seeds}
	s["slots"], s["streams"] = object{"shared": true, "minObjectiveMs": 250}, object{"transitMs": 120}
	s["warmup"], s["memory"] = object{"overage": 0, "slack": 0}, object{"gcPercent": 30}
	s["timeouts"] = object{"drainMs": 7600, "announceMs": 2800}
	return writeJSON(m.settings, s)
}

// addControl returns a core machine that is added to the running system: at a new address, with an
// empty disk.
func (f *fleet) addControl(host int) (*machine, error) {
	m, err := f.newMachine(fmt.Sprint("core-", host), host)
	if err != nil {
		return nil, err
	}
	return m, f.writeControl(m, false)
}

func writeJSON(path string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

func freePort(ip string, used []string) (string, error) {
	for {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		_ = listener.Close()
		taken := false
		for _, other := range used {
			taken = taken || other == port
		}
		if !taken {
			return port, nil
		}
	}
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = exec.Command("target/peridotwinch", "serve")
	m.cmd.Env, m.cmd.Stdout, m.cmd.Stderr = m.env, m.log, m.log
	// The daemon ends with this process, however that ends.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(m.cmd, m.ended)
	return nil
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (m *machine) signal(signal syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Signal(signal)
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of the process in MiB, or 0 if it has none.
func (m *machine) residentMB() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

func (f *fleet) all() []*machine { return append(append([]*machine(nil), f.controls...), f.routers...) }

func (f *fleet) start() error {
	for _, m := range f.all() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all daemons and removes their files. With KEEP set, it keeps them.
func (f *fleet) stop() {
	for _, m := range f.all() {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// call calls a control daemon.
func (f *fleet) call(m *machine, method, path string, body []byte) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+m.operators+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// configure sends a configuration to the control daemons in turn until one acknowledges it.
func (f *fleet) configure(config []byte) error {
	for i, end := 0, time.Now().Add(startLimit); time.Now().Before(end); i++ {
		if status, _, err := f.call(f.controls[i%3], http.MethodPut, "/config", config); err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no control daemon acknowledged the configuration")
}

// awaitReady waits until every router says that it is ready, as the platform asks.
func (f *fleet) awaitReady() error {
	for _, m := range f.routers {
		for end := time.Now().Add(startLimit); ; {
			response, err := f.client.Get("http://" + m.ready + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
