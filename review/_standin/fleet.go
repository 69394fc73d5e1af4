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
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes, apiKey the key of the only tenant.
const (
	host   = "gate.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// zones are those of the small Kilindi site.
var zones = []string{"pwani-a", "pwani-b", "pwani-c"}

// machine is a machine of the platform with its one process.
type machine struct {
	name, ip, zone, class string
	settingsPath, logPath string
	// seeds are the Control addresses of the settings; bootstrap is set at the first start of all.
	seeds     []string
	bootstrap bool
	cmd       *exec.Cmd
	exited    chan struct{}
}

// fleet is a small deployment: three core machines and some front machines.
type fleet struct {
	root, dir string
	ports     map[string]int
	subnet    int
	fronts    []*machine
	rec       *record

	mu sync.Mutex
	// cores are the core machines in the operator's list.
	cores []*machine
}

// coreList returns the core machines in the operator's list.
func (f *fleet) coreList() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*machine(nil), f.cores...)
}

// record is the account of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) *record {
	out, err := os.Create(path)
	if err != nil {
		cannotRun("create the record: %v", err)
	}
	return &record{out: out, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// stops are run before the program ends.
var stops []func()

func runStops() {
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	stops = nil
}

// cannotRun ends the program with the exit code of a case that could not run.
func cannotRun(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	runStops()
	os.Exit(2)
}

// cores is the number of core machines of the deployment.
const cores = 3

// newFleet prepares a deployment on a loopback subnet of its own. Ports are the same on all
// machines, as on the platform.
func newFleet(rec *record, fronts int) *fleet {
	root, err := os.Getwd()
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		cannotRun("%v", err)
	}
	stops = append(stops, func() { _ = os.RemoveAll(dir) })
	f := &fleet{root: root, dir: dir, rec: rec}
	for try := 0; ; try++ {
		subnet := 20 + (os.Getpid()+try*37)%200
		// Three more addresses are for machines that are added later.
		if f.choosePorts(subnet, cores+fronts+3) {
			f.addMachines(subnet, fronts)
			return f
		}
		if try > 50 {
			cannotRun("no free ports")
		}
	}
}

func ipOf(subnet, i int) string { return fmt.Sprintf("127.%d.0.%d", subnet, i+1) }

