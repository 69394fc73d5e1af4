package settings

import "strconv"

// Memory bounds what a daemon keeps in memory, and configures the garbage collector's trade-off between
// memory and processor time.
type Memory struct {
	// GCPercent is the growth of the heap that starts a garbage collection, in percent of
	// the live heap; 100 by default with the role router, otherwise 50.
	GCPercent int `json:"gcPercent,omitempty"`
	// LimitMB is the soft memory limit in MB. Above it the garbage collector runs as often as
	// needed, with up to half of the processor time; no limit by default.
	LimitMB int `json:"limitMb,omitempty"`
	// ProcessMB is the memory that the process may use before the platform ends it, in MB; unknown by
	// default.
	ProcessMB int `json:"processMb,omitempty"`
	// RequestsMB bounds the bodies of all requests in progress on a router, in MB; 0.45 of processMb by
	// default, or 64 if that is unknown. A request for which too little is left is refused with 3034 and
	// was not run.
	RequestsMB int `json:"requestsMb,omitempty"`
}

// SetProcessMemory sets memory.processMb from the text of a number, unless the settings state it or the
// text is empty. It returns Errors with the field if the text is not valid.
func (s *Settings) SetProcessMemory(text string) error {
	if text == "" || s.Memory.ProcessMB != 0 {
		return nil
	}
	v := &validator{}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 1 && value <= maxProcessMB) {
		v.add("memory.processMb", "%q is not a number between 1 and %d", text, maxProcessMB)
		return v.errs
	}
	s.Memory.ProcessMB = int(value)
	return nil
}

// BytesPerMB is the unit of sizes in the settings.
const BytesPerMB = 1_000_000

const (
	// DefaultRequestMemoryBytes bounds the bodies of requests if the memory of the process is unknown.
	DefaultRequestMemoryBytes = 64 * BytesPerMB
	// requestMemoryShare is the share of the memory of the process that bodies of requests may take. The
	// rest is for answers, connections, and what the garbage collector has not collected yet.
	requestMemoryShare = 0.45
	maxProcessMB       = 1 << 30
)

// RequestMemoryBytes returns the bound of the bodies of all requests in progress.
func (s *Settings) RequestMemoryBytes() int64 {
	if s.Memory.RequestsMB > 0 {
		return int64(s.Memory.RequestsMB) * BytesPerMB
	}
	if s.Memory.ProcessMB > 0 {
		return int64(requestMemoryShare * float64(s.Memory.ProcessMB) * BytesPerMB)
	}
	return DefaultRequestMemoryBytes
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
