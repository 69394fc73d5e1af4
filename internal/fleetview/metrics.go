package fleetview

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// addMetrics adds gauges of what the router believes and how old that is.
func (v *View) addMetrics() {
	metrics.GetOrCreateGauge("peridotwinch_view_generation", func() float64 {
		if table := v.Table(); table != nil {
			return float64(table.Generation)
		}
		return 0
	})
	metrics.GetOrCreateGauge("peridotwinch_view_control_age_seconds", func() float64 {
		heard := v.heard.Load()
		if heard == nil {
			return math.Inf(1)
		}
		return time.Since(*heard).Seconds()
	})
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
