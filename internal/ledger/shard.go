package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
)

// Slots is the number of parts that customers' keys are divided into. It never
// changes; a shard holds a range of slots.
const Slots = 64

// ShardGroup returns the group of a shard of customers' own keys.
func ShardGroup(shard int) GroupID { return GroupID("shard/" + strconv.Itoa(shard)) }

// Slot returns the key's slot. The hash is uniform, so any of its bytes will do.
func (h KeyHash) Slot() int { return int(h[0]) % Slots }

// Shard returns the shard of a key among this many shards, which is at most Slots.
func (h KeyHash) Shard(shards int) int { return h.Slot() * shards / Slots }

// CustomerGroup returns the group that claims a customer's own key. With no
// shard, all replicas are one group.
func CustomerGroup(key KeyHash, shards int) GroupID {
	if shards == 0 {
		return FleetGroup
	}
	return ShardGroup(key.Shard(shards))
}

// MemberList is the member list of a group.
type MemberList struct {
	// Since is the epoch that the list came with. Of two lists, the one of the
	// higher epoch counts.
	Since uint64
	// Members are instances in ascending order.
	Members []string
	// Addresses has the RPC address of each member.
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

// View returns the fingerprint of a number of shards and the members of a
// group. A claim carries the one that its router believes.
func View(shards int, members []string) uint64 {
	return fingerprint(fmt.Sprintf("view %d %q", shards, members))
}

// Layout returns the fingerprint of the members of all shards.
func Layout(shards [][]string) uint64 {
	if len(shards) == 0 {
		return 0
	}
	return fingerprint(fmt.Sprintf("layout %q", shards))
}

func fingerprint(text string) uint64 {
	digest := sha256.Sum256([]byte(text))
	return binary.BigEndian.Uint64(digest[:])
}
