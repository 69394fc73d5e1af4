package slotrpc

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// nodeMetrics are the metrics of the slots of small pools.
type nodeMetrics struct {
	lateDecisions    *metrics.Counter
	coordinatorsLost *metrics.Counter
	answerTime       *metrics.Histogram
}

func newNodeMetrics() *nodeMetrics {
	return &nodeMetrics{
		lateDecisions:    metrics.GetOrCreateCounter("peridotwinch_slots_late_decisions_total"),
		coordinatorsLost: metrics.GetOrCreateCounter("peridotwinch_slots_coordinator_lost_total"),
		answerTime:       metrics.GetOrCreateHistogram("peridotwinch_slots_answer_seconds"),
	}
}

// recordDecision counts an ask by its decision, or by the reason why there is none.
func (*nodeMetrics) recordDecision(decision string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`peridotwinch_slots_asks_total{decision=%q}`, decision)).Inc()
}

// registerGauges registers the gauges that are computed on each scrape.
func (n *Node) registerGauges() {
	metrics.GetOrCreateGauge("peridotwinch_slots_coordinator_usable", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.link != nil && n.link.monitor.IsUsable() {
			return 1
		}
		return 0
	})
	metrics.GetOrCreateGauge("peridotwinch_slots_routers", func() float64 {
		streams, _, _, _ := n.service.stats()
		return float64(streams)
	})
	metrics.GetOrCreateGauge("peridotwinch_slots_waiting", func() float64 {
		_, waiting, _, _ := n.service.stats()
		return float64(waiting)
	})
	metrics.GetOrCreateGauge("peridotwinch_slots_taken", func() float64 {
		_, _, taken, _ := n.service.stats()
		return float64(taken)
	})
}
