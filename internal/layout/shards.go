package layout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// LedgerShards configures the shards of the ledger's keys.
type LedgerShards struct {
	// Count is the number of shards, 0 for none. It cannot change after the ledger groups
	// have formed.
	Count int `json:"count"`
	// Replicas is the number of replicas of each shard: 3 or 5.
	Replicas int `json:"replicas"`
}

// candidate is a ledger replica with the number of shards already assigned to it.
type candidate struct {
	peer       settings.Peer
	shardCount int
}

// shards returns the members of each shard. Each shard gets the least loaded replicas of
// the least loaded failure domains; a hash breaks ties, so the result depends only on the
// inventory.
func (v *Inventory) shards(peers []settings.Peer) ([][]string, error) {
	config := v.LedgerShards
	if config.Count == 0 {
		return nil, nil
	}
	domains := make(map[string][]*candidate)
	for _, peer := range peers {
		if peer.HasRole(settings.RoleLedger) {
			domains[peer.FailureDomain] = append(domains[peer.FailureDomain], &candidate{peer: peer})
		}
	}
	if config.Count < 0 || config.Count > ledger.Slots {
		return nil, api.FieldErrorf(api.CodeSettingsInvalid, "ledgerShards.count", "%d is not between 0 and %d", config.Count, ledger.Slots)
	}
	if len(domains) < config.Replicas {
		return nil, api.FieldErrorf(api.CodeSettingsInvalid, "ledgerShards.replicas",
			"%d replicas require as many failure domains with ledger replicas; the inventory has %d", config.Replicas, len(domains))
	}
	out := make([][]string, config.Count)
	for shard := range out {
		out[shard] = assignReplicas(shard, config.Replicas, domains)
	}
	return out, nil
}

// assignReplicas assigns a shard to the best candidate of each of the best failure domains, and
// returns their instances in sorted order. It requires at least as many domains as replicas.
func assignReplicas(shard, replicas int, domains map[string][]*candidate) []string {
	var bestPerDomain []*candidate
	for _, candidates := range domains {
		bestPerDomain = append(bestPerDomain, slices.MinFunc(candidates, func(a, b *candidate) int { return compareCandidates(shard, a, b) }))
	}
	slices.SortFunc(bestPerDomain, func(a, b *candidate) int { return compareCandidates(shard, a, b) })
	var out []string
	for _, c := range bestPerDomain[:replicas] {
		c.shardCount++
		out = append(out, c.peer.Instance)
	}
	slices.Sort(out)
	return out
}

func compareCandidates(shard int, a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.shardCount, b.shardCount), cmp.Compare(tieBreakHash(shard, a), tieBreakHash(shard, b)))
}

func tieBreakHash(shard int, c *candidate) uint64 {
	return xxhash.Sum64String(string(ledger.ShardGroup(shard)) + " " + c.peer.Instance)
}
