package relay

import (
	"maps"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// MaxRouters limits the number of routers that are numbered.
const MaxRouters = 1 << 20

// Numbering is the range of consecutive indices that the routers of a subtree have among all
// routers. The zero value means that the range is unknown.
type Numbering struct {
	// First is the lowest index, Length the number of indices and Count the number of all
	// routers.
	First, Length, Count int
}

// IsValid reports whether the range is known and within the bounds; one received from the network
// may not be.
func (n Numbering) IsValid() bool {
	return n.Count > 0 && n.Count <= MaxRouters && n.First >= 0 && n.Length > 0 && n.Length <= n.Count && n.First <= n.Count-n.Length
}

// Position returns the position of the router at the top of the subtree.
func (n Numbering) Position() ratelimit.Position {
	return ratelimit.Position{Index: n.First, Count: n.Count}
}

// Followers returns the range that is left for the followers of the router at the top.
func (n Numbering) Followers() Numbering {
	if n.Length < 2 {
		return Numbering{}
	}
	return Numbering{First: n.First + 1, Length: n.Length - 1, Count: n.Count}
}

// Part returns the part of a range that belongs to a follower and all that follow it, or the zero
// value if the range or the follower is unknown. The followers with a recent report take parts of
// their reported size in the order of their names, so that one router more or less moves no
// other index by more than one. Parts never overlap; the range has no index for routers that
// its sender did not count yet.
func (s *Subtrees) Part(whole Numbering, follower string, now time.Time) Numbering {
	if !whole.IsValid() {
		return Numbering{}
	}
	s.evict(now)
	first, end := whole.First, whole.First+whole.Length
	for _, name := range slices.Sorted(maps.Keys(s.reports)) {
		length := min(max(s.reports[name].subtree.Routers, 0), end-first)
		if name == follower {
			if length == 0 {
				return Numbering{}
			}
			return Numbering{First: first, Length: length, Count: whole.Count}
		}
		first += length
	}
	return Numbering{}
}
