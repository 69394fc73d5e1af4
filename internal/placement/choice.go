package placement

import (
	"time"
)

// Choice is why a server was chosen, and what was known of it.
type Choice struct {
	Reason Reason
	// Load is the load that was assumed, and Age that of the server's word on it; Age
	// is below 0 where the server has told nothing.
	Load float64
	Age  time.Duration
}

// Reason names why a server was chosen.
type Reason string

// Reasons of choices.
const (
	// ReasonWarm servers are the first in the order of the prompt.
	ReasonWarm Reason = "warm"
	// ReasonHot servers share a prompt that one server cannot carry.
	ReasonHot Reason = "hot_prompt"
	// ReasonNext servers take a prompt because those before them are loaded or slow.
	ReasonNext Reason = "next_in_order"
	// ReasonAllLoaded servers are taken although all are loaded.
	ReasonAllLoaded Reason = "all_loaded"
	// ReasonQuickest servers are expected to answer first.
	ReasonQuickest Reason = "quickest"
	// ReasonTrial servers are suspect and get a request to show otherwise.
	ReasonTrial Reason = "trial"
)

// chosen notes why the server was chosen.
func (s *Server) chosen(reason Reason, now time.Time) *Server {
	s.Choice = Choice{Reason: reason, Load: s.estimate(now), Age: -1}
	if !s.load.At.IsZero() {
		s.Choice.Age = now.Sub(s.load.At)
	}
	return s
}
