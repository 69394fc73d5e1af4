package layout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// LedgerShards asks for shards of the ledger's keys.
type LedgerShards struct {
	// Count is the number of shards. It can't change once the ledger has formed.
	Count int `json:"count"`
	// Replicas is the number of replicas of a shard: 3 or 5.
	Replicas int `json:"replicas"`
}

// candidate is a ledger replica and how many shards it is in already.
type candidate struct {
	peer settings.Peer
	load int
}

// shards returns the members of each shard. Each takes the least loaded failure
// domains and their least loaded replicas; among equals a hash decides.
func (v *Inventory) shards(peers []settings.Peer) ([][]string, error) {
	want := v.LedgerShards
	if want.Count == 0 {
		return nil, nil
	}
	domains := make(map[string][]*candidate)
	for _, peer := range peers {
		if peer.HasRole(settings.RoleLedger) {
			domains[peer.FailureDomain] = append(domains[peer.FailureDomain], &candidate{peer: peer})
		}
	}
	if want.Count < 0 || want.Count > ledger.Slots {
		return nil, api.FieldErrorf(api.CodeSettingsInvalid, "ledgerShards.count", "%d is not between 0 and %d", want.Count, ledger.Slots)
	}
	if len(domains) < want.Replicas {
		return nil, api.FieldErrorf(api.CodeSettingsInvalid, "ledgerShards.replicas",
			"%d replicas need as many failure domains with ledger replicas, there are %d", want.Replicas, len(domains))
	}
	out := make([][]string, want.Count)
	for shard := range out {
		out[shard] = placeShard(shard, want.Replicas, domains)
	}
	return out, nil
}

func placeShard(shard, replicas int, domains map[string][]*candidate) []string {
	var best []*candidate
	for _, candidates := range domains {
		best = append(best, slices.MinFunc(candidates, func(a, b *candidate) int { return compareCandidates(shard, a, b) }))
	}
	slices.SortFunc(best, func(a, b *candidate) int { return compareCandidates(shard, a, b) })
	var out []string
	for _, one := range best[:replicas] {
		one.load++
		out = append(out, one.peer.Instance)
	}
	slices.Sort(out)
	return out
}

func compareCandidates(shard int, a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(rank(shard, a), rank(shard, b)))
}

func rank(shard int, one *candidate) uint64 {
	return xxhash.Sum64String(string(ledger.ShardGroup(shard)) + " " + one.peer.Instance)
}
