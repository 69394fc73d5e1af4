package settings

// Slots configures how routers that join by seeds use the slots of small pools of backend servers.
type Slots struct {
	// Shared is set if one router, which control names, grants the slots of each pool of up to 32
	// servers without engines to all routers; false by default. Routers without the setting, and
	// those of daemons that also have the role control, decide alone.
	Shared bool `json:"shared,omitempty"`
}
