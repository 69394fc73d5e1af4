package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/placement"
)

// gatewayMetrics are the metrics of the routes. Label values are bounded: route kinds,
// outcomes, customers' priorities, servers' failure domains.
type gatewayMetrics struct {
	connectionsOpened     *metrics.Counter
	answersUnmatched      *metrics.Counter
	connectionsPassedOver *metrics.Counter
	connectionsEvicted    *metrics.Counter
	connectionsDialed     map[backend.DialReason]*metrics.Counter
	retries               *metrics.Counter
	streamsResumed        *metrics.Counter
	promptsWithheld       *metrics.Counter
	sendsWithheld         *metrics.Counter
	loadAge               *metrics.Histogram
	queueTime             *metrics.Histogram
}

func newGatewayMetrics() *gatewayMetrics {
	return &gatewayMetrics{
		connectionsOpened:     metrics.GetOrCreateCounter("peridotwinch_gateway_connections_opened_total"),
		connectionsPassedOver: metrics.GetOrCreateCounter("peridotwinch_gateway_connections_passed_over_total"),
		connectionsEvicted:    metrics.GetOrCreateCounter("peridotwinch_gateway_connections_evicted_total"),
		connectionsDialed:     newDialCounters(),
		answersUnmatched:      metrics.GetOrCreateCounter("peridotwinch_gateway_answers_unmatched_total"),
		retries:               metrics.GetOrCreateCounter("peridotwinch_gateway_repeats_total"),
		streamsResumed:        metrics.GetOrCreateCounter("peridotwinch_gateway_streams_resumed_total"),
		promptsWithheld:       metrics.GetOrCreateCounter("peridotwinch_gateway_prompts_withheld_total"),
		sendsWithheld:         metrics.GetOrCreateCounter("peridotwinch_gateway_sends_withheld_total"),
		loadAge:               metrics.GetOrCreateHistogram("peridotwinch_gateway_load_age_seconds"),
		queueTime:             metrics.GetOrCreateHistogram("peridotwinch_gateway_wait_seconds"),
	}
}

func newDialCounters() map[backend.DialReason]*metrics.Counter {
	out := make(map[backend.DialReason]*metrics.Counter)
	for _, reason := range []backend.DialReason{backend.DialRequest, backend.DialProbe, backend.DialSecond} {
		out[reason] = metrics.GetOrCreateCounter(fmt.Sprintf("peridotwinch_gateway_dials_total{reason=%q}", string(reason)))
	}
	return out
}

// recordDial counts an attempt to open a connection to a server.
func (m *gatewayMetrics) recordDial(reason backend.DialReason) { m.connectionsDialed[reason].Inc() }

// registerGauges registers the gauges that are computed from the pools on each scrape.
func (g *Gateway) registerGauges() {
	metrics.GetOrCreateGauge("peridotwinch_gateway_requests_in_progress", func() float64 { return float64(g.InProgress()) })
	metrics.GetOrCreateGauge("peridotwinch_gateway_connections_idle", func() float64 { return float64(g.client.Idle()) })
	metrics.GetOrCreateGauge("peridotwinch_gateway_silence_ignored", func() float64 { return float64(g.pools.ignoredSilence()) })
	metrics.GetOrCreateGauge("peridotwinch_gateway_answer_memory_bytes", func() float64 { return float64(g.answerMemory.UsedBytes()) })
	metrics.GetOrCreateGauge("peridotwinch_gateway_request_memory_bytes", func() float64 { return float64(g.requestMemory.UsedBytes()) })
	metrics.GetOrCreateGauge("peridotwinch_gateway_requests_waiting", func() float64 {
		queued := 0
		for _, p := range g.pools.list() {
			queued += p.queueLength()
		}
		return float64(queued)
	})
	metrics.GetOrCreateGauge(`peridotwinch_gateway_servers_withdrawn{statement="leaving"}`, func() float64 {
		leaving, _ := g.withdrawnServers()
		return float64(leaving)
	})
	metrics.GetOrCreateGauge(`peridotwinch_gateway_servers_withdrawn{statement="paused"}`, func() float64 {
		_, paused := g.withdrawnServers()
		return float64(paused)
	})
	metrics.GetOrCreateGauge(`peridotwinch_gateway_servers_limited{share="unused"}`, func() float64 {
		limited, usedUp := g.limitedServers()
		return float64(limited - usedUp)
	})
	metrics.GetOrCreateGauge(`peridotwinch_gateway_servers_limited{share="used_up"}`, func() float64 {
		_, usedUp := g.limitedServers()
		return float64(usedUp)
	})
	metrics.GetOrCreateGauge("peridotwinch_gateway_servers_evacuated", func() float64 { return float64(g.evacuatedServers()) })
	metrics.GetOrCreateGauge(`peridotwinch_gateway_servers_warming{share="unused"}`, func() float64 {
		warming, usedUp := g.warmingServers()
		return float64(warming - usedUp)
	})
	metrics.GetOrCreateGauge(`peridotwinch_gateway_servers_warming{share="used_up"}`, func() float64 {
		_, usedUp := g.warmingServers()
		return float64(usedUp)
	})
	metrics.GetOrCreateGauge("peridotwinch_gateway_repeats_left", func() float64 {
		lowest := 0.0
		for i, p := range g.pools.list() {
			if available := p.availableRetries(); i == 0 || available < lowest {
				lowest = available
			}
		}
		return lowest
	})
}

// withdrawnServers returns how many servers are leaving or paused.
func (g *Gateway) withdrawnServers() (leaving, paused int) {
	for _, p := range g.pools.list() {
		l, w := p.withdrawn()
		leaving, paused = leaving+l, paused+w
	}
	return leaving, paused
}

// limitedServers returns how many servers limit their rate, and for how many of them the router's
// share is used up.
func (g *Gateway) limitedServers() (limited, usedUp int) {
	for _, p := range g.pools.list() {
		l, u := p.limited()
		limited, usedUp = limited+l, usedUp+u
	}
	return limited, usedUp
}

func (m *gatewayMetrics) recordOutcome(c *call, outcome string) {
	priority := "none"
	if c.customer != nil {
		priority = fmt.Sprint(min(max(c.priority(), 0), 9))
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`peridotwinch_gateway_requests_total{kind=%q,outcome=%q,priority=%q}`, c.kindLabel(), outcome, priority)).Inc()
}

func (*gatewayMetrics) recordFirstByte(kind string, elapsed time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`peridotwinch_gateway_first_byte_seconds{kind=%q}`, kind)).Update(elapsed.Seconds())
}

// recordSend counts a send by the server's failure domain and result.
func (*gatewayMetrics) recordSend(domain string, result placement.ResultKind) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`peridotwinch_gateway_sends_total{domain=%q,result=%q}`, domain, result)).Inc()
}

// recordPlacement records how long a request was queued, and the age of the load report on the
// chosen server.
func (m *gatewayMetrics) recordPlacement(l *lease, waited time.Duration) {
	m.queueTime.Update(waited.Seconds())
	recordPromptClass(l.choice)
	if l.choice.Age >= 0 {
		m.loadAge.Update(l.choice.Age.Seconds())
	}
}
