package settings

// Memory configures the garbage collector's trade-off between memory and processor time.
type Memory struct {
	// GCPercent is the growth of the heap that starts a garbage collection, in percent of
	// the live heap; 100 by default with the role router, otherwise 50.
	GCPercent int `json:"gcPercent,omitempty"`
	// LimitMB is the soft memory limit in MB. Above it the garbage collector runs as often as
	// needed, with up to half of the processor time; no limit by default.
	LimitMB int `json:"limitMb,omitempty"`
}

// Defaults of GCPercent. A daemon without the role router allocates so little that
// collecting twice as often costs nothing.
const (
	defaultGCPercent         = 100
	defaultGCPercentNoRouter = 50
)

// GCPercent returns the growth of the heap that starts a garbage collection, in percent.
func (s *Settings) GCPercent() int {
	switch {
	case s.Memory.GCPercent > 0:
		return s.Memory.GCPercent
	case s.HasRole(RoleRouter):
		return defaultGCPercent
	}
	return defaultGCPercentNoRouter
}
