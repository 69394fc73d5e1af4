package api

import "net/netip"

// ServerState is what a backend server says of itself.
type ServerState string

// States of a backend server.
const (
	ServerServing  ServerState = "serving"
	ServerDraining ServerState = "draining"
)

// Announcement is what a backend server posts to a router of its failure
// domain about every second.
type Announcement struct {
	// Address is the IP address and port at which the server takes requests.
	Address string `json:"address"`
	// Incarnation grows with each start of the server.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64      `json:"sequence"`
	Pool     Ref         `json:"pool"`
	Models   []string    `json:"models,omitempty"`
	State    ServerState `json:"state"`
	// Slots is how many requests the server works on at once.
	Slots int `json:"slots"`
	// Load is how many requests the server held when it made the report.
	Load int `json:"load"`
	// ChecksFencing says that the server refuses orders with an old fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// CacheEvents tells of prefixes that entered or left the server's cache.
	CacheEvents []CacheEvent `json:"cacheEvents,omitempty"`
}

// CacheEvent tells that a chat's prefix entered or left a prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Chat     string `json:"chat"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Validate returns the first field that is not valid, or nil.
func (a *Announcement) Validate() *Error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return FieldErrorf(CodeAnnouncement, "address", "not an IP address and port: %q", a.Address)
	}
	if a.Pool == "" {
		return FieldErrorf(CodeAnnouncement, "pool", "missing")
	}
	if a.State != ServerServing && a.State != ServerDraining {
		return FieldErrorf(CodeAnnouncement, "state", "neither %q nor %q: %q", ServerServing, ServerDraining, a.State)
	}
	if a.Slots < 1 {
		return FieldErrorf(CodeAnnouncement, "slots", "below 1: %d", a.Slots)
	}
	return nil
}
