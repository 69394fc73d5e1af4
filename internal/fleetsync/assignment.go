package fleetsync

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Announcements by their results: they repeat what is known, change it, or are late and dropped.
var (
	announcementsRepeated = metrics.NewCounter(`peridotwinch_fleet_announcements_total{result="repeated"}`)
	announcementsChanged  = metrics.NewCounter(`peridotwinch_fleet_announcements_total{result="changed"}`)
	announcementsLate     = metrics.NewCounter(`peridotwinch_fleet_announcements_total{result="late"}`)
)

// assignedShare bounds the assigned servers of a replica, as a multiple of its equal share of all servers. The
// others go on choosing a replica for each announcement, so that they spread again after a replica was lost.
const assignedShare = 1.25

// AssignServer assigns a server to this replica, if it is below its share, and reports whether it did:
// an assigned server sends its later announcements to this replica. In a large fleet a new connection for
// each announcement costs more than the announcement, and the digests of all replicas would name each
// server. Smaller fleets have no assigned servers.
func (s *Service) AssignServer(hash uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Len() <= maxCompleteServers {
		return false
	}
	// A late announcement of an older incarnation was dropped: its sender is not listed.
	if _, announced := s.announcedAt[hash]; !announced {
		return false
	}
	if _, assigned := s.assignedAt[hash]; !assigned && float64(len(s.assignedAt)) >= assignedShare*float64(s.table.Len())/float64(len(s.peers)+1) {
		return false
	}
	s.assignedAt[hash] = now
	return true
}

// AssignedServers returns the number of assigned servers that announce themselves to this replica.
func (s *Service) AssignedServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.assignedAt)
}
