package replica

import (
	"slices"
	"strings"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Groups returns the groups that an instance has a replica in, as the settings
// name them: the group of all, that of its failure domain, and its shards.
func Groups(s *settings.Settings) []ledger.GroupID {
	out := []ledger.GroupID{ledger.FleetGroup, ledger.DomainGroup(s.FailureDomain)}
	for i, shard := range s.LedgerShards {
		if slices.Contains(shard, s.Instance) {
			out = append(out, ledger.ShardGroup(i))
		}
	}
	return out
}

// MembersOf returns the peers of a group in ascending order of their instance.
func MembersOf(s *settings.Settings, group ledger.GroupID) []settings.Peer {
	var out []settings.Peer
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		if isMember(s, group, peer) {
			out = append(out, peer)
		}
	}
	slices.SortFunc(out, func(a, b settings.Peer) int { return strings.Compare(a.Instance, b.Instance) })
	return out
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

// formationOf returns what the settings say of a group that is to form.
func formationOf(s *settings.Settings, group ledger.GroupID) ledger.Formation {
	out := ledger.Formation{Shards: shardsOf(s, group)}
	if out.Shards > 0 {
		out.Layout = ledger.Layout(s.LedgerShards)
	}
	for _, peer := range MembersOf(s, group) {
		out.List.Members = append(out.List.Members, peer.Instance)
		out.List.Addresses = append(out.List.Addresses, peer.Address)
	}
	return out
}

// shardsOf returns the number of shards that a group is one of. The minted keys
// of a failure domain have no shards.
func shardsOf(s *settings.Settings, group ledger.GroupID) int {
	if strings.HasPrefix(string(group), string(ledger.DomainGroup(""))) {
		return 0
	}
	return len(s.LedgerShards)
}

// directory knows how to reach instances: by the settings, or else by the
// address that a member list gives. It is not safe for concurrent use.
type directory struct {
	addresses map[string]string
	members   map[string]member
}

func newDirectory(s *settings.Settings) *directory {
	d := &directory{addresses: make(map[string]string), members: make(map[string]member)}
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		d.addresses[peer.Instance] = peer.Address
	}
	return d
}

// reach returns a member of a list, or false where nothing tells its address.
func (d *directory) reach(list ledger.MemberList, instance string) (member, bool) {
	address := d.addresses[instance]
	if address == "" {
		address = list.AddressOf(instance)
	}
	known, ok := d.members[instance]
	if ok && known.client.Address() == address {
		return known, true
	}
	if address == "" {
		return member{}, false
	}
	if ok {
		known.client.Close()
	}
	known = member{instance, rpc.NewClient(address, rpc.PurposeLedger)}
	d.members[instance] = known
	return known, true
}

func (d *directory) close() {
	for _, one := range d.members {
		one.client.Close()
	}
}
