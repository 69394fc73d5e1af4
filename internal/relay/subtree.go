package relay

import "time"

// subtreeRetention is how long a follower's report counts: three report intervals.
const subtreeRetention = 2100 * time.Millisecond

// Subtree summarizes the routers that follow a source, directly or through relays.
type Subtree struct {
	Routers int
	// Lowest is the router with the lowest generation of the route table.
	Lowest Applied
}

// Applied is the generation of the route table that a router applies.
type Applied struct {
	Generation uint64
	// Router is the router's instance name.
	Router string
	// Path is the path from the control replica to the router.
	Path Path
}

// Subtrees holds the newest report of each follower. It is not safe for concurrent use.
type Subtrees struct {
	reports map[string]subtreeReport
}

type subtreeReport struct {
	subtree  Subtree
	received time.Time
}

// NewSubtrees returns an empty set of reports.
func NewSubtrees() *Subtrees { return &Subtrees{reports: make(map[string]subtreeReport)} }

// Record replaces the report of a follower.
func (s *Subtrees) Record(follower string, subtree Subtree, now time.Time) {
	s.reports[follower] = subtreeReport{subtree, now}
}

// Sum returns the summary of all followers with a recent report and, unless its name is empty,
// of one more router. It evicts outdated reports.
func (s *Subtrees) Sum(own Applied, now time.Time) Subtree {
	out := Subtree{}
	if own.Router != "" {
		out = Subtree{Routers: 1, Lowest: own}
	}
	for follower, report := range s.reports {
		if now.Sub(report.received) > subtreeRetention {
			delete(s.reports, follower)
			continue
		}
		if report.subtree.Routers > 0 && (out.Routers == 0 || report.subtree.Lowest.Generation < out.Lowest.Generation) {
			out.Lowest = report.subtree.Lowest
		}
		out.Routers += report.subtree.Routers
	}
	return out
}
