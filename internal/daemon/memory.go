package daemon

import (
	"os"
	"runtime/debug"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// envGCPercent is the Go runtime's variable for the growth of the heap.
const envGCPercent = "GOGC"

const bytesPerMB = 1_000_000

// tuneMemory sets up the garbage collector. A setting goes before the runtime's
// environment variable, and that before a default.
func tuneMemory(s *settings.Settings) {
	if s.Memory.GCPercent > 0 || os.Getenv(envGCPercent) == "" {
		debug.SetGCPercent(s.GCPercent())
	}
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(s.Memory.LimitMB) * bytesPerMB)
	}
}
