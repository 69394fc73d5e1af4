package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
)

// Slots is the number of slots that customers' own keys are divided into. It
// must never change. A shard is a contiguous range of slots.
const Slots = 64

// ShardGroup returns the group of a shard of customers' own keys.
func ShardGroup(shard int) GroupID { return GroupID("shard/" + strconv.Itoa(shard)) }

// Slot returns the key's slot. It uses the first byte of the hash, which is
// distributed uniformly.
func (h KeyHash) Slot() int { return int(h[0]) % Slots }

// Shard returns the key's shard for a number of shards that is at most Slots.
func (h KeyHash) Shard(shards int) int { return h.Slot() * shards / Slots }

// CustomerGroup returns the group that stores the claims of a customer's own
// key. Without shards, all replicas form one group.
func CustomerGroup(key KeyHash, shards int) GroupID {
	if shards == 0 {
		return FleetGroup
	}
	return ShardGroup(key.Shard(shards))
}

// MemberList is the member list of a group.
type MemberList struct {
	// ListEpoch is the epoch of the change that introduced the list, 0 for the first
	// list. Of two lists, the one with the higher epoch is newer.
	ListEpoch uint64
	// Members are the instances in ascending order.
	Members []string
	// Addresses holds the RPC addresses in the order of Members.
	Addresses []string
}

// Has reports whether an instance is a member.
func (l MemberList) Has(instance string) bool { return l.indexOf(instance) >= 0 }

func (l MemberList) indexOf(instance string) int {
	for i, member := range l.Members {
		if member == instance {
			return i
		}
	}
	return -1
}

// ViewFingerprint returns the fingerprint of the number of shards and the members of a
// group. Each claim carries the fingerprint that its router uses, and a replica
// refuses a claim with another one.
func ViewFingerprint(shards int, members []string) uint64 {
	return fingerprint(fmt.Sprintf("view %d %q", shards, members))
}

// LayoutFingerprint returns the fingerprint of the members of all shards, 0 without shards.
func LayoutFingerprint(shards [][]string) uint64 {
	if len(shards) == 0 {
		return 0
	}
	return fingerprint(fmt.Sprintf("layout %q", shards))
}

func fingerprint(text string) uint64 {
	digest := sha256.Sum256([]byte(text))
	return binary.BigEndian.Uint64(digest[:])
}
