package fleetsync_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
)

// TestWarmupsReachAllRouters guards against warm-ups of which some routers learn late or not at all: of
// a new incarnation, and of one that starts to warm up again. Routers that relay pass them on.
func TestWarmupsReachAllRouters(t *testing.T) {
	g := NewWithT(t)
	const delay = 1500 * time.Millisecond
	_, service, _, routers := startRelayedFleet(t, 20)
	// In the first 10 s, servers may be listed late that have run for long.
	time.Sleep(10*time.Second + 100*time.Millisecond)
	server := testServer(1)
	announce := func(remaining time.Duration) {
		server.Sequence++
		server.WarmupLeft = remaining
		g.Expect(service.Announce(context.Background(), server)).To(Succeed())
	}
	entries := func() (out []registry.Entry) {
		for _, r := range routers {
			out = append(out, r.fleet.entry(server.ID))
		}
		return out
	}
	eventually := func(what string, holds func(registry.Entry) bool) {
		g.Eventually(func() bool {
			for _, e := range entries() {
				if !holds(e) {
					return false
				}
			}
			return true
		}, delay, 5*time.Millisecond).Should(BeTrue(), what)
	}
	announce(0)
	eventually("a server that was not listed", func(e registry.Entry) bool { return !e.AppearedAt.IsZero() && e.WarmupUntil.IsZero() })
	appeared := entries()[0].AppearedAt
	announce(3 * time.Second)
	until := time.Now().Add(3 * time.Second)
	eventually("the same incarnation warms up again", func(e registry.Entry) bool {
		return e.WarmupUntil.Sub(until).Abs() < 500*time.Millisecond
	})
	g.Expect(entries()[0].AppearedAt).To(Equal(appeared))
	server.StartedMS, server.Sequence = server.StartedMS+1, 0
	announce(0)
	eventually("a new incarnation", func(e registry.Entry) bool { return e.StartedMS == server.StartedMS && e.AppearedAt.After(appeared) })
}
