package relay

import (
	"maps"
	"slices"
	"time"
)

const (
	// failureRetention is how long a relay that failed is avoided and reported to the
	// control replicas.
	failureRetention = 5 * time.Second
	// maxRelays limits the relays that a router remembers.
	maxRelays = 64
)

// Source is a process that a router can follow.
type Source struct {
	Address string
	// IsRelay is set for a router, and not set for a control replica.
	IsRelay bool
}

// Selector selects the source that a router follows. After a redirection the router tries
// the relays in its order of preference, each once, and otherwise the control replicas in
// turn. It is not safe for concurrent use.
type Selector struct {
	router   string
	controls []string
	// nextControl counts the selections of control replicas that have failed.
	nextControl int
	relays      []string
	// untried are the relays that have not been tried since the last redirection.
	untried []string
	// failedAt is the time at which a relay last failed, refusedAt that at which a relay
	// that is alive refused the router.
	failedAt  map[string]time.Time
	refusedAt map[string]time.Time
}

// NewSelector returns the selector of a router. There has to be at least one control replica.
func NewSelector(router string, controls []string) *Selector {
	s := &Selector{router: router, failedAt: make(map[string]time.Time), refusedAt: make(map[string]time.Time)}
	s.SetControls(controls)
	return s
}

// SetControls replaces the control replicas.
func (s *Selector) SetControls(controls []string) { s.controls = Rank(s.router, controls) }

// Preferred returns the control replica that the router follows if possible.
func (s *Selector) Preferred() string { return s.controls[0] }

// Next returns the source to try next.
func (s *Selector) Next(now time.Time) Source {
	for len(s.untried) > 0 {
		address := s.untried[0]
		s.untried = s.untried[1:]
		if !s.hasFailed(address, now) {
			return Source{Address: address, IsRelay: true}
		}
	}
	return Source{Address: s.controls[s.nextControl%len(s.controls)]}
}

// Alternatives returns the sources other than the given one that may be up to date: the known
// relays first, then the control replicas.
func (s *Selector) Alternatives(current Source, now time.Time) []Source {
	var out []Source
	for _, address := range s.relays {
		if address != current.Address && !s.hasFailed(address, now) {
			out = append(out, Source{Address: address, IsRelay: true})
		}
	}
	for _, address := range s.controls {
		if address != current.Address {
			out = append(out, Source{Address: address})
		}
	}
	return out
}

// Redirect records the relays to which a source has redirected the router. They are tried
// next, those last that have refused the router.
func (s *Selector) Redirect(relays []string) {
	maps.DeleteFunc(s.refusedAt, func(address string, _ time.Time) bool { return !slices.Contains(relays, address) })
	s.relays = Rank(s.router, relays)
	if len(s.relays) > maxRelays {
		s.relays = s.relays[:maxRelays]
	}
	s.untried = slices.Clone(s.relays)
	slices.SortStableFunc(s.untried, func(a, b string) int { return s.refusedAt[a].Compare(s.refusedAt[b]) })
}

// Followed records that the router has received data from a source.
func (s *Selector) Followed(source Source) {
	delete(s.failedAt, source.Address)
	delete(s.refusedAt, source.Address)
}

// Failed records that a source did not answer or that its stream broke. The other relays of
// the last redirection are tried before a control replica. It reports whether each control
// replica has failed since the last time it did.
func (s *Selector) Failed(source Source, now time.Time) (exhausted bool) {
	if !source.IsRelay {
		return s.controlFailed()
	}
	s.failedAt[source.Address] = now
	s.untried = slices.DeleteFunc(slices.Clone(s.relays), func(address string) bool { return s.hasFailed(address, now) })
	return false
}

// Refused records that a source is alive but could not serve the router. A relay that does
// so again within failureRetention counts as failed, so that control serves the router.
func (s *Selector) Refused(source Source, now time.Time) (exhausted bool) {
	if !source.IsRelay {
		return s.controlFailed()
	}
	if first, ok := s.refusedAt[source.Address]; ok && now.Sub(first) < failureRetention {
		s.failedAt[source.Address] = now
		return false
	}
	s.refusedAt[source.Address] = now
	return false
}

// RefusedForPath records that a relay is too far from control to serve the router, or follows
// the router. The other relays of the last redirection are likely to be so too, and a control
// replica is tried next.
func (s *Selector) RefusedForPath() { s.untried = nil }

func (s *Selector) controlFailed() (exhausted bool) {
	s.nextControl++
	return s.nextControl%len(s.controls) == 0
}

// FailedRelays returns the relays that have failed within failureRetention.
func (s *Selector) FailedRelays(now time.Time) []string {
	var out []string
	for address := range s.failedAt {
		if s.hasFailed(address, now) {
			out = append(out, address)
		} else {
			delete(s.failedAt, address)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Selector) hasFailed(address string, now time.Time) bool {
	at, ok := s.failedAt[address]
	return ok && now.Sub(at) < failureRetention
}