func (f *fleet) choosePorts(subnet, machines int) bool {
	f.ports = map[string]int{"front": 8227, "ready": 8220, "control": 8229, "internal0": 7340, "internal1": 7355}
	for i := range machines {
		for _, port := range f.ports {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ipOf(subnet, i), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) addMachines(subnet, fronts int) {
	f.subnet = subnet
	for i := range cores + fronts {
		class := "core"
		if i >= cores {
			class = "front"
		}
		m := f.newMachine(class, i)
		m.bootstrap = true
		if class == "core" {
			f.cores = append(f.cores, m)
		} else {
			f.fronts = append(f.fronts, m)
		}
	}
}

// newMachine returns the machine at the i-th address of the subnet.
func (f *fleet) newMachine(class string, i int) *machine {
	m := &machine{ip: ipOf(f.subnet, i), zone: zones[i%len(zones)], class: class, exited: make(chan struct{})}
	m.name = fmt.Sprintf("%s-%s-%d", class, m.zone, i/len(zones)+1)
	m.settingsPath, m.logPath = filepath.Join(f.dir, m.name+".json"), filepath.Join(f.dir, m.name+".log")
	return m
}

// seedsOf returns the Control addresses of some core machines.
func (f *fleet) seedsOf(cores []*machine) (out []string) {
	for _, core := range cores {
		out = append(out, fmt.Sprintf("%s:%d", core.ip, f.ports["control"]))
	}
	return out
}

// start renders the settings from the templates of the deploy file and starts all processes.
func (f *fleet) start() {
	for _, m := range append(f.coreList(), f.fronts...) {
		m.seeds = f.seedsOf(f.coreList())
		f.render(m)
		f.startMachine(m)
	}
}

// render fills in the template of the machine's role, as the platform does.
func (f *fleet) render(m *machine) {
	template := "deploy/router.json.tmpl"
	if m.class == "core" {
		template = "deploy/control.json.tmpl"
	}
	raw, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		cannotRun("%v", err)
	}
	seedList, _ := json.Marshal(m.seeds)
	text := regexp.MustCompile(`\{\{#Bounds\.PassMs\}\}(.*?)\{\{\.\}\}(.*?)\{\{/Bounds\.PassMs\}\}`).ReplaceAllString(string(raw), "${1}120${2}")
	text = regexp.MustCompile(`\{\{#Zones\}\}"\{\{@\}\}"\{\{,\}\}\{\{/Zones\}\}`).ReplaceAllString(text, zoneList(f.coreList()))
	text = regexp.MustCompile(`\{\{#Bounds\.Cold(Overage|Slack)\}\}.*?\{\{/Bounds\.Cold(Overage|Slack)\}\}`).ReplaceAllString(text, "")
	text = regexp.MustCompile(`\{\{\^Bounds\.Cold(Overage|Slack)\}\}(.*?)\{\{/Bounds\.Cold(Overage|Slack)\}\}`).ReplaceAllString(text, "${2}")
	linkMbps := "1000.0"
	if m.class == "core" {
		linkMbps = "6.0"
	}
	for placeholder, value := range map[string]string{
		"NodeName": m.name, "Zone": m.zone, "Region": "pwani", "Ip": m.ip, "DataDir": filepath.Join(f.dir, m.name),
		"Listen.Control": fmt.Sprintf("%s:%d", m.ip, f.ports["control"]), "Listen.Front": fmt.Sprintf("%s:%d", m.ip, f.ports["front"]),
		"Listen.ReadyAddr": fmt.Sprintf("%s:%d", m.ip, f.ports["ready"]),
		"InternalPorts.0":  fmt.Sprint(f.ports["internal0"]), "InternalPorts.1": fmt.Sprint(f.ports["internal1"]),
		"Limits.LinkMbps|json": linkMbps, "Seeds|json": string(seedList), "Bootstrap|json": fmt.Sprint(m.bootstrap),
	} {
		text = strings.ReplaceAll(text, "{{"+placeholder+"}}", value)
	}
	if strings.Contains(text, "{{") {
		cannotRun("%s has a placeholder that the stand-in does not know", template)
	}
	if err := os.WriteFile(m.settingsPath, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// zoneList returns the zones of the core machines, quoted and separated by commas.
func zoneList(cores []*machine) string {
	var zones []string
	for _, core := range cores {
		if zone := fmt.Sprintf("%q", core.zone); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return strings.Join(zones, ",")
}

// startMachine starts the process with the command of the deploy file.
func (f *fleet) startMachine(m *machine) {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	m.cmd = exec.Command("target/peridotwinch", "serve")
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = f.root, log, log
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "PERIDOTWINCH_SETTINGS=" + m.settingsPath}
	if err := m.cmd.Start(); err != nil {
		cannotRun("start %s: %v", m.name, err)
	}
	cmd, exited := m.cmd, make(chan struct{})
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	stops = append(stops, func() {
		_ = cmd.Process.Kill()
		<-exited
	})
}

func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

func (f *fleet) controlURL(m *machine) string {
	return fmt.Sprintf("http://%s:%d", m.ip, f.ports["control"])
}

func (f *fleet) readyURL(m *machine) string {
	return fmt.Sprintf("http://%s:%d/readyz", m.ip, f.ports["ready"])
}

func (f *fleet) frontAddress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports["front"]) }

// operator is the client of the operator and of the workers' registrations.
var operator = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{Proxy: nil}}

// call sends a call to a core machine; the status is 0 if there is no answer.
func (f *fleet) call(m *machine, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, f.controlURL(m)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		cannotRun("%v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := operator.Do(r)
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

// configure sends a configuration to one core machine after the other until it is acknowledged.
func (f *fleet) configure(config string) {
	for end := time.Now().Add(20 * time.Second); ; {
		for _, core := range f.coreList() {
			status, body := f.call(core, http.MethodPut, "/config", config)
			if status == http.StatusOK {
				f.rec.line("operator: PUT /config at %s acknowledged: %.60s...", core.name, config)
				return
			}
			if status >= 400 && status < 500 {
				cannotRun("configuration refused: %d %s", status, body)
			}
		}
		if time.Now().After(end) {
			cannotRun("configuration not acknowledged")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitReady waits until all front machines are ready.
func (f *fleet) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, m := range f.fronts {
		for {
			response, err := operator.Get(f.readyURL(m))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				cannotRun("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
