package catalog

import (
	"hash/maphash"
	"maps"
)

// shardCount is how many parts a sharded map has. A change copies one part of
// each map that it touches, and shares the others with the earlier catalogs.
const shardCount = 256

var shardSeed = maphash.MakeSeed()

// shardedMap is a map whose copies share what they have in common. A copy may be
// changed by its maker until it is handed out; from then on it is only read.
type shardedMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
	// owned marks the shards that no other copy shares.
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

// own returns the shard of a key after making sure that it is not shared.
func (m *shardedMap[K, V]) own(key K) map[K]V {
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
	shard := m.own(key)
	m.count -= len(shard)
	shard[key] = value
	m.count += len(shard)
}

func (m *shardedMap[K, V]) remove(key K) {
	shard := m.own(key)
	m.count -= len(shard)
	delete(shard, key)
	m.count += len(shard)
}

// all calls yield with each key and value until it returns false.
func (m *shardedMap[K, V]) all(yield func(K, V) bool) {
	for _, shard := range m.shards {
		for key, value := range shard {
			if !yield(key, value) {
				return
			}
		}
	}
}
