// Package settings reads and checks the JSON settings of a daemon.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/jsonx"
)

// Role is a role of a daemon. A daemon runs one or several.
type Role string

// Roles of a daemon.
const (
	RoleRouter  Role = "router"
	RoleControl Role = "control"
	RoleLedger  Role = "ledger"
)

// Settings are the static settings of a daemon, decoded from its JSON file.
type Settings struct {
	// Instance is the daemon's name, unique in the system.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `json:"failureDomain"`
	// Region is the region of the failure domain.
	Region string `json:"region,omitempty"`
	// Roles are the daemon's roles, at least one of router, control and ledger.
	Roles []Role `json:"roles"`
	// DataDir is the data directory; required for the roles control and ledger. A router
	// without one does not cache its configuration on disk.
	DataDir string `json:"dataDir,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error; info by default.
	LogLevel string `json:"logLevel,omitempty"`
	// NameSchemes are the naming schemes that resources may use, at least one.
	NameSchemes []api.Scheme `json:"nameSchemes"`
	Listen      Listen       `json:"listen"`
	Peers       []Peer       `json:"peers,omitempty"`
	// Join is set if the daemons discover each other through seeds; peers must then be empty.
	Join *Join `json:"join,omitempty"`
	// Adapter is the name of the protocol of callers, backend servers and operators;
	// empty for the product's own protocol.
	Adapter string `json:"adapter,omitempty"`
	// LedgerShards are the ledger replicas of each shard of customers' keys, 3 or 5
	// per shard, each in a different failure domain; if empty, all replicas form one group.
	LedgerShards [][]string `json:"ledgerShards,omitempty"`
	Timeouts     Timeouts   `json:"timeouts"`
	Routing      Routing    `json:"routing"`
	Memory       Memory     `json:"memory"`
	Link         Link       `json:"link"`
	Relay        Relay      `json:"relay"`
	Streams      Streams    `json:"streams"`
	// Domains are the failure domains that can be evacuated; those of the announced backend
	// servers if empty.
	Domains []string `json:"domains,omitempty"`
	// Warmup bounds the requests to backend servers that are warming up.
	Warmup  Warmup  `json:"warmup"`
	Prefill Prefill `json:"prefill"`
	Slots   Slots   `json:"slots"`
}

// Listen holds the addresses that a daemon listens on, each an IP address and port.
type Listen struct {
	// Callers is the address for callers' requests; required for the role router.
	Callers string `json:"callers,omitempty"`
	// Backends is the address for announcements of backend servers; required for
	// the role router unless join is set.
	Backends string `json:"backends,omitempty"`
	// Operators is the address of the resource API; required for the role control.
	Operators string `json:"operators,omitempty"`
	// Peers is the address for RPCs of other daemons.
	Peers string `json:"peers"`
	// Platform is the address for health probes and metrics.
	Platform string `json:"platform"`
}

// Peer describes a daemon of the system. The list of peers includes the daemon itself.
type Peer struct {
	// Instance is the daemon's name, unique among the peers.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `json:"failureDomain"`
	// Region is the region of the failure domain.
	Region string `json:"region,omitempty"`
	// Address is the address for RPCs.
	Address string `json:"address"`
	// Callers is the address for requests that another router forwards; required for the
	// role router.
	Callers string `json:"callers,omitempty"`
	// Roles are the daemon's roles.
	Roles []Role `json:"roles"`
}

// HasRole reports whether the peer has the role.
func (p Peer) HasRole(role Role) bool { return slices.Contains(p.Roles, role) }

// Timeouts are timeouts and intervals in milliseconds; zero selects the default.
type Timeouts struct {
	// ProgressMS is the longest time that a backend server may take between two signs of
	// progress on a request; 10 s by default.
	ProgressMS int `json:"progressMs,omitempty"`
	// DrainMS is the timeout of a graceful shutdown; 60 s by default.
	DrainMS int `json:"drainMs,omitempty"`
	// HeartbeatMS is the interval between two heartbeats of a daemon; 500 ms by default.
	HeartbeatMS int `json:"heartbeatMs,omitempty"`
	// SilenceMS is the time without an announcement after which a backend server is
	// considered unavailable; 3 s by default.
	SilenceMS int `json:"silenceMs,omitempty"`
	// QueueMS is the longest time that a request waits in the queue for a free slot; 2 s
	// by default.
	QueueMS int `json:"queueMs,omitempty"`
	// AnnounceMS is the time on a shutdown from when the readiness probe starts to fail until
	// the callers' listener is closed; 500 ms by default.
	AnnounceMS int `json:"announceMs,omitempty"`
	// RetentionMS is how long the ledger retains a finished request key; 24 h by default.
	RetentionMS int `json:"retentionMs,omitempty"`
}

// Policy is the name of a policy that selects backend servers.
type Policy string

// Routing policies. The product's policy has the empty name; the others are
// baselines to compare it with.
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
	// Policy is the name of a baseline policy: random, round_robin, least_in_flight, rendezvous
	// or two_choices; empty for the product's policy.
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

// Drain returns the timeout of a graceful shutdown.
func (t Timeouts) Drain() time.Duration { return orDefault(t.DrainMS, DefaultDrain) }

// Heartbeat returns the interval between two heartbeats.
func (t Timeouts) Heartbeat() time.Duration { return orDefault(t.HeartbeatMS, DefaultHeartbeat) }

// Silence returns the time without an announcement after which a backend server is
// considered unavailable.
func (t Timeouts) Silence() time.Duration { return orDefault(t.SilenceMS, DefaultSilence) }

// Queue returns the longest time that a request waits in the queue for a free slot.
func (t Timeouts) Queue() time.Duration { return orDefault(t.QueueMS, DefaultQueue) }

// Announce returns how long a draining router still accepts new connections.
func (t Timeouts) Announce() time.Duration { return orDefault(t.AnnounceMS, DefaultAnnounce) }

// Retention returns how long the ledger retains a finished request key.
func (t Timeouts) Retention() time.Duration { return orDefault(t.RetentionMS, DefaultRetention) }

func orDefault(ms int, defaultValue time.Duration) time.Duration {
	if ms == 0 {
		return defaultValue
	}
	return time.Duration(ms) * time.Millisecond
}

// HasRole reports whether this daemon has the role.
func (s *Settings) HasRole(role Role) bool { return slices.Contains(s.Roles, role) }

// PeersWithRole returns all peers that have the role.
func (s *Settings) PeersWithRole(role Role) []Peer {
	var out []Peer
	for _, peer := range s.Peers {
		if peer.HasRole(role) {
			out = append(out, peer)
		}
	}
	return out
}

// Errors lists all errors of a settings file.
type Errors []*api.Error

// Error returns the messages, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first error, which carries the numbered code.
func (e Errors) Unwrap() error { return e[0] }

// Load reads and validates a settings file. It returns Errors if a field is not valid, and an
// *api.Error with CodeSettingsInvalid if the file cannot be read or decoded.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeSettingsInvalid, "%v", err)
	}
	return Parse(raw)
}

// Parse decodes and validates settings and refuses unknown fields. It returns Errors with
// every field that is not valid, and an *api.Error with CodeSettingsInvalid if raw cannot
// be decoded.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := jsonx.DecodeKnown(bytes.NewReader(raw), s); err != nil {
		return nil, api.TextError(api.CodeSettingsInvalid, "", err)
	}
	if errs := s.Validate(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// Validate returns an error for each field that is not valid.
func (s *Settings) Validate() Errors {
	v := &validator{}
	v.required("instance", s.Instance)
	v.required("failureDomain", s.FailureDomain)
	v.roles("roles", s.Roles)
	if len(s.NameSchemes) == 0 {
		v.add("nameSchemes", "at least one naming scheme is required")
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
	v.notNegative("memory.processMb", s.Memory.ProcessMB)
	v.notNegative("memory.requestsMb", s.Memory.RequestsMB)
	if s.Link.MBitPerSecond < 0 {
		v.add("link.mbitPerSecond", "must not be negative")
	}
	v.relay(s.Relay)
	v.streams(s.Streams)
	v.domains(s.Domains)
	v.warmup(s.Warmup)
	v.slots(s.Slots)
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
		v.add(field, "at least one role is required: router, control or ledger")
	}
	for i, role := range roles {
		if role != RoleRouter && role != RoleControl && role != RoleLedger {
			v.add(fmt.Sprintf("%s[%d]", field, i), "unknown role %q; want router, control or ledger", role)
		}
	}
}

func (v *validator) listen(s *Settings) {
	v.address("listen.peers", s.Listen.Peers)
	v.address("listen.platform", s.Listen.Platform)
	if s.HasRole(RoleRouter) {
		v.address("listen.callers", s.Listen.Callers)
		if s.Join == nil {
			// If join is set, backend servers send their announcements to control.
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
		v.add("dataDir", "required for the roles control and ledger")
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
			v.add(field+".instance", "duplicate instance %q", peer.Instance)
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
		v.add("routing.policy", "unknown routing policy %q; want \"\", random, round_robin, least_in_flight, rendezvous or two_choices", policy)
	}
}

func (v *validator) logLevel(level string) {
	if _, err := zerolog.ParseLevel(level); err != nil {
		v.add("logLevel", "unknown log level %q; want debug, info, warn or error", level)
	}
}

func (v *validator) notNegative(field string, value int) {
	if value < 0 {
		v.add(field, "must not be negative: %d", value)
	}
}
