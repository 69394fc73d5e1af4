package placement

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/prefill"
)

// Choice is why a server was chosen, and the load state that the choice was based
// on.
type Choice struct {
	Reason Reason
	// Load is the estimated load in requests, and Age the age of the server's load
	// report; Age is below 0 if there is no report.
	Load float64
	Age  time.Duration
	// Leaving and Paused are the numbers of servers that were left out of the choice for what
	// they stated in their answers.
	Leaving, Paused int
	// Evacuated is the number of servers that were left out because their failure domain is
	// evacuated.
	Evacuated int
	// RateUsedUp is the number of servers that were left out because this router's share of their
	// rate was used up.
	RateUsedUp int
	// WarmingUp is the number of servers that were left out because they are warming up and this
	// router may not send them a request now.
	WarmingUp int
	// Class is the class of the prompt, and OtherClass means that the server is one that prompts
	// of the other class prefer.
	Class      prefill.Class
	OtherClass bool
	// Bound is the load up to which the server would take the prompt, 0 if loads are not known.
	Bound float64
}

// Reason is why a server was chosen.
type Reason string

// Reasons for a choice.
const (
	// ReasonWarm means that the server ranks first for the prompt.
	ReasonWarm Reason = "warm"
	// ReasonHot means that the prompt is hot, so that several servers share its
	// requests.
	ReasonHot Reason = "hot_prompt"
	// ReasonNext means that the servers ranked before it for the prompt are
	// overloaded or slow.
	ReasonNext Reason = "next_in_order"
	// ReasonAllLoaded means that all servers exceed the load bound.
	ReasonAllLoaded Reason = "all_loaded"
	// ReasonQuickest means that the server has the lowest expected time to the first
	// byte.
	ReasonQuickest Reason = "quickest"
	// ReasonShared means that the coordinator of the pool's slots granted a slot at once, and
	// ReasonSharedQueue that it did after the request had waited.
	ReasonShared      Reason = "shared_slot"
	ReasonSharedQueue Reason = "shared_queue"
	// ReasonTrial means that the server is suspect and the request tests whether it
	// has recovered.
	ReasonTrial Reason = "trial"
)

// recordChoice records why the server was chosen and returns the server.
func (s *Server) recordChoice(reason Reason, now time.Time) *Server {
	s.Choice = Choice{Reason: reason, Load: s.estimatedLoad(now), Age: -1}
	if !s.load.At.IsZero() {
		s.Choice.Age = now.Sub(s.load.At)
	}
	return s
}

// recordClass records the class of the prompt with the key for which the server was chosen, and
// the server's load bound, and returns the server.
func (s *Server) recordClass(key uint64, class prefill.Class, bound float64) *Server {
	s.Choice.Class, s.Choice.OtherClass, s.Choice.Bound = class, !s.prefers(key, class), bound
	return s
}
