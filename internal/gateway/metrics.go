package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// gatewayMetrics are the counters of the routes. Labels are bounded: kinds, outcomes,
// priorities of customers, failure domains of servers.
type gatewayMetrics struct {
	connections *metrics.Counter
	repeats     *metrics.Counter
	resumed     *metrics.Counter
	loadAge     *metrics.Histogram
	waited      *metrics.Histogram
}

func newGatewayMetrics() *gatewayMetrics {
	return &gatewayMetrics{
		connections: metrics.GetOrCreateCounter("peridotwinch_gateway_connections_opened_total"),
		repeats:     metrics.GetOrCreateCounter("peridotwinch_gateway_repeats_total"),
		resumed:     metrics.GetOrCreateCounter("peridotwinch_gateway_streams_resumed_total"),
		loadAge:     metrics.GetOrCreateHistogram("peridotwinch_gateway_load_age_seconds"),
		waited:      metrics.GetOrCreateHistogram("peridotwinch_gateway_wait_seconds"),
	}
}

// addGauges adds what is read from the pools when the metrics are asked for.
func (g *Gateway) addGauges() {
	metrics.GetOrCreateGauge("peridotwinch_gateway_requests_in_progress", func() float64 { return float64(g.InProgress()) })
	metrics.GetOrCreateGauge("peridotwinch_gateway_requests_waiting", func() float64 {
		waiting := 0
		for _, p := range g.pools.all() {
			waiting += p.waitingCount()
		}
		return float64(waiting)
	})
	metrics.GetOrCreateGauge("peridotwinch_gateway_repeats_left", func() float64 {
		left := 0.0
		for i, p := range g.pools.all() {
			if l := p.repeatsLeft(); i == 0 || l < left {
				left = l
			}
		}
		return left
	})
}

func (m *gatewayMetrics) outcome(c *call, outcome string) {
	priority := "none"
	if c.customer != nil {
		priority = fmt.Sprint(min(max(c.priority(), 0), 9))
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`peridotwinch_gateway_requests_total{kind=%q,outcome=%q,priority=%q}`, c.kind(), outcome, priority)).Inc()
}

func (*gatewayMetrics) answered(kind string, took time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`peridotwinch_gateway_first_byte_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

// sendEnded counts a send by the server's failure domain and what came of it.
func (*gatewayMetrics) sendEnded(domain string, result placement.ResultKind) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`peridotwinch_gateway_sends_total{domain=%q,result=%q}`, domain, result)).Inc()
}

// placed notes how long a request has waited for its place, and how old the word on the
// server's load was.
func (m *gatewayMetrics) placed(l *lease, waited time.Duration) {
	m.waited.Update(waited.Seconds())
	if l.choice.Age >= 0 {
		m.loadAge.Update(l.choice.Age.Seconds())
	}
}
