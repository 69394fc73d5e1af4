// Package testcluster starts the product's processes on loopback for tests, with
// relays between the daemons that cut, swallow and delay.
package testcluster

import (
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// DaemonSpec describes a daemon of a deployment.
type DaemonSpec struct {
	Instance      string          `json:"instance"`
	FailureDomain string          `json:"failureDomain"`
	Roles         []settings.Role `json:"roles"`
	// Late leaves the daemon out of the settings of those that are not late.
	Late bool `json:"late,omitempty"`
}

// BackendSpec describes a stand-in backend server of a deployment.
type BackendSpec struct {
	Name          string   `json:"name"`
	FailureDomain string   `json:"failureDomain"`
	Pool          string   `json:"pool"`
	Flags         []string `json:"flags,omitempty"`
}

// Spec describes a deployment.
type Spec struct {
	Daemons  []DaemonSpec      `json:"daemons"`
	Backends []BackendSpec     `json:"backends"`
	Timeouts settings.Timeouts `json:"timeouts"`
	Routing  settings.Routing  `json:"routing"`
	// LedgerShards names the ledger replicas of each shard.
	LedgerShards [][]string `json:"ledgerShards,omitempty"`
}

// Daemon is a daemon with its addresses.
type Daemon struct {
	*Process
	Settings settings.Settings
}

// Backend is a stand-in backend server with its address.
type Backend struct {
	*Process
	Address string
}

// port names what a connection between daemons goes to.
type port string

const (
	portPeers   port = "peers"
	portCallers port = "callers"
)

// link is a directed connection between two daemons.
type link struct {
	from, to string
	port     port
}

// Cluster is a deployment on loopback. It is not safe for concurrent use, but its
// processes are.
type Cluster struct {
	Dir      string
	Daemons  map[string]*Daemon
	Backends map[string]*Backend
	relays   map[link]*Relay
}

// New prepares a deployment under dir; nothing is started yet.
func New(dir string, spec Spec) (*Cluster, error) {
	b := &Cluster{Dir: dir, Daemons: map[string]*Daemon{}, Backends: map[string]*Backend{}, relays: map[link]*Relay{}}
	for _, d := range spec.Daemons {
		if err := b.addDaemon(d, spec); err != nil {
			return nil, err
		}
	}
	for _, d := range spec.Daemons {
		if err := b.addPeers(b.Daemons[d.Instance], d.Late, spec.Daemons); err != nil {
			return nil, err
		}
		if err := b.WriteSettings(d.Instance); err != nil {
			return nil, err
		}
	}
	for _, backend := range spec.Backends {
		if err := b.addBackend(backend); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *Cluster) addDaemon(spec DaemonSpec, all Spec) error {
	var addresses [5]string
	for i := range addresses {
		address, err := Address()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	region, _, _ := strings.Cut(spec.FailureDomain, "-")
	b.Daemons[spec.Instance] = &Daemon{
		Process: NewProcess(b.Dir, spec.Instance, "serve", "-settings", b.settingsPath(spec.Instance)),
		Settings: settings.Settings{
			Instance: spec.Instance, FailureDomain: spec.FailureDomain, Region: region, Roles: spec.Roles,
			DataDir:     filepath.Join(b.Dir, spec.Instance+".data"),
			NameSchemes: []api.Scheme{"engine", "model", "customer"},
			Listen: settings.Listen{
				Callers: addresses[0], Backends: addresses[1], Operators: addresses[2],
				Peers: addresses[3], Platform: addresses[4],
			},
			Timeouts: all.Timeouts, Routing: all.Routing, LedgerShards: all.LedgerShards,
		},
	}
	return nil
}

func (b *Cluster) settingsPath(instance string) string {
	return filepath.Join(b.Dir, instance+".json")
}

// addPeers gives the daemon a relay towards each other daemon.
func (b *Cluster) addPeers(d *Daemon, late bool, all []DaemonSpec) error {
	for _, other := range all {
		if other.Late && !late {
			continue
		}
		listen := b.Daemons[other.Instance].Settings.Listen
		address, err := b.relayed(link{d.Name, other.Instance, portPeers}, listen.Peers)
		if err != nil {
			return err
		}
		callers, err := b.relayed(link{d.Name, other.Instance, portCallers}, listen.Callers)
		if err != nil {
			return err
		}
		d.Settings.Peers = append(d.Settings.Peers, settings.Peer{
			Instance: other.Instance, FailureDomain: other.FailureDomain,
			Address: address, Callers: callers, Roles: other.Roles,
		})
	}
	return nil
}

// WriteSettings writes a daemon's settings to the file that it reads when it starts.
func (b *Cluster) WriteSettings(name string) error {
	d := b.Daemons[name]
	raw, err := json.MarshalIndent(&d.Settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(b.settingsPath(d.Name), raw, 0o644), "write settings")
}

// relayed returns the address at which a daemon reaches another one.
func (b *Cluster) relayed(l link, target string) (string, error) {
	if l.from == l.to {
		return target, nil
	}
	relay, err := NewRelay(target)
	if err != nil {
		return "", err
	}
	b.relays[l] = relay
	return relay.Address(), nil
}

func (b *Cluster) addBackend(spec BackendSpec) error {
	address, err := Address()
	if err != nil {
		return err
	}
	args := []string{"fake-backend", "-listen", address, "-pool", spec.Pool, "-announce", b.announceTo(spec.FailureDomain)}
	args = append(args, spec.Flags...)
	b.Backends[spec.Name] = &Backend{Process: NewProcess(b.Dir, spec.Name, args...), Address: address}
	return nil
}

func (b *Cluster) announceTo(domain string) string {
	var routers []string
	for _, d := range b.Routers() {
		if d.Settings.FailureDomain == domain {
			routers = append(routers, d.Settings.Listen.Backends)
		}
	}
	return strings.Join(routers, ",")
}

// Routers returns the daemons with the router role, by name.
func (b *Cluster) Routers() []*Daemon { return b.WithRole(settings.RoleRouter) }

// WithRole returns the daemons with a role, by name.
func (b *Cluster) WithRole(role settings.Role) []*Daemon {
	var out []*Daemon
	for _, name := range sortedNames(b.Daemons) {
		if d := b.Daemons[name]; d.Settings.HasRole(role) {
			out = append(out, d)
		}
	}
	return out
}

// Start starts all processes but some daemons.
func (b *Cluster) Start(without ...string) error {
	for _, name := range sortedNames(b.Daemons) {
		if slices.Contains(without, name) {
			continue
		}
		if err := b.Daemons[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range sortedNames(b.Backends) {
		if err := b.Backends[name].Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and ends the relays.
func (b *Cluster) Close() {
	for _, d := range b.Daemons {
		_ = d.Kill()
	}
	for _, backend := range b.Backends {
		_ = backend.Kill()
	}
	for _, relay := range b.relays {
		relay.Close()
	}
}

// SetLink sets what happens on every connection that from opens to to.
func (b *Cluster) SetLink(from, to string, out, back Mode) {
	for _, port := range []port{portPeers, portCallers} {
		if relay := b.relays[link{from, to, port}]; relay != nil {
			relay.Set(out, back)
		}
	}
}

// SetDelay delays every read's bytes on every connection between daemons.
func (b *Cluster) SetDelay(delay time.Duration) {
	for _, relay := range b.relays {
		relay.SetDelay(delay)
	}
}

// SetLoss loses a share of the segments on every connection between daemons.
func (b *Cluster) SetLoss(share float64) {
	for _, relay := range b.relays {
		relay.SetLoss(share)
	}
}

// Cut sets both directions of every connection between two daemons.
func (b *Cluster) Cut(one, other string, mode Mode) {
	b.SetLink(one, other, mode, mode)
	b.SetLink(other, one, mode, mode)
}

// Isolate sets every connection between a daemon and all others.
func (b *Cluster) Isolate(name string, mode Mode) {
	for other := range b.Daemons {
		if other != name {
			b.Cut(name, other, mode)
		}
	}
}

// LoseDisk removes the data folder of a daemon that does not run.
func (b *Cluster) LoseDisk(name string) error {
	return os.RemoveAll(b.Daemons[name].Settings.DataDir)
}

// WaitReady waits until a daemon's readiness probe succeeds.
func (d *Daemon) WaitReady() error {
	return Eventually(func() error {
		resp, err := http.Get("http://" + d.Settings.Listen.Platform + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("%s: status %d", d.Name, resp.StatusCode)
		}
		return nil
	})
}

// Eventually tries until try succeeds, and returns its last error otherwise.
func Eventually(try func() error) error {
	deadline := time.Now().Add(WaitTimeout)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func sortedNames[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
