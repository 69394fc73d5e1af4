package settings

import (
	"fmt"
	"slices"
)

// maxLedgerShards bounds the shards of the ledger. Keys are hashed to the same number of
// slots, and a slot is never split.
const maxLedgerShards = 64

// ledgerShards checks that each shard has 3 or 5 ledger replicas in different failure domains.
func (v *validator) ledgerShards(s *Settings) {
	if len(s.LedgerShards) > maxLedgerShards {
		v.add("ledgerShards", "%d shards, want at most %d", len(s.LedgerShards), maxLedgerShards)
	}
	domains := make(map[string]string)
	for _, peer := range s.PeersWithRole(RoleLedger) {
		domains[peer.Instance] = peer.FailureDomain
	}
	for i, shard := range s.LedgerShards {
		field := fmt.Sprintf("ledgerShards[%d]", i)
		if len(shard) != 3 && len(shard) != 5 {
			v.add(field, "%d replicas, want 3 or 5", len(shard))
		}
		v.ledgerShard(field, shard, domains)
	}
}

func (v *validator) ledgerShard(field string, shard []string, domains map[string]string) {
	var seen []string
	for _, instance := range shard {
		domain := domains[instance]
		if domain == "" {
			v.add(field, "%q is not listed in peers with the role ledger", instance)
			continue
		}
		if slices.Contains(seen, domain) {
			v.add(field, "more than one replica in failure domain %s", domain)
		}
		seen = append(seen, domain)
	}
}
