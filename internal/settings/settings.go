// Package settings reads and checks the JSON settings of a daemon.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
)

// Role is a part that a daemon plays.
type Role string

// Roles of a daemon.
const (
	RoleRouter  Role = "router"
	RoleControl Role = "control"
	RoleLedger  Role = "ledger"
)

// Settings are the static settings of a daemon.
type Settings struct {
	// Instance is the daemon's name, unique in the system.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain that the instance stands in.
	FailureDomain string `json:"failureDomain"`
	// Region is the region of the failure domain.
	Region string `json:"region,omitempty"`
	// Roles are the parts that the daemon plays: router, control, ledger.
	Roles []Role `json:"roles"`
	// DataDir is the data folder; routers may do without one.
	DataDir string `json:"dataDir,omitempty"`
	// LogLevel is debug, info, warn or error; info by default.
	LogLevel string `json:"logLevel,omitempty"`
	// NameSchemes declares the naming schemes of the resources.
	NameSchemes []api.Scheme `json:"nameSchemes"`
	Listen      Listen       `json:"listen"`
	Peers       []Peer       `json:"peers,omitempty"`
	// Join is set where the daemons find each other by seeds; peers then stay empty.
	Join *Join `json:"join,omitempty"`
	// Adapter names the interface that callers, backend servers and operators
	// speak; the product's own where it is empty.
	Adapter string `json:"adapter,omitempty"`
	// LedgerShards names the ledger replicas of each shard of customers' keys, 3
	// or 5 in different failure domains; without any, all replicas are one group.
	LedgerShards [][]string `json:"ledgerShards,omitempty"`
	Timeouts     Timeouts   `json:"timeouts"`
	Routing      Routing    `json:"routing"`
	Memory       Memory     `json:"memory"`
	Link         Link       `json:"link"`
}

// Listen holds the addresses that a daemon listens on, each an IP address and port.
type Listen struct {
	// Callers takes callers' requests; a router needs it.
	Callers string `json:"callers,omitempty"`
	// Backends takes announcements of backend servers; a router needs it.
	Backends string `json:"backends,omitempty"`
	// Operators takes the resource API; a control instance needs it.
	Operators string `json:"operators,omitempty"`
	// Peers takes RPCs of other daemons.
	Peers string `json:"peers"`
	// Platform answers health probes and metrics.
	Platform string `json:"platform"`
}

// Peer is a daemon of the system, this one included.
type Peer struct {
	// Instance is the daemon's name.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain that the instance stands in.
	FailureDomain string `json:"failureDomain"`
	// Region is the region of the failure domain.
	Region string `json:"region,omitempty"`
	// Address takes RPCs.
	Address string `json:"address"`
	// Callers takes requests that another router forwards; routers need it.
	Callers string `json:"callers,omitempty"`
	// Roles are the parts that the daemon plays.
	Roles []Role `json:"roles"`
}

// HasRole reports whether the peer plays the role.
func (p Peer) HasRole(role Role) bool { return slices.Contains(p.Roles, role) }

// Timeouts are in milliseconds; zero takes the default.
type Timeouts struct {
	// ProgressMS bounds the time between two signs of progress of a backend server.
	ProgressMS int `json:"progressMs,omitempty"`
	// DrainMS bounds a graceful shutdown.
	DrainMS int `json:"drainMs,omitempty"`
	// HeartbeatMS is the time between two heartbeats of a daemon.
	HeartbeatMS int `json:"heartbeatMs,omitempty"`
	// SilenceMS is the time without an announcement after which a server counts as gone.
	SilenceMS int `json:"silenceMs,omitempty"`
	// QueueMS bounds the time that a request waits for a free slot.
	QueueMS int `json:"queueMs,omitempty"`
	// AnnounceMS is the time between the failing readiness probe and the closing
	// of the callers' listener on a shutdown.
	AnnounceMS int `json:"announceMs,omitempty"`
	// RetentionMS is how long the ledger remembers a finished request key.
	RetentionMS int `json:"retentionMs,omitempty"`
}

