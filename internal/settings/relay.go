package settings

// Relay bounds how many routers follow one process for the route table and the servers.
type Relay struct {
	// MaxDirect is the number of routers up to which a control instance serves every router
	// itself; 8 by default, 1 to 64.
	MaxDirect int `json:"maxDirect,omitempty"`
	// PerDomain is the number of routers of a failure domain that a control instance serves
	// itself beyond maxDirect; it redirects the others to them. 2 by default, 1 to 16.
	PerDomain int `json:"perDomain,omitempty"`
	// MaxFollowers is the number of routers that a router serves before it redirects others to
	// these; 16 by default, 1 to 64.
	MaxFollowers int `json:"maxFollowers,omitempty"`
}

// Defaults and bounds of the settings of relays.
const (
	DefaultMaxDirect    = 8
	DefaultPerDomain    = 2
	DefaultMaxFollowers = 16
	// MaxStreams is the largest number of routers that one process serves.
	MaxStreams   = 64
	maxPerDomain = 16
)

// Direct returns the number of routers that a control instance always serves itself.
func (r Relay) Direct() int { return countOrDefault(r.MaxDirect, DefaultMaxDirect) }

// DomainRelays returns the number of relays of a failure domain at a control instance.
func (r Relay) DomainRelays() int { return countOrDefault(r.PerDomain, DefaultPerDomain) }

// Followers returns the number of routers that a router serves.
func (r Relay) Followers() int { return countOrDefault(r.MaxFollowers, DefaultMaxFollowers) }

func countOrDefault(count, defaultValue int) int {
	if count == 0 {
		return defaultValue
	}
	return count
}

func (v *validator) relay(r Relay) {
	v.count("relay.maxDirect", r.MaxDirect, MaxStreams)
	v.count("relay.perDomain", r.PerDomain, maxPerDomain)
	v.count("relay.maxFollowers", r.MaxFollowers, MaxStreams)
}

// count adds an error unless the value is 0, which selects the default, or from 1 to limit.
func (v *validator) count(field string, value, limit int) {
	if value < 0 || value > limit {
		v.add(field, "must be from 1 to %d, or 0 for the default: %d", limit, value)
	}
}
