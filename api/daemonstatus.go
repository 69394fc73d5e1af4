package api

// DaemonStatus describes a daemon as it sees itself.
type DaemonStatus struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	// State is that of the daemon chart: starting, serving, draining or stopped.
	State   string                `json:"state"`
	Router  *RouterSelfStatus     `json:"router,omitempty"`
	Control *ControlStatus        `json:"control,omitempty"`
	Ledger  []LedgerReplicaStatus `json:"ledger,omitempty"`
	// Degraded lists what does not work as it should.
	Degraded []*Error `json:"degraded,omitempty"`
}

// Degrade adds something that does not work as it should.
func (s *DaemonStatus) Degrade(code Code, field, format string, args ...any) {
	s.Degraded = append(s.Degraded, FieldErrorf(code, field, format, args...))
}

// RouterSelfStatus describes the router role of a daemon.
type RouterSelfStatus struct {
	// Revision is the configuration revision that the router applies.
	Revision uint64       `json:"revision"`
	Pools    []PoolStatus `json:"pools"`
}

// PoolStatus counts the backend servers of a pool that a router knows, under
// the name that they announce.
type PoolStatus struct {
	Pool     Ref `json:"pool"`
	Serving  int `json:"serving"`
	Draining int `json:"draining"`
	Silent   int `json:"silent"`
	Slots    int `json:"slots"`
	Load     int `json:"load"`
}

// LedgerReplicaStatus describes a replica of a ledger group.
type LedgerReplicaStatus struct {
	Group      string   `json:"group"`
	Active     bool     `json:"active"`
	Generation uint64   `json:"generation"`
	Epoch      uint64   `json:"epoch"`
	Members    []string `json:"members"`
	Records    int      `json:"records"`
}
