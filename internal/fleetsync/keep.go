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

// keptShare is the part of a replica's equal share of the servers up to which it asks servers to stay. Above
// it, servers go on choosing a replica, so that they spread again after a replica was lost.
const keptShare = 1.25

// KeepsAnnouncements reports whether a server should send its later announcements to this replica. In
// a large fleet a new connection for each announcement costs more than the announcement, and the
// digests of all replicas would name each server. Smaller fleets are left alone.
func (s *Service) KeepsAnnouncements(hash uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Len() <= maxCompleteServers {
		return false
	}
	// A late announcement of an older incarnation was dropped: its sender is not listed.
	if _, announced := s.announcedAt[hash]; !announced {
		return false
	}
	if _, kept := s.keptAt[hash]; !kept && float64(len(s.keptAt)) >= keptShare*float64(s.table.Len())/float64(len(s.peers)+1) {
		return false
	}
	s.keptAt[hash] = now
	return true
}

// Kept returns the number of servers that were asked to stay with this replica and do.
func (s *Service) Kept() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keptAt)
}
