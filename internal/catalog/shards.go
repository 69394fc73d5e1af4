package catalog

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of shards of a sharded map. A change of a key copies only
// the shard of that key; the other shards stay shared with earlier catalogs.
const shardCount = 256

var shardSeed = maphash.MakeSeed()

// shardedMap is a copy-on-write map whose clones share unchanged shards. A clone may
// be changed only until it is published; from then on it must only be read. The
// zero value is empty.
type shardedMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
	// owned marks the shards that no other clone shares.
	owned [shardCount]bool
	count int
}

// clone returns a copy that may be changed. A nil map counts as empty.
func (m *shardedMap[K, V]) clone() *shardedMap[K, V] {
	if m == nil {
		return &shardedMap[K, V]{}
	}
	return &shardedMap[K, V]{shards: m.shards, count: m.count}
}

func shardOf[K comparable](key K) int {
	return int(maphash.Comparable(shardSeed, key) % shardCount)
}

// get returns the value of a key, or the zero value.
func (m *shardedMap[K, V]) get(key K) V { return m.shards[shardOf(key)][key] }

// ownedShard returns the shard of a key for writing. It copies the shard first if
// other clones share it.
func (m *shardedMap[K, V]) ownedShard(key K) map[K]V {
	i := shardOf(key)
	if !m.owned[i] {
		m.owned[i] = true
		m.shards[i] = maps.Clone(m.shards[i])
	}
	if m.shards[i] == nil {
		m.shards[i] = make(map[K]V)
	}
	return m.shards[i]
}

func (m *shardedMap[K, V]) set(key K, value V) {
	shard := m.ownedShard(key)
	m.count -= len(shard)
	shard[key] = value
	m.count += len(shard)
}

func (m *shardedMap[K, V]) remove(key K) {
	shard := m.ownedShard(key)
	m.count -= len(shard)
	delete(shard, key)
	m.count += len(shard)
}

// iterate calls yield with each key and value until it returns false.
func (m *shardedMap[K, V]) iterate(yield func(K, V) bool) {
	for _, shard := range m.shards {
		for key, value := range shard {
			if !yield(key, value) {
				return
			}
		}
	}
}
