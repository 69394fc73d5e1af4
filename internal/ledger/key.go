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

// Layout of the random part of a minted key, in bytes.
const (
	mintedTimeBytes   = 4
	mintedRandomBytes = 12
	mintedCheckBytes  = 4
	mintedBytes       = mintedTimeBytes + mintedRandomBytes + mintedCheckBytes
)

// KeyHash names a customer's key at the replicas.
type KeyHash [sha256.Size]byte

// Hash returns the key's name at the replicas; keys of different customers
// never share one.
func (k Key) Hash() KeyHash {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(k.Customer)))
	hash.Write(length[:])
	hash.Write([]byte(k.Customer))
	hash.Write([]byte(k.Value))
	var out KeyHash
	hash.Sum(out[:0])
	return out
}

// GroupID names a group of replicas.
type GroupID string

// FleetGroup is the group of all replicas; it claims customers' own keys.
const FleetGroup GroupID = "fleet"

// DomainGroup returns the group of a failure domain; it claims minted keys.
func DomainGroup(domain string) GroupID { return GroupID("domain/" + domain) }

// MintedKey is a key that is bound to a failure domain's group.
type MintedKey struct {
	Domain string
	// Generation is that of the group when it minted the key.
	Generation uint64
	MintedAt   time.Time
	random     [mintedRandomBytes]byte
}

// NewMintedKey returns a new key; its mint time is in whole seconds.
func NewMintedKey(domain string, generation uint64, now time.Time) MintedKey {
	key := MintedKey{Domain: domain, Generation: generation, MintedAt: time.Unix(now.Unix(), 0)}
	_, _ = rand.Read(key.random[:])
	return key
}

// String returns the key as callers send it: {domain}.{epoch}.{random}, where
// the last part holds the mint time and a checksum besides the random bytes.
func (k MintedKey) String() string {
	var part [mintedBytes]byte
	binary.BigEndian.PutUint32(part[:], uint32(k.MintedAt.Unix()))
	copy(part[mintedTimeBytes:], k.random[:])
	prefix := fmt.Sprintf("%s.%d.", k.Domain, k.Generation)
	body := part[:mintedBytes-mintedCheckBytes]
	binary.BigEndian.PutUint32(part[len(body):], checksum(prefix, body))
	return prefix + hex.EncodeToString(part[:])
}

// ParseMintedKey reports whether a caller's key was minted. The checksum tells
// it from a customer's own key, whatever failure domains a router knows.
func ParseMintedKey(value string) (MintedKey, bool) {
	last := strings.LastIndexByte(value, '.')
	if last < 0 {
		return MintedKey{}, false
	}
	part, err := hex.DecodeString(value[last+1:])
	if err != nil || len(part) != mintedBytes {
		return MintedKey{}, false
	}
	middle := strings.LastIndexByte(value[:last], '.')
	if middle < 0 {
		return MintedKey{}, false
	}
	generation, err := strconv.ParseUint(value[middle+1:last], 10, 64)
	if err != nil {
		return MintedKey{}, false
	}
	body := part[:mintedBytes-mintedCheckBytes]
	if binary.BigEndian.Uint32(part[len(body):]) != checksum(value[:last+1], body) {
		return MintedKey{}, false
	}
	key := MintedKey{Domain: value[:middle], Generation: generation}
	key.MintedAt = time.Unix(int64(binary.BigEndian.Uint32(part)), 0)
	copy(key.random[:], body[mintedTimeBytes:])
	return key, key.String() == value
}

func checksum(prefix string, body []byte) uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(prefix)
	_, _ = digest.Write(body)
	return uint32(digest.Sum64())
}
