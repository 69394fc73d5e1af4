package measure

import (
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/fakebackend"
	"peridotwinch.example/peridotwinch/internal/load"
)

// Slow streams have one token per second, so that many are open while few tokens are
// sent.
const (
	slowStreamTokens = 12
	slowStreamTime   = slowStreamTokens * time.Second
	slowStreamWarmUp = slowStreamTime + 2*time.Second
	slowRunTime      = slowStreamWarmUp + observeTime
)

// TestSlopeStreams measures the cost of a router by the number of concurrent streams,
// each with one token per second.
func TestSlopeStreams(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "streams at once on a router, a token a second each", columns: []string{"router cores", "router MB", "router heap MB"}}
	for _, count := range []int{100, 200, 400, 700} {
		system := startSlopeSystem(t, 1)
		system.startBackends(t, 16, fakebackend.Config{Pool: "engine:models", Slots: 128, TokenTime: time.Second, CacheTokens: 1 << 20})
		mix := slopeMix(float64(count)/slowStreamTime.Seconds(), load.Shape{Name: "slow", PromptTokens: 100, AnswerTokens: slowStreamTokens})
		mix.DurationMS = int(slowRunTime.Milliseconds())
		var r load.DaemonReport
		measured := make(chan struct{})
		go func() {
			defer close(measured)
			time.Sleep(slowStreamWarmUp)
			r = system.measureDaemon("router-00", waitIdle)
		}()
		system.load(mix)
		<-measured
		s.add(float64(count), coresUsed(r), megabytes(r), float64(r.HeapBytes)/1e6)
		system.Close()
	}
	s.print()
}
