package settings

// Memory tells the garbage collector what to trade against processor time.
type Memory struct {
	// GCPercent is how much the heap may grow before it is collected, in percent
	// of what is in use; 50 by default without the role router, else 100.
	GCPercent int `json:"gcPercent,omitempty"`
	// LimitMB is the memory in MB above which the collector runs as often as it
	// takes, up to half of the processor time; none by default.
	LimitMB int `json:"limitMb,omitempty"`
}

// Defaults of the growth of the heap, in percent. A daemon without the role
// router allocates so little that collecting twice as often costs nothing.
const (
	defaultGCPercent         = 100
	defaultGCPercentNoRouter = 50
)

// GCPercent returns the growth of the heap before a collection, in percent.
func (s *Settings) GCPercent() int {
	switch {
	case s.Memory.GCPercent > 0:
		return s.Memory.GCPercent
	case s.HasRole(RoleRouter):
		return defaultGCPercent
	}
	return defaultGCPercentNoRouter
}
