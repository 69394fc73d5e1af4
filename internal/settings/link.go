package settings

// Link tells what the network of the instance carries.
type Link struct {
	// MBitPerSecond is the bandwidth of the instance's own link in Mbit/s. Large messages are
	// paced to three quarters of it, so that heartbeats are on time; they are not paced without it.
	MBitPerSecond float64 `json:"mbitPerSecond,omitempty"`
}
