package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// longestPauseOfLimitedServer returns the longest time without a request to one of three servers that
// names a rate in all its answers, while each router has ten requests per second for any of the given
// number of prompts.
func longestPauseOfLimitedServer(rate float64, routers, keys int) (longest time.Duration) {
	const perSecond, unlimitedFor, duration = 10, 10 * time.Second, 120 * time.Second
	rng := rand.New(rand.NewPCG(1, 1))
	infos := serverInfos(3)
	for i := range infos {
		infos[i].Hash = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	limited := infos[0]
	var pools []*placement.Pool
	for i := range routers {
		p := placement.NewPool(true)
		p.SetPosition(ratelimit.Position{Index: i, Count: routers}, start.Add(-time.Minute))
		p.SetServers(infos, start)
		pools = append(pools, p)
	}
	last := start.Add(unlimitedFor)
	for i := range int(duration.Seconds()) * perSecond * routers {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond*routers))
		router, request := i%routers, promptRequest(10+uint64(rng.IntN(keys)))
		p := pools[router]
		s := p.Choose(request, now)
		p.RecordSend(s, now)
		p.CopySource(s, request, now)
		p.RecordResult(s, placement.Result{Kind: placement.ResultAnswered}, now)
		if s.ID != limited.ID || now.Before(start.Add(unlimitedFor)) {
			continue
		}
		longest, last = max(longest, now.Sub(last)), now
		statement := ratelimit.Statement{PerSecond: rate, Limited: true, StatedAt: now}
		for j, other := range pools {
			if j == router {
				other.RecordRate(limited.Hash, statement)
			} else {
				other.RecordPeerRate(limited.Hash, statement)
			}
		}
	}
	return max(longest, start.Add(duration).Sub(last))
}

// TestServerThatTakesFewRequestsIsStillAsked guards against a server that gets no request any more after
// it has named a low rate, so that no router learns that its limit has ended.
func TestServerThatTakesFewRequestsIsStillAsked(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 1} {
		// Routers send 0.5 requests/s at least, and save up 4 requests and 6 s of the rate.
		allowed := 5*time.Second + time.Duration((4+6*rate)/max(rate, 0.5)*float64(time.Second))
		for _, routers := range []int{1, 3, 7} {
			for _, keys := range []int{30, 1000} {
				t.Run(fmt.Sprintf("%v per second, %d routers, %d prompts", rate, routers, keys), func(t *testing.T) {
					NewWithT(t).Expect(longestPauseOfLimitedServer(rate, routers, keys)).To(BeNumerically("<", allowed))
				})
			}
		}
	}
}
