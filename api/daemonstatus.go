package api

// DaemonStatus is the status that a daemon reports of itself.
type DaemonStatus struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	// State is the state of the daemon's state chart: starting, serving, draining or stopped.
	State   string                `json:"state"`
	Router  *RouterSelfStatus     `json:"router,omitempty"`
	Control *ControlStatus        `json:"control,omitempty"`
	Ledger  []LedgerReplicaStatus `json:"ledger,omitempty"`
	// Degraded lists the degraded conditions of the daemon.
	Degraded []*Error `json:"degraded,omitempty"`
}

// Degrade adds a degraded condition.
func (s *DaemonStatus) Degrade(code Code, field, format string, args ...any) {
	s.Degraded = append(s.Degraded, FieldErrorf(code, field, format, args...))
}

// RouterSelfStatus is the status that a router reports of itself.
type RouterSelfStatus struct {
	// Revision is the configuration revision that is in use at the router.
	Revision uint64       `json:"revision"`
	Pools    []PoolStatus `json:"pools"`
}

// PoolStatus counts the backend servers of a pool in a router's table, by state, with their
// total slots and load. Pool is the name that the servers announce.
type PoolStatus struct {
	Pool     Ref `json:"pool"`
	Serving  int `json:"serving"`
	Draining int `json:"draining"`
	Silent   int `json:"silent"`
	Slots    int `json:"slots"`
	Load     int `json:"load"`
}

// LedgerReplicaStatus is the status of a replica of a ledger group.
type LedgerReplicaStatus struct {
	Group      string   `json:"group"`
	Active     bool     `json:"active"`
	Generation uint64   `json:"generation"`
	Epoch      uint64   `json:"epoch"`
	Members    []string `json:"members"`
	Records    int      `json:"records"`
}
