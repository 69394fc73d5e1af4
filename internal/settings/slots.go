package settings

import "time"

// Slots configures how routers that join by seeds use the slots of small pools of backend servers.
type Slots struct {
	// Shared is set if one router, which control names, grants the slots of each pool of up to 32
	// servers without engines to all routers; false by default. Routers without the setting, and
	// those of daemons that also have the role control, decide alone.
	Shared bool `json:"shared,omitempty"`
	// MinObjectiveMS is the latency objective of a route, in milliseconds, from which its requests share slots;
	// 0 means all routes. With shorter objectives, the way to the coordinator can cost more than it gains.
	MinObjectiveMS int `json:"minObjectiveMs,omitempty"`
}

// MinObjective returns the latency objective from which requests share slots.
func (s Slots) MinObjective() time.Duration {
	return time.Duration(s.MinObjectiveMS) * time.Millisecond
}

func (v *validator) slots(s Slots) {
	if s.MinObjectiveMS < 0 {
		v.add("slots.minObjectiveMs", "must not be negative: %d", s.MinObjectiveMS)
	}
}
