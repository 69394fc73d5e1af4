package settings

// Link describes the network link of the instance.
type Link struct {
	// MBitPerSecond is the bandwidth of the instance's own link in Mbit/s. Large messages are
	// rate-limited to three quarters of it, so that they do not delay heartbeats; zero means
	// no rate limit.
	MBitPerSecond float64 `json:"mbitPerSecond,omitempty"`
}
