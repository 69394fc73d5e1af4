package fleetsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// grantDelays returns the delay after which each of n transmissions of the given size was
// granted.
func grantDelays(p *pacer, n, bytes int) []time.Duration {
	start := time.Now()
	transmissions := make([]*transmission, n)
	for i := range transmissions {
		transmissions[i] = p.enqueue(bytes)
	}
	out := make([]time.Duration, n)
	for i, t := range transmissions {
		<-t.granted
		out[i] = time.Since(start)
	}
	return out
}

// TestLargeEventsLeaveBandwidthForOthers guards against large events that saturate the link
// and delay heartbeats: 20 routers subscribe together after a power loss and receive 8 KB each
// over 3 Mbit/s.
func TestLargeEventsLeaveBandwidthForOthers(t *testing.T) {
	g := NewWithT(t)
	p := newPacer(3)
	sent := grantDelays(p, 20, 8<<10)
	g.Expect(sent[3]).To(BeNumerically("<", 200*time.Millisecond), "within the burst allowance")
	for i, at := range sent {
		bytes := float64((i + 1) * 8 << 10)
		g.Expect(bytes).To(BeNumerically("<=", float64(pacedBurstBytes+8<<10)+at.Seconds()*3e6/8*pacedLinkShare+1000))
	}
	g.Expect(sent[19]).To(BeNumerically(">", 400*time.Millisecond), "beyond the burst allowance")
	p.enqueue(8 << 10)
	g.Expect(p.enqueue(300).granted).To(BeClosed(), "small events are not paced")
}

// TestManyNewRoutesReachAllRoutersInTime guards against a rate limit that is too low: after a
// disturbance 25 routers subscribe to one replica and receive a change of 1,240 routes, for
// which the platform allows 2.5 s.
func TestManyNewRoutesReachAllRoutersInTime(t *testing.T) {
	g := NewWithT(t)
	sent := grantDelays(newPacer(3), 25, 18<<10)
	g.Expect(sent[24]).To(BeNumerically("<", 2200*time.Millisecond))
}

// TestDepartedRouterDoesNotBlockOthers guards against queued transmissions of disconnected
// routers that delay the others. After a power loss, routers reconnect repeatedly while a
// table takes long; 100 cancelled transmissions must not delay the next router.
func TestDepartedRouterDoesNotBlockOthers(t *testing.T) {
	g := NewWithT(t)
	p := newPacer(3)
	p.enqueue(24 << 10)
	for range 100 {
		p.cancel(p.enqueue(24 << 10))
	}
	sent := grantDelays(p, 2, 24<<10)
	g.Expect(sent[1]).To(BeNumerically("<", time.Second), "it would be 8 s behind the cancelled transmissions")
}

// TestUnknownLinkBandwidthDisablesPacing guards against an unknown bandwidth, given as 0, that
// is used as the rate limit.
func TestUnknownLinkBandwidthDisablesPacing(t *testing.T) {
	g := NewWithT(t)
	p := newPacer(0)
	for range 100 {
		g.Expect(p.enqueue(1 << 20).granted).To(BeClosed())
	}
}