// Policy names a way to choose a backend server.
type Policy string

// Routing policies. The product's policy has the empty name; the others are
// baselines to measure it against.
const (
	PolicyProduct       Policy = ""
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
	PolicyRendezvous    Policy = "rendezvous"
	PolicyTwoChoices    Policy = "two_choices"
)

// Policies lists all routing policies, the product's first.
var Policies = []Policy{
	PolicyProduct, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyRendezvous, PolicyTwoChoices,
}

// Routing selects the routing policy.
type Routing struct {
	// Policy is empty for the product's policy or names a baseline.
	Policy Policy `json:"policy,omitempty"`
}

// Defaults of the timeouts.
const (
	DefaultProgress  = 10 * time.Second
	DefaultDrain     = 60 * time.Second
	DefaultHeartbeat = 500 * time.Millisecond
	DefaultSilence   = 3 * time.Second
	DefaultQueue     = 2 * time.Second
	DefaultAnnounce  = 500 * time.Millisecond
	DefaultRetention = 24 * time.Hour
)

// Progress returns the progress timeout.
func (t Timeouts) Progress() time.Duration { return orDefault(t.ProgressMS, DefaultProgress) }

// Drain returns the longest time that a graceful shutdown takes.
func (t Timeouts) Drain() time.Duration { return orDefault(t.DrainMS, DefaultDrain) }

// Heartbeat returns the time between two heartbeats.
func (t Timeouts) Heartbeat() time.Duration { return orDefault(t.HeartbeatMS, DefaultHeartbeat) }

// Silence returns the time after which a silent backend server counts as gone.
func (t Timeouts) Silence() time.Duration { return orDefault(t.SilenceMS, DefaultSilence) }

// Queue returns the longest time that a request waits for a free slot.
func (t Timeouts) Queue() time.Duration { return orDefault(t.QueueMS, DefaultQueue) }

// Announce returns the time for which a leaving router still takes connections.
func (t Timeouts) Announce() time.Duration { return orDefault(t.AnnounceMS, DefaultAnnounce) }

// Retention returns how long the ledger remembers a finished request key.
func (t Timeouts) Retention() time.Duration { return orDefault(t.RetentionMS, DefaultRetention) }

func orDefault(ms int, def time.Duration) time.Duration {
	if ms == 0 {
		return def
	}
	return time.Duration(ms) * time.Millisecond
}

// HasRole reports whether this daemon plays the role.
func (s *Settings) HasRole(role Role) bool { return slices.Contains(s.Roles, role) }

// PeersWithRole returns all peers that play the role.
func (s *Settings) PeersWithRole(role Role) []Peer {
	var out []Peer
	for _, peer := range s.Peers {
		if peer.HasRole(role) {
			out = append(out, peer)
		}
	}
	return out
}

// Errors lists all faults of a settings file.
type Errors []*api.Error

// Error implements error; it joins the messages, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first fault, which carries the numbered code.
func (e Errors) Unwrap() error { return e[0] }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeSettingsInvalid, "%v", err)
	}
	return Parse(raw)
}

// Parse decodes and checks settings. It returns Errors with every fault found.
func Parse(raw []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	s := &Settings{}
	if err := decoder.Decode(s); err != nil {
		return nil, decodeError(err)
	}
	if errs := s.Validate(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

func decodeError(err error) error {
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
		return api.FieldErrorf(api.CodeSettingsInvalid, typeErr.Field, "a %s does not fit", typeErr.Value)
	}
	if field, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return api.FieldErrorf(api.CodeSettingsInvalid, strings.Trim(field, `"`), "unknown field")
	}
	return api.Errorf(api.CodeSettingsInvalid, "%v", err)
}

