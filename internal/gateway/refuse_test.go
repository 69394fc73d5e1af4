package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
)

// TestCallersComeBackWhenAStartingRouterHasItsTable plays callers that meet a router in
// the second after a loss of power, in which nobody has a route table.
func TestCallersComeBackWhenAStartingRouterHasItsTable(t *testing.T) {
	g := NewWithT(t)
	gateway := New("domain-a", nil, zerolog.Nop())
	for _, uptime := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		c := &call{gateway: gateway, begun: gateway.started.Add(uptime), deadline: time.Now().Add(15 * time.Second)}
		back := uptime + c.retryAfter(api.CodeNotConfigured)
		g.Expect(back).To(BeNumerically(">=", startTakes), "came after %v", uptime)
		g.Expect(back).To(BeNumerically("<=", startTakes+retrySoonest+retrySpread), "came after %v", uptime)
	}
	late := &call{gateway: gateway, begun: gateway.started.Add(3 * time.Second), deadline: time.Now().Add(15 * time.Second)}
	g.Expect(late.retryAfter(api.CodeNotConfigured)).To(BeNumerically(">=", retryStarting))
}
