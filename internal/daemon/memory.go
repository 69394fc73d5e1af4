package daemon

import (
	"os"
	"runtime/debug"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// envGCPercent is the Go runtime's environment variable for the garbage collection target
// percentage.
const envGCPercent = "GOGC"

// tuneMemory configures the garbage collector. A setting takes precedence over the runtime's
// environment variable, which takes precedence over the default.
func tuneMemory(s *settings.Settings) {
	if s.Memory.GCPercent > 0 || os.Getenv(envGCPercent) == "" {
		debug.SetGCPercent(s.GCPercent())
	}
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(s.Memory.LimitMB) * settings.BytesPerMB)
	}
}
