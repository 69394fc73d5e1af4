package measure

import (
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/fakebackend"
	"peridotwinch.example/peridotwinch/internal/load"
)

// Slow streams: a token a second, so that few tokens pass while many are open.
const (
	slowTokens  = 12
	slowFor     = slowTokens * time.Second
	slowSettled = slowFor + 2*time.Second
	slowLength  = slowSettled + observe
)

// TestSlopeStreams is what so many streams that are open at once cost a router,
// each with a token a second.
func TestSlopeStreams(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "streams at once on a router, a token a second each", columns: []string{"router cores", "router MB", "router heap MB"}}
	for _, count := range []int{100, 200, 400, 700} {
		system := slopeSystem(t, 1)
		system.fleet(t, 16, fakebackend.Config{Pool: "engine:models", Slots: 128, TokenTime: time.Second, CacheTokens: 1 << 20})
		mix := slopeMix(float64(count)/slowFor.Seconds(), load.Shape{Name: "slow", PromptTokens: 100, AnswerTokens: slowTokens})
		mix.DurationMS = int(slowLength.Milliseconds())
		var r load.DaemonReport
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			time.Sleep(slowSettled)
			r = system.watch("router-00", rest)
		}()
		system.load(mix)
		<-watched
		s.add(float64(count), perSecond(r), megabytes(r), float64(r.HeapBytes)/1e6)
		system.Close()
	}
	s.print()
}