// Validate returns every fault of the settings.
func (s *Settings) Validate() Errors {
	v := &validator{}
	v.required("instance", s.Instance)
	v.required("failureDomain", s.FailureDomain)
	v.roles("roles", s.Roles)
	if len(s.NameSchemes) == 0 {
		v.add("nameSchemes", "at least one is needed")
	}
	v.listen(s)
	v.dataDir(s)
	v.peers(s.Peers)
	v.join(s)
	v.ledgerShards(s)
	v.timeouts(s.Timeouts)
	v.policy(s.Routing.Policy)
	v.notNegative("memory.gcPercent", s.Memory.GCPercent)
	v.notNegative("memory.limitMb", s.Memory.LimitMB)
	if s.Link.MBitPerSecond < 0 {
		v.add("link.mbitPerSecond", "below 0")
	}
	v.logLevel(s.LogLevel)
	return v.errs
}

type validator struct{ errs Errors }

func (v *validator) add(field, format string, args ...any) {
	v.errs = append(v.errs, api.FieldErrorf(api.CodeSettingsInvalid, field, format, args...))
}

func (v *validator) required(field, value string) {
	if value == "" {
		v.add(field, "missing")
	}
}

func (v *validator) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.add(field, "not an IP address and port: %q", value)
	}
}

func (v *validator) roles(field string, roles []Role) {
	if len(roles) == 0 {
		v.add(field, "at least one is needed")
	}
	for i, role := range roles {
		if role != RoleRouter && role != RoleControl && role != RoleLedger {
			v.add(fmt.Sprintf("%s[%d]", field, i), "unknown role %q", role)
		}
	}
}

func (v *validator) listen(s *Settings) {
	v.address("listen.peers", s.Listen.Peers)
	v.address("listen.platform", s.Listen.Platform)
	if s.HasRole(RoleRouter) {
		v.address("listen.callers", s.Listen.Callers)
		if s.Join == nil {
			// Daemons that join by seeds take announcements at control.
			v.address("listen.backends", s.Listen.Backends)
		}
	}
	if s.HasRole(RoleControl) {
		v.address("listen.operators", s.Listen.Operators)
	}
}

func (v *validator) dataDir(s *Settings) {
	durable := s.HasRole(RoleControl) || s.HasRole(RoleLedger)
	if durable && s.DataDir == "" {
		v.add("dataDir", "the roles control and ledger need one")
	}
}

func (v *validator) peers(peers []Peer) {
	seen := make(map[string]bool, len(peers))
	for i, peer := range peers {
		field := fmt.Sprintf("peers[%d]", i)
		v.required(field+".instance", peer.Instance)
		v.required(field+".failureDomain", peer.FailureDomain)
		v.address(field+".address", peer.Address)
		if peer.HasRole(RoleRouter) {
			v.address(field+".callers", peer.Callers)
		}
		v.roles(field+".roles", peer.Roles)
		if seen[peer.Instance] {
			v.add(field+".instance", "%q stands twice", peer.Instance)
		}
		seen[peer.Instance] = true
	}
}

func (v *validator) timeouts(t Timeouts) {
	v.notNegative("timeouts.progressMs", t.ProgressMS)
	v.notNegative("timeouts.drainMs", t.DrainMS)
	v.notNegative("timeouts.heartbeatMs", t.HeartbeatMS)
	v.notNegative("timeouts.silenceMs", t.SilenceMS)
	v.notNegative("timeouts.queueMs", t.QueueMS)
	v.notNegative("timeouts.announceMs", t.AnnounceMS)
	v.notNegative("timeouts.retentionMs", t.RetentionMS)
}

func (v *validator) policy(policy Policy) {
	if !slices.Contains(Policies, policy) {
		v.add("routing.policy", "unknown policy %q", policy)
	}
}

func (v *validator) logLevel(level string) {
	if _, err := zerolog.ParseLevel(level); err != nil {
		v.add("logLevel", "unknown level %q", level)
	}
}

func (v *validator) notNegative(field string, value int) {
	if value < 0 {
		v.add(field, "below 0: %d", value)
	}
}
