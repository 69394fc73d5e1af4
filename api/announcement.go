package api

import "net/netip"

// ServerState is the state that a backend server announces.
type ServerState string

// States of a backend server.
const (
	ServerServing  ServerState = "serving"
	ServerDraining ServerState = "draining"
)

// Announcement is the report that a backend server posts to a router of its failure domain
// about every second.
type Announcement struct {
	// Address is the IP address and port at which the server accepts requests.
	Address string `json:"address"`
	// Incarnation increases with each start of the server.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64      `json:"sequence"`
	Pool     Ref         `json:"pool"`
	Models   []string    `json:"models,omitempty"`
	State    ServerState `json:"state"`
	// Slots is the number of requests that the server processes concurrently, at least 1.
	Slots int `json:"slots"`
	// Load is the number of requests on the server when it created the announcement.
	Load int `json:"load"`
	// ChecksFencing is true if the server refuses orders with an old fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// CacheEvents are the latest changes of the server's prefix cache.
	CacheEvents []CacheEvent `json:"cacheEvents,omitempty"`
}

// CacheEvent reports that the prefix of a chat was added to a prefix cache, or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Chat     string `json:"chat"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Validate returns an error for the first field that is not valid, or nil.
func (a *Announcement) Validate() *Error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return FieldErrorf(CodeAnnouncement, "address", "not an IP address and port: %q", a.Address)
	}
	if a.Pool == "" {
		return FieldErrorf(CodeAnnouncement, "pool", "missing")
	}
	if a.State != ServerServing && a.State != ServerDraining {
		return FieldErrorf(CodeAnnouncement, "state", "must be %q or %q, not %q", ServerServing, ServerDraining, a.State)
	}
	if a.Slots < 1 {
		return FieldErrorf(CodeAnnouncement, "slots", "must be at least 1: %d", a.Slots)
	}
	return nil
}
