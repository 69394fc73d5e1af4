package membership

import "time"

const (
	// exchangeHeartbeatsPerPeer is the interval between two exchanges, in heartbeats per
	// peer: the bytes per second stay constant as peers join.
	exchangeHeartbeatsPerPeer = 0.3
	// maxExchangeHeartbeats bounds the interval between two exchanges, in heartbeats.
	maxExchangeHeartbeats = 2.5
)

// ExchangeInterval returns the interval between two exchanges with each of the given
// number of peers. It is as short as the limit on control traffic allows, because the
// load bound is only as accurate as the reports of the peers' work in flight are
// recent.
func ExchangeInterval(heartbeat time.Duration, peers int) time.Duration {
	heartbeats := min(exchangeHeartbeatsPerPeer*float64(max(peers, 1)), maxExchangeHeartbeats)
	return time.Duration(heartbeats * float64(heartbeat))
}
