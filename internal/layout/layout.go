// Package layout generates the settings of every daemon from one inventory of instances.
package layout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/jsonx"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Port offsets from an instance's first port.
const (
	offsetCallers = iota
	offsetBackends
	offsetOperators
	offsetPeers
	offsetPlatform
)

// Instance is an instance of an inventory. Its listeners use consecutive ports from FirstPort.
type Instance struct {
	Instance      string          `json:"instance"`
	FailureDomain string          `json:"failureDomain"`
	Region        string          `json:"region,omitempty"`
	IP            string          `json:"ip"`
	FirstPort     uint16          `json:"firstPort"`
	Roles         []settings.Role `json:"roles"`
}

// Inventory lists the instances of a deployment.
type Inventory struct {
	NameSchemes []api.Scheme      `json:"nameSchemes"`
	DataRoot    string            `json:"dataRoot"`
	Timeouts    settings.Timeouts `json:"timeouts"`
	// LedgerShards assigns shards of customers' keys to ledger replicas; without it all
	// replicas form one group.
	LedgerShards LedgerShards `json:"ledgerShards"`
	Instances    []Instance   `json:"instances"`
}

// Load reads an inventory file and refuses unknown fields. It fails with CodeSettingsInvalid.
func Load(path string) (*Inventory, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeSettingsInvalid, "%v", err)
	}
	inventory := &Inventory{}
	if err := jsonx.DecodeKnown(bytes.NewReader(raw), inventory); err != nil {
		return nil, api.Errorf(api.CodeSettingsInvalid, "%s: %v", path, err)
	}
	return inventory, nil
}

// Settings returns the validated settings of every instance. It fails with
// CodeSettingsInvalid at the first instance whose settings are not valid.
func (v *Inventory) Settings() ([]*settings.Settings, error) {
	peers, err := v.peers()
	if err != nil {
		return nil, err
	}
	shards, err := v.shards(peers)
	if err != nil {
		return nil, err
	}
	out := make([]*settings.Settings, 0, len(v.Instances))
	for i, instance := range v.Instances {
		s := v.settingsOf(instance, peers)
		s.LedgerShards = shards
		if errs := s.Validate(); len(errs) > 0 {
			return nil, errors.Wrapf(errs, "instances[%d]", i)
		}
		out = append(out, s)
	}
	return out, nil
}

func (v *Inventory) peers() ([]settings.Peer, error) {
	peers := make([]settings.Peer, 0, len(v.Instances))
	for i, instance := range v.Instances {
		if _, err := netip.ParseAddr(instance.IP); err != nil {
			return nil, api.FieldErrorf(api.CodeSettingsInvalid, fmt.Sprintf("instances[%d].ip", i), "not an IP address: %q", instance.IP)
		}
		peer := settings.Peer{
			Instance: instance.Instance, FailureDomain: instance.FailureDomain, Region: instance.Region,
			Address: instance.address(offsetPeers), Roles: instance.Roles,
		}
		if peer.HasRole(settings.RoleRouter) {
			peer.Callers = instance.address(offsetCallers)
		}
		peers = append(peers, peer)
	}
	return peers, nil
}

func (v *Inventory) settingsOf(instance Instance, peers []settings.Peer) *settings.Settings {
	s := &settings.Settings{
		Instance: instance.Instance, FailureDomain: instance.FailureDomain, Region: instance.Region,
		Roles: instance.Roles, DataDir: filepath.Join(v.DataRoot, instance.Instance),
		NameSchemes: v.NameSchemes, Peers: peers, Timeouts: v.Timeouts,
		Listen: settings.Listen{Peers: instance.address(offsetPeers), Platform: instance.address(offsetPlatform)},
	}
	if s.HasRole(settings.RoleRouter) {
		s.Listen.Callers = instance.address(offsetCallers)
		s.Listen.Backends = instance.address(offsetBackends)
	}
	if s.HasRole(settings.RoleControl) {
		s.Listen.Operators = instance.address(offsetOperators)
	}
	return s
}

func (i Instance) address(offset uint16) string {
	return netip.AddrPortFrom(netip.MustParseAddr(i.IP), i.FirstPort+offset).String()
}

// Write writes a settings file INSTANCE.json for each instance into dir, which it creates if
// needed. It returns the paths of the files.
func Write(dir string, allSettings []*settings.Settings) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the output folder")
	}
	paths := make([]string, 0, len(allSettings))
	for _, s := range allSettings {
		raw, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return nil, errors.Wrap(err, "encode settings")
		}
		path := filepath.Join(dir, s.Instance+".json")
		if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		paths = append(paths, path)
	}
	return paths, nil
}
