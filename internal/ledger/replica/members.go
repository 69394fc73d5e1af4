package replica

import (
	"slices"
	"strings"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Groups returns the groups in which the settings give the instance a replica: the
// fleet group, the group of its failure domain, and its shards.
func Groups(s *settings.Settings) []ledger.GroupID {
	groups := []ledger.GroupID{ledger.FleetGroup, ledger.DomainGroup(s.FailureDomain)}
	for i, shard := range s.LedgerShards {
		if slices.Contains(shard, s.Instance) {
			groups = append(groups, ledger.ShardGroup(i))
		}
	}
	return groups
}

// MembersOf returns the peers that the settings make members of a group, in
// ascending order of their instances.
func MembersOf(s *settings.Settings, group ledger.GroupID) []settings.Peer {
	var members []settings.Peer
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		if isMember(s, group, peer) {
			members = append(members, peer)
		}
	}
	slices.SortFunc(members, func(a, b settings.Peer) int { return strings.Compare(a.Instance, b.Instance) })
	return members
}

func isMember(s *settings.Settings, group ledger.GroupID, peer settings.Peer) bool {
	if group == ledger.FleetGroup || group == ledger.DomainGroup(peer.FailureDomain) {
		return true
	}
	for i, shard := range s.LedgerShards {
		if group == ledger.ShardGroup(i) {
			return slices.Contains(shard, peer.Instance)
		}
	}
	return false
}

// configuredFormation returns the formation that the settings describe for a group.
func configuredFormation(s *settings.Settings, group ledger.GroupID) ledger.Formation {
	formation := ledger.Formation{Shards: shardCount(s, group)}
	if formation.Shards > 0 {
		formation.Layout = ledger.LayoutFingerprint(s.LedgerShards)
	}
	for _, peer := range MembersOf(s, group) {
		formation.List.Members = append(formation.List.Members, peer.Instance)
		formation.List.Addresses = append(formation.List.Addresses, peer.Address)
	}
	return formation
}

// shardCount returns the number of shards of the customers' own keys, or 0 for the
// group of a failure domain, whose minted keys are not sharded.
func shardCount(s *settings.Settings, group ledger.GroupID) int {
	if strings.HasPrefix(string(group), string(ledger.DomainGroup(""))) {
		return 0
	}
	return len(s.LedgerShards)
}

// clientCache caches one RPC client per instance. It takes the address of an
// instance from the settings, or else from a member list. It is not safe for
// concurrent use.
type clientCache struct {
	// addresses has the addresses in the settings, by instance.
	addresses map[string]string
	members   map[string]member
}

func newClientCache(s *settings.Settings) *clientCache {
	c := &clientCache{addresses: make(map[string]string), members: make(map[string]member)}
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		c.addresses[peer.Instance] = peer.Address
	}
	return c
}

// lookup returns the member of a list with its client, or false if its address is
// unknown. It replaces a cached client whose address has changed.
func (c *clientCache) lookup(list ledger.MemberList, instance string) (member, bool) {
	address := c.addresses[instance]
	if address == "" {
		address = list.AddressOf(instance)
	}
	cached, ok := c.members[instance]
	if ok && cached.client.Address() == address {
		return cached, true
	}
	if address == "" {
		return member{}, false
	}
	if ok {
		cached.client.Close()
	}
	cached = member{instance, rpc.NewClient(address, rpc.PurposeLedger)}
	c.members[instance] = cached
	return cached, true
}

// close closes all cached clients.
func (c *clientCache) close() {
	for _, m := range c.members {
		m.client.Close()
	}
}
