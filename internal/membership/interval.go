package membership

import "time"

const (
	// heartbeatsPerPeer is the time between two exchanges, in heartbeats for each
	// peer: the bytes a second stay the same while peers join.
	heartbeatsPerPeer = 0.3
	// maxHeartbeats bounds the time between two exchanges, in heartbeats.
	maxHeartbeats = 2.5
)

// ExchangeEvery returns the time between two exchanges with each of a number of
// peers. It is as short as the control traffic allows, because the load bound
// is as good as the routers' knowledge of each other's work is fresh.
func ExchangeEvery(heartbeat time.Duration, peers int) time.Duration {
	inHeartbeats := min(heartbeatsPerPeer*float64(max(peers, 1)), maxHeartbeats)
	return time.Duration(inHeartbeats * float64(heartbeat))
}
