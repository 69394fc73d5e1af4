package fleetsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// grantedAfter returns when each of n turns of the given size was granted.
func grantedAfter(p *pacer, n, bytes int) []time.Duration {
	begun := time.Now()
	turns := make([]*turn, n)
	for i := range turns {
		turns[i] = p.queue(bytes)
	}
	out := make([]time.Duration, n)
	for i, t := range turns {
		<-t.granted
		out[i] = time.Since(begun)
	}
	return out
}

// TestLargeEventsLeaveAPartOfTheLink plays 20 routers that come together after a loss of
// power and are sent 8 KB each, over 3 Mbit/s.
func TestLargeEventsLeaveAPartOfTheLink(t *testing.T) {
	g := NewWithT(t)
	p := newPacer(3)
	sent := grantedAfter(p, 20, 8<<10)
	g.Expect(sent[3]).To(BeNumerically("<", 200*time.Millisecond), "a burst")
	for i, at := range sent {
		bytes := float64((i + 1) * 8 << 10)
		g.Expect(bytes).To(BeNumerically("<=", float64(pacedBurst+8<<10)+at.Seconds()*3e6/8*pacedShare+1000))
	}
	g.Expect(sent[19]).To(BeNumerically(">", 400*time.Millisecond), "the rest waits")
	p.queue(8 << 10)
	g.Expect(p.queue(300).granted).To(BeClosed(), "changes are not held up")
}

// TestManyNewRoutesReachAllRoutersInTime plays a change of 1,240 routes to the 25 routers
// that follow one replica after a disturbance; the platform allows 2.5 s.
func TestManyNewRoutesReachAllRoutersInTime(t *testing.T) {
	g := NewWithT(t)
	sent := grantedAfter(newPacer(3), 25, 18<<10)
	g.Expect(sent[24]).To(BeNumerically("<", 2200*time.Millisecond))
}

// TestARouterThatHasLeftHoldsNobodyUp plays routers that come and leave again and again, as
// after a loss of power when a table takes long: 100 places of such must not make the next
// router wait.
func TestARouterThatHasLeftHoldsNobodyUp(t *testing.T) {
	g := NewWithT(t)
	p := newPacer(3)
	p.queue(24 << 10)
	for range 100 {
		p.withdraw(p.queue(24 << 10))
	}
	sent := grantedAfter(p, 2, 24<<10)
	g.Expect(sent[1]).To(BeNumerically("<", time.Second), "with their places it would be 8 s")
}

func TestALinkOfUnknownBandwidthIsNotPaced(t *testing.T) {
	g := NewWithT(t)
	p := newPacer(0)
	for range 100 {
		g.Expect(p.queue(1 << 20).granted).To(BeClosed())
	}
}
