package relay

import (
	"maps"
	"time"
)

// SubtreeRetention is how long a follower's report counts: three report intervals.
const SubtreeRetention = 2100 * time.Millisecond

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

// Has reports whether a follower has a recent report.
func (s *Subtrees) Has(follower string, now time.Time) bool {
	s.evict(now)
	_, found := s.reports[follower]
	return found
}

func (s *Subtrees) evict(now time.Time) {
	maps.DeleteFunc(s.reports, func(_ string, report subtreeReport) bool { return now.Sub(report.received) > SubtreeRetention })
}

// Sum returns the summary of all followers with a recent report and, unless its name is empty,
// of one more router. It evicts outdated reports.
func (s *Subtrees) Sum(own Applied, now time.Time) Subtree {
	out := Subtree{}
	if own.Router != "" {
		out = Subtree{Routers: 1, Lowest: own}
	}
	s.evict(now)
	for _, report := range s.reports {
		if report.subtree.Routers > 0 && (out.Routers == 0 || report.subtree.Lowest.Generation < out.Lowest.Generation) {
			out.Lowest = report.subtree.Lowest
		}
		out.Routers += report.subtree.Routers
	}
	return out
}
