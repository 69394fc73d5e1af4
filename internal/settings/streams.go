package settings

import "time"

// maxTransitMS is the largest limit on the transit time of stream events.
const maxTransitMS = 10_000

// Streams configures event streams to callers.
type Streams struct {
	// TransitMS is the longest time that an event of a stream may take from its backend server
	// to the caller. Events that follow closely are sent together, up to 0.55 of this time
	// and a fifth of the route's pause objective after the first; zero sends each at once.
	TransitMS int `json:"transitMs,omitempty"`
}

// TransitLimit returns the longest time that an event may take.
func (s Streams) TransitLimit() time.Duration { return time.Duration(s.TransitMS) * time.Millisecond }

func (v *validator) streams(s Streams) {
	if s.TransitMS < 0 || s.TransitMS > maxTransitMS {
		v.add("streams.transitMs", "must be from 0 to %d: %d", maxTransitMS, s.TransitMS)
	}
}
