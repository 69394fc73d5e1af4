package ledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes in bytes of the parts of a minted key's last field.
const (
	mintedTimeBytes   = 4
	mintedRandomBytes = 12
	mintedCheckBytes  = 4
	mintedBytes       = mintedTimeBytes + mintedRandomBytes + mintedCheckBytes
)

// KeyHash identifies a customer's key at the replicas.
type KeyHash [sha256.Size]byte

// Hash returns the identifier of the key at the replicas. The hash covers the
// length of the customer first, so keys of different customers never share an
// identifier.
func (k Key) Hash() KeyHash {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(k.Customer)))
	hash.Write(length[:])
	hash.Write([]byte(k.Customer))
	hash.Write([]byte(k.Value))
	var sum KeyHash
	hash.Sum(sum[:0])
	return sum
}

// GroupID identifies a group of replicas.
type GroupID string

// FleetGroup is the group of all replicas. Without shards it stores the claims of
// customers' own keys.
const FleetGroup GroupID = "fleet"

// DomainGroup returns the group of a failure domain, which stores the claims of
// its minted keys.
func DomainGroup(domain string) GroupID { return GroupID("domain/" + domain) }

// MintedKey is a key that is bound to the group of a failure domain.
type MintedKey struct {
	Domain string
	// Generation is the group's generation when the key was minted.
	Generation uint64
	MintedAt   time.Time
	random     [mintedRandomBytes]byte
}

// NewMintedKey returns a new key. The mint time is truncated to whole seconds.
func NewMintedKey(domain string, generation uint64, now time.Time) MintedKey {
	key := MintedKey{Domain: domain, Generation: generation, MintedAt: time.Unix(now.Unix(), 0)}
	_, _ = rand.Read(key.random[:])
	return key
}

// String returns the key as callers send it: {domain}.{generation}.{random}. The
// last part is hexadecimal and holds the mint time, random bytes and a checksum.
func (k MintedKey) String() string {
	var suffix [mintedBytes]byte
	binary.BigEndian.PutUint32(suffix[:], uint32(k.MintedAt.Unix()))
	copy(suffix[mintedTimeBytes:], k.random[:])
	prefix := fmt.Sprintf("%s.%d.", k.Domain, k.Generation)
	payload := suffix[:mintedBytes-mintedCheckBytes]
	binary.BigEndian.PutUint32(suffix[len(payload):], checksum(prefix, payload))
	return prefix + hex.EncodeToString(suffix[:])
}

// ParseMintedKey parses a caller's key and reports whether it is a minted key.
// The checksum distinguishes it from a customer's own key, independent of the
// failure domains that a router has in its settings.
func ParseMintedKey(value string) (MintedKey, bool) {
	suffixDot := strings.LastIndexByte(value, '.')
	if suffixDot < 0 {
		return MintedKey{}, false
	}
	suffix, err := hex.DecodeString(value[suffixDot+1:])
	if err != nil || len(suffix) != mintedBytes {
		return MintedKey{}, false
	}
	generationDot := strings.LastIndexByte(value[:suffixDot], '.')
	if generationDot < 0 {
		return MintedKey{}, false
	}
	generation, err := strconv.ParseUint(value[generationDot+1:suffixDot], 10, 64)
	if err != nil {
		return MintedKey{}, false
	}
	payload := suffix[:mintedBytes-mintedCheckBytes]
	if binary.BigEndian.Uint32(suffix[len(payload):]) != checksum(value[:suffixDot+1], payload) {
		return MintedKey{}, false
	}
	key := MintedKey{Domain: value[:generationDot], Generation: generation}
	key.MintedAt = time.Unix(int64(binary.BigEndian.Uint32(suffix)), 0)
	copy(key.random[:], payload[mintedTimeBytes:])
	return key, key.String() == value
}

func checksum(prefix string, payload []byte) uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(prefix)
	_, _ = digest.Write(payload)
	return uint32(digest.Sum64())
}
