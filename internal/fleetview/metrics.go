package fleetview

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// addMetrics adds gauges of the generation, the servers, the rate limits and the age of this view.
func (v *View) addMetrics() {
	metrics.GetOrCreateGauge("peridotwinch_view_generation", func() float64 {
		if table := v.Table(); table != nil {
			return float64(table.Generation)
		}
		return 0
	})
	metrics.GetOrCreateGauge("peridotwinch_view_control_age_seconds", func() float64 {
		lastEvent := v.lastEvent.Load()
		if lastEvent == nil {
			return math.Inf(1)
		}
		return time.Since(*lastEvent).Seconds()
	})
	metrics.GetOrCreateGauge("peridotwinch_view_evacuated_domains", func() float64 {
		if evacuations := v.evacuations.Load(); evacuations != nil {
			return float64(len(evacuations.Domains))
		}
		return 0
	})
	metrics.GetOrCreateGauge("peridotwinch_view_depth", func() float64 { return float64(v.Depth()) })
	metrics.GetOrCreateGauge("peridotwinch_view_followers", func() float64 { return float64(v.Followers()) })
	metrics.GetOrCreateGauge("peridotwinch_view_routers", func() float64 { return float64(v.relay.Position().Count) })
	metrics.GetOrCreateGauge("peridotwinch_view_position", func() float64 { return float64(v.relay.Position().Index) })
	metrics.GetOrCreateGauge("peridotwinch_view_rate_statements", func() float64 { return float64(v.relay.Statements()) })
	metrics.GetOrCreateGauge("peridotwinch_view_servers", func() float64 {
		v.mu.Lock()
		defer v.mu.Unlock()
		return float64(len(v.servers))
	})
	metrics.GetOrCreateGauge("peridotwinch_view_servers_unconfirmed", func() float64 {
		v.mu.Lock()
		defer v.mu.Unlock()
		count := 0
		for id := range v.servers {
			if !v.confirmed[id] {
				count++
			}
		}
		return float64(count)
	})
}
