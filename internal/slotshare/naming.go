package slotshare

import (
	"maps"
	"time"

	"peridotwinch.example/peridotwinch/internal/reservation"
)

// nameRetention is the time without a report of the named router to any control replica after
// which another is named: routers report each 0.7 s, and replicas tell each other each 0.7 s.
const nameRetention = 3 * time.Second

// Name is the router that coordinates the slots of small pools.
type Name struct {
	// Address is where the router serves asks; empty if none is named.
	Address string
	// Term orders names; the latest one counts.
	Term uint64
}

// isAfter reports whether a name replaces another. Of two names that replicas gave at the same
// time, the one with the lower address counts.
func (n Name) isAfter(other Name) bool {
	return n.Term > other.Term || n.Term == other.Term && n.Address != "" && n.Address < other.Address
}

// Naming is a process's knowledge of the coordinator. A control replica also names one. It is not
// safe for concurrent use; the zero value knows none.
type Naming struct {
	name Name
	// reportedAt is when the named router last reported to any control replica.
	reportedAt time.Time
	// offers holds the times of the reports of the routers that can be named, by address.
	offers map[string]time.Time
}

// Offer records the report of a router that can be named.
func (n *Naming) Offer(address string, now time.Time) {
	if n.offers == nil {
		n.offers = make(map[string]time.Time)
	}
	maps.DeleteFunc(n.offers, func(_ string, at time.Time) bool { return now.Sub(at) > nameRetention })
	n.offers[address] = now
	if address == n.name.Address {
		n.reportedAt = now
	}
}

// Merge records the name that another process knows, whose router reported at the given time. It
// reports whether the name changes.
func (n *Naming) Merge(name Name, reportedAt time.Time) bool {
	if name == n.name {
		if reportedAt.After(n.reportedAt) {
			n.reportedAt = reportedAt
		}
		return false
	}
	if !name.isAfter(n.name) {
		return false
	}
	n.name, n.reportedAt = name, reportedAt
	return true
}

// Elect names a router if the named one has not reported for some time, and reports whether the
// name changes. Only a control replica with a quorum calls it, after it had time to hear of a name
// that another replica knows. Terms follow the clock, so that a name that is given after all
// replicas have restarted is later than the ones before.
func (n *Naming) Elect(now time.Time) bool {
	maps.DeleteFunc(n.offers, func(_ string, at time.Time) bool { return now.Sub(at) > nameRetention })
	if now.Sub(n.reportedAt) <= nameRetention || len(n.offers) == 0 {
		return false
	}
	routers := make([]string, 0, len(n.offers))
	for address := range n.offers {
		routers = append(routers, address)
	}
	address := reservation.Owner("", routers)
	n.name = Name{Address: address, Term: max(n.name.Term+1, uint64(max(now.Unix(), 0)))}
	n.reportedAt = n.offers[address]
	return true
}

// Name returns the name and when its router last reported.
func (n *Naming) Name() (Name, time.Time) { return n.name, n.reportedAt }
