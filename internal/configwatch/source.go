package configwatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// nearestFirst returns the control replicas in the order in which this router
// tries them: those of its failure domain, those of its region, the others. The
// order among equally near replicas differs between routers, which spreads the load.
func nearestFirst(s *settings.Settings) []settings.Peer {
	controls := s.PeersWithRole(settings.RoleControl)
	slices.SortStableFunc(controls, func(a, b settings.Peer) int {
		if byDistance := cmp.Compare(distance(s, a), distance(s, b)); byDistance != 0 {
			return byDistance
		}
		return cmp.Compare(xxhash.Sum64String(s.Instance+a.Instance), xxhash.Sum64String(s.Instance+b.Instance))
	})
	return controls
}

// distance returns 0 for a peer in the own failure domain, 1 for one in the own
// region and 2 for others.
func distance(s *settings.Settings, peer settings.Peer) int {
	switch {
	case peer.FailureDomain == s.FailureDomain:
		return 0
	case peer.Region == s.Region:
		return 1
	}
	return 2
}

// domainRouters returns the other routers of the failure domain.
func domainRouters(s *settings.Settings) []settings.Peer {
	return slices.DeleteFunc(s.PeersWithRole(settings.RoleRouter), func(p settings.Peer) bool {
		return p.Instance == s.Instance || p.FailureDomain != s.FailureDomain
	})
}
