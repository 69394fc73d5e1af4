// Package testcluster starts a cluster of the product's processes on loopback for tests.
// Relays on the links between the daemons can close, blackhole, delay and lose traffic.
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
	// Late omits the daemon from the peers in the settings of daemons that are not late.
	Late bool `json:"late,omitempty"`
}

// BackendSpec describes a fake backend server of a deployment.
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
	// LedgerShards lists the instances of the ledger replicas of each shard.
	LedgerShards [][]string `json:"ledgerShards,omitempty"`
}

// Daemon is the process of a daemon with its settings.
type Daemon struct {
	*Process
	Settings settings.Settings
}

// Backend is the process of a fake backend server with its address.
type Backend struct {
	*Process
	Address string
}

// portName names a listener of a daemon that other daemons connect to.
type portName string

const (
	portPeers   portName = "peers"
	portCallers portName = "callers"
)

// link is a directed connection between two daemons.
type link struct {
	from, to string
	port     portName
}

// Cluster is a deployment on loopback. It is not safe for concurrent use; its processes
// are.
type Cluster struct {
	Dir      string
	Daemons  map[string]*Daemon
	Backends map[string]*Backend
	relays   map[link]*Relay
}

// New prepares a deployment with its settings, data and logs under dir. It starts the relays
// but no process.
func New(dir string, spec Spec) (*Cluster, error) {
	c := &Cluster{Dir: dir, Daemons: map[string]*Daemon{}, Backends: map[string]*Backend{}, relays: map[link]*Relay{}}
	for _, d := range spec.Daemons {
		if err := c.addDaemon(d, spec); err != nil {
			return nil, err
		}
	}
	for _, d := range spec.Daemons {
		if err := c.addPeers(c.Daemons[d.Instance], d.Late, spec.Daemons); err != nil {
			return nil, err
		}
		if err := c.WriteSettings(d.Instance); err != nil {
			return nil, err
		}
	}
	for _, backend := range spec.Backends {
		if err := c.addBackend(backend); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) addDaemon(daemon DaemonSpec, spec Spec) error {
	var addresses [5]string
	for i := range addresses {
		address, err := Address()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	region, _, _ := strings.Cut(daemon.FailureDomain, "-")
	c.Daemons[daemon.Instance] = &Daemon{
		Process: NewProcess(c.Dir, daemon.Instance, "serve", "-settings", c.settingsPath(daemon.Instance)),
		Settings: settings.Settings{
			Instance: daemon.Instance, FailureDomain: daemon.FailureDomain, Region: region, Roles: daemon.Roles,
			DataDir:     filepath.Join(c.Dir, daemon.Instance+".data"),
			NameSchemes: []api.Scheme{"engine", "model", "customer"},
			Listen: settings.Listen{
				Callers: addresses[0], Backends: addresses[1], Operators: addresses[2],
				Peers: addresses[3], Platform: addresses[4],
			},
			Timeouts: spec.Timeouts, Routing: spec.Routing, LedgerShards: spec.LedgerShards,
		},
	}
	return nil
}

func (c *Cluster) settingsPath(instance string) string {
	return filepath.Join(c.Dir, instance+".json")
}

// addPeers adds the daemons to the daemon's peers, with relays to all but itself. A daemon
// that is not late gets no peers that are late.
func (c *Cluster) addPeers(d *Daemon, late bool, daemons []DaemonSpec) error {
	for _, other := range daemons {
		if other.Late && !late {
			continue
		}
		listen := c.Daemons[other.Instance].Settings.Listen
		peers, err := c.addRelay(link{d.Name, other.Instance, portPeers}, listen.Peers)
		if err != nil {
			return err
		}
		callers, err := c.addRelay(link{d.Name, other.Instance, portCallers}, listen.Callers)
		if err != nil {
			return err
		}
		d.Settings.Peers = append(d.Settings.Peers, settings.Peer{
			Instance: other.Instance, FailureDomain: other.FailureDomain,
			Address: peers, Callers: callers, Roles: other.Roles,
		})
	}
	return nil
}

// WriteSettings writes a daemon's settings to the file that the daemon reads on startup.
func (c *Cluster) WriteSettings(name string) error {
	d := c.Daemons[name]
	raw, err := json.MarshalIndent(&d.Settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(c.settingsPath(d.Name), raw, 0o644), "write settings")
}

// addRelay adds a relay for the link and returns its address. A link from a daemon to
// itself has no relay: addRelay returns target.
func (c *Cluster) addRelay(l link, target string) (string, error) {
	if l.from == l.to {
		return target, nil
	}
	relay, err := NewRelay(target)
	if err != nil {
		return "", err
	}
	c.relays[l] = relay
	return relay.Address(), nil
}

func (c *Cluster) addBackend(spec BackendSpec) error {
	address, err := Address()
	if err != nil {
		return err
	}
	args := []string{"fake-backend", "-listen", address, "-pool", spec.Pool, "-announce", c.announceAddresses(spec.FailureDomain)}
	args = append(args, spec.Flags...)
	c.Backends[spec.Name] = &Backend{Process: NewProcess(c.Dir, spec.Name, args...), Address: address}
	return nil
}

// announceAddresses returns the announcement addresses of the failure domain's routers,
// separated by commas.
func (c *Cluster) announceAddresses(domain string) string {
	var routers []string
	for _, d := range c.Routers() {
		if d.Settings.FailureDomain == domain {
			routers = append(routers, d.Settings.Listen.Backends)
		}
	}
	return strings.Join(routers, ",")
}

// Routers returns the daemons with the router role, sorted by name.
func (c *Cluster) Routers() []*Daemon { return c.WithRole(settings.RoleRouter) }

// WithRole returns the daemons with a role, sorted by name.
func (c *Cluster) WithRole(role settings.Role) []*Daemon {
	var out []*Daemon
	for _, name := range sortedNames(c.Daemons) {
		if d := c.Daemons[name]; d.Settings.HasRole(role) {
			out = append(out, d)
		}
	}
	return out
}

// Start starts all processes except the named daemons.
func (c *Cluster) Start(without ...string) error {
	for _, name := range sortedNames(c.Daemons) {
		if slices.Contains(without, name) {
			continue
		}
		if err := c.Daemons[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range sortedNames(c.Backends) {
		if err := c.Backends[name].Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and closes the relays.
func (c *Cluster) Close() {
	for _, d := range c.Daemons {
		_ = d.Kill()
	}
	for _, backend := range c.Backends {
		_ = backend.Kill()
	}
	for _, relay := range c.relays {
		relay.Close()
	}
}

// SetLink sets the modes of the connections that one daemon opens to another: outbound for
// bytes towards the other daemon, inbound for bytes from it.
func (c *Cluster) SetLink(from, to string, outbound, inbound Mode) {
	for _, port := range []portName{portPeers, portCallers} {
		if relay := c.relays[link{from, to, port}]; relay != nil {
			relay.Set(outbound, inbound)
		}
	}
}

// SetDelay sets the one-way delay of all links between daemons.
func (c *Cluster) SetDelay(delay time.Duration) {
	for _, relay := range c.relays {
		relay.SetDelay(delay)
	}
}

// SetLoss sets the share, from 0 to 1, of lost segments on all links between daemons.
func (c *Cluster) SetLoss(share float64) {
	for _, relay := range c.relays {
		relay.SetLoss(share)
	}
}

// SetLinkBothWays sets the mode of both directions of every connection between two daemons.
func (c *Cluster) SetLinkBothWays(one, other string, mode Mode) {
	c.SetLink(one, other, mode, mode)
	c.SetLink(other, one, mode, mode)
}

// Isolate sets the mode of every connection between a daemon and all others.
func (c *Cluster) Isolate(name string, mode Mode) {
	for other := range c.Daemons {
		if other != name {
			c.SetLinkBothWays(name, other, mode)
		}
	}
}

// RemoveDataDir removes the data directory of a daemon, which must be stopped.
func (c *Cluster) RemoveDataDir(name string) error {
	return os.RemoveAll(c.Daemons[name].Settings.DataDir)
}

// WaitReady waits until the daemon's readiness probe succeeds. It returns the last error
// after WaitTimeout.
func (d *Daemon) WaitReady() error {
	return Eventually(func() error {
		resp, err := http.Get("http://" + d.Settings.Listen.Platform + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("readiness probe of %s: status %d", d.Name, resp.StatusCode)
		}
		return nil
	})
}

// Eventually calls check until it succeeds. It returns the last error of check after
// WaitTimeout.
func Eventually(check func() error) error {
	deadline := time.Now().Add(WaitTimeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func sortedNames[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
