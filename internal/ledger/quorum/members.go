package quorum

import (
	"slices"
	"strings"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Member is a replica of a group.
type Member struct {
	Instance string
	Address  string
}

// Members gives the first members of each group as the settings name them. The
// replicas' own lists replace them.
type Members struct {
	// Domain is the failure domain of this daemon.
	Domain string
	// Fleet holds all replicas. They claim customers' keys where there is no shard.
	Fleet []Member
	// Shards holds the replicas of each shard of customers' keys.
	Shards [][]Member
	// Domains holds the replicas of each failure domain.
	Domains map[string][]Member
}

// MembersFrom returns the groups that the settings' peers make up.
func MembersFrom(s *settings.Settings) Members {
	out := Members{Domain: s.FailureDomain, Domains: make(map[string][]Member)}
	byName := make(map[string]Member)
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		one := Member{peer.Instance, peer.Address}
		byName[peer.Instance] = one
		out.Fleet = append(out.Fleet, one)
		out.Domains[peer.FailureDomain] = append(out.Domains[peer.FailureDomain], one)
	}
	for _, shard := range s.LedgerShards {
		var members []Member
		for _, instance := range shard {
			members = append(members, byName[instance])
		}
		out.Shards = append(out.Shards, members)
	}
	return out
}

// listOf returns the first member list of a group, in ascending order.
func listOf(members []Member) ledger.MemberList {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return strings.Compare(a.Instance, b.Instance)
	})
	list := ledger.MemberList{}
	for _, one := range sorted {
		list.Members = append(list.Members, one.Instance)
		list.Addresses = append(list.Addresses, one.Address)
	}
	return list
}
