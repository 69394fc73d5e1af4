package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/quarantine"
)

// TestRetryAfterOutlastsClusterStartup guards against callers that retry before a starting
// cluster has a route table: after a power loss, no router has one for about a second.
// Each caller is refused at another uptime of its router.
func TestRetryAfterOutlastsClusterStartup(t *testing.T) {
	g := NewWithT(t)
	gateway := New("domain-a", nil, 0, quarantine.NewStore("r", zerolog.Nop()), zerolog.Nop())
	for _, uptime := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		c := &call{gateway: gateway, receivedAt: gateway.startedAt.Add(uptime), deadline: time.Now().Add(15 * time.Second)}
		retryAt := uptime + c.retryAfter(api.CodeNotConfigured)
		g.Expect(retryAt).To(BeNumerically(">=", startupDuration), "refused at uptime %v", uptime)
		g.Expect(retryAt).To(BeNumerically("<=", startupDuration+baseRetryAfter+retryAfterJitter), "refused at uptime %v", uptime)
	}
	late := &call{gateway: gateway, receivedAt: gateway.startedAt.Add(3 * time.Second), deadline: time.Now().Add(15 * time.Second)}
	g.Expect(late.retryAfter(api.CodeNotConfigured)).To(BeNumerically(">=", startupRetryAfter))
}
