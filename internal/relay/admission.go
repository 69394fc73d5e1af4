package relay

import "slices"

// Limits bound the subscriptions that a source serves itself.
type Limits struct {
	// Unconditional is the number of subscriptions up to which every router is admitted.
	Unconditional int
	// PerDomain is the number of relays of a failure domain up to which a router of the
	// domain is admitted.
	PerDomain int
	// Max is the maximum number of subscriptions.
	Max int
}

// Subscriber is a router that subscribes to a source.
type Subscriber struct {
	Instance      string
	FailureDomain string
	// Address is the router's RPC address, or empty if it does not relay.
	Address string
}

// Verdict is the decision on a subscription: it is admitted, redirected to relays, or
// rejected if neither is set.
type Verdict struct {
	Admitted bool
	// ID identifies an admitted subscription.
	ID       uint64
	Redirect []string
}

// Admission admits subscriptions to one source within its limits. It is not safe for
// concurrent use.
type Admission struct {
	limits      Limits
	subscribers map[uint64]Subscriber
	lastID      uint64
}

// NewAdmission returns an admission without subscriptions.
func NewAdmission(limits Limits) *Admission {
	return &Admission{limits: limits, subscribers: make(map[uint64]Subscriber)}
}

// Len returns the number of subscriptions.
func (a *Admission) Len() int { return len(a.subscribers) }

// Decide decides on a subscription. Relays in failed did not serve the router: it is not
// redirected to them, and they do not count as relays of its failure domain. A relay that
// is lost without a trace thus keeps nobody from being served, however long its connection
// seems open. A new subscription replaces an earlier one of the same instance.
func (a *Admission) Decide(s Subscriber, failed []string) Verdict {
	relays := a.relays(s, failed)
	count := len(a.subscribers)
	for _, other := range a.subscribers {
		if other.Instance == s.Instance {
			count--
		}
	}
	if count < a.limits.Unconditional || len(relays) < a.limits.PerDomain && count < a.limits.Max {
		return Verdict{Admitted: true, ID: a.add(s)}
	}
	return Verdict{Redirect: relays}
}

// Remove ends an admitted subscription; it may have been replaced already.
func (a *Admission) Remove(id uint64) { delete(a.subscribers, id) }

// relays returns the addresses of the subscribers to which s can be redirected.
func (a *Admission) relays(s Subscriber, failed []string) []string {
	var out []string
	for _, other := range a.subscribers {
		if other.FailureDomain == s.FailureDomain && other.Instance != s.Instance && other.Address != "" &&
			other.Address != s.Address && !slices.Contains(failed, other.Address) {
			out = append(out, other.Address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (a *Admission) add(s Subscriber) uint64 {
	for id, other := range a.subscribers {
		if other.Instance == s.Instance {
			delete(a.subscribers, id)
		}
	}
	a.lastID++
	a.subscribers[a.lastID] = s
	return a.lastID
}
