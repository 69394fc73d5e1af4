package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/control/replica"
)

// addMetrics registers the gauges of the replica.
func (c *Control) addMetrics() {
	gauge := func(name string, value func(replica.Status) float64) {
		fullName := fmt.Sprintf("peridotwinch_config_%s{instance=%q}", name, c.settings.Instance)
		metrics.GetOrCreateGauge(fullName, func() float64 { return value(c.replica.Status()) })
	}
	gauge("term", func(s replica.Status) float64 { return float64(s.Term) })
	gauge("is_leader", func(s replica.Status) float64 { return toFloat(s.Role == consensus.RoleLeader) })
	gauge("is_current", func(s replica.Status) float64 { return toFloat(s.HasActiveLeader) })
	gauge("is_voter", func(s replica.Status) float64 { return toFloat(s.Membership.IsVoter(s.ID)) })
	gauge("applied_index", func(s replica.Status) float64 { return float64(s.Applied) })
	gauge("log_bytes", func(s replica.Status) float64 { return float64(s.LogBytes) })
	gauge("snapshot_bytes", func(s replica.Status) float64 { return float64(s.SnapshotBytes) })
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
