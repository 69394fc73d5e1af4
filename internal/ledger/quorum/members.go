package quorum

import "peridotwinch.example/peridotwinch/internal/settings"

// MembersFrom returns the groups that the settings' peers make up.
func MembersFrom(s *settings.Settings) Members {
	out := Members{Domain: s.FailureDomain, Domains: make(map[string][]string)}
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		out.Fleet = append(out.Fleet, peer.Address)
		out.Domains[peer.FailureDomain] = append(out.Domains[peer.FailureDomain], peer.Address)
	}
	return out
}
