package configwatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// addMetrics registers gauges for the applied revision, for whether the router has no
// watch on a control replica, and for the seconds since the last event from a
// control replica.
func (w *Watcher) addMetrics() {
	gauge := func(name string, value func() float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("peridotwinch_router_config_%s{instance=%q}", name, w.instance), value)
	}
	gauge("revision", func() float64 { return float64(w.Catalog().Revision()) })
	gauge("cut_off", func() float64 {
		if w.IsDisconnected() {
			return 1
		}
		return 0
	})
	gauge("silence_seconds", func() float64 {
		return time.Since(time.UnixMilli(w.lastEventMS.Load())).Seconds()
	})
}
