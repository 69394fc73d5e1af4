package control

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/control/replica"
)

// addMetrics registers the gauges of the replica and the metrics of orders.
func (c *Control) addMetrics() {
	addOrderMetrics()
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
	gauge("evacuated_domains", func(replica.Status) float64 { return float64(len(c.store.Evacuations().Domains)) })
	if c.fleetSync != nil {
		metrics.GetOrCreateGauge("peridotwinch_fleet_servers_assigned", func() float64 { return float64(c.fleetSync.AssignedServers()) })
	}
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// addOrderMetrics registers the metrics of evacuation orders before the first one.
func addOrderMetrics() {
	for _, verb := range []api.Verb{api.VerbEvacuate, api.VerbReinstate} {
		metrics.GetOrCreateCounter(orderCounter(verb, api.CodeOK))
	}
	metrics.GetOrCreateHistogram(orderHistogram)
}

const orderHistogram = "peridotwinch_config_evacuation_order_seconds"

func orderCounter(verb api.Verb, code api.Code) string {
	return fmt.Sprintf(`peridotwinch_config_evacuation_orders_total{verb=%q,code=%q}`, verb, code)
}

// recordOrder counts an evacuation order by verb and result code, and records how long it took.
func recordOrder(verb api.Verb, err error, took time.Duration) {
	code := api.CodeOK
	if err != nil {
		code = api.AsError(err).Code
	}
	metrics.GetOrCreateCounter(orderCounter(verb, code)).Inc()
	metrics.GetOrCreateHistogram(orderHistogram).Update(took.Seconds())
}
