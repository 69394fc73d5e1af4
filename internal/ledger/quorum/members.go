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

// Members holds the initial members of each group, as the settings list them. The
// member lists that replicas report replace them.
type Members struct {
	// Domain is the failure domain of this daemon.
	Domain string
	// Fleet holds all replicas. Without shards they form the group of the keys
	// that customers choose.
	Fleet []Member
	// Shards holds the replicas of each shard of the keys that customers choose.
	Shards [][]Member
	// Domains holds the replicas of each failure domain by its name.
	Domains map[string][]Member
}

// MembersFrom returns the initial members of the groups from the peers and the
// ledger shards in the settings.
func MembersFrom(s *settings.Settings) Members {
	members := Members{Domain: s.FailureDomain, Domains: make(map[string][]Member)}
	byName := make(map[string]Member)
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		member := Member{peer.Instance, peer.Address}
		byName[peer.Instance] = member
		members.Fleet = append(members.Fleet, member)
		members.Domains[peer.FailureDomain] = append(members.Domains[peer.FailureDomain], member)
	}
	for _, shard := range s.LedgerShards {
		var replicas []Member
		for _, instance := range shard {
			replicas = append(replicas, byName[instance])
		}
		members.Shards = append(members.Shards, replicas)
	}
	return members
}

// initialMemberList returns the member list that the settings give a group, in
// ascending order of the instance names.
func initialMemberList(members []Member) ledger.MemberList {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return strings.Compare(a.Instance, b.Instance)
	})
	list := ledger.MemberList{}
	for _, member := range sorted {
		list.Members = append(list.Members, member.Instance)
		list.Addresses = append(list.Addresses, member.Address)
	}
	return list
}
