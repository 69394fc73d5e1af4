// Package reservation keeps the places on backend servers that the routers of a
// failure domain reserve with each other. Each server has one owner among them,
// which knows every request in flight on it. The package is pure: it does no
// I/O, takes no time and starts no goroutine.
package reservation

import "github.com/cespare/xxhash/v2"

// smallPool is the number of servers up to which one router owns a whole pool.
// It then knows the pool's mean load exactly too, which matters most where the
// servers are few.
const smallPool = 32

// OwnerKey returns what the owner of a server is found by, in a pool with a
// number of servers.
func OwnerKey(pool, server string, servers int) string {
	if servers > smallPool {
		return server
	}
	return pool
}

// Owner returns the router that owns the servers of a key: the highest by
// rendezvous hashing. It is empty without routers.
func Owner(key string, routers []string) string {
	best, highest := "", uint64(0)
	for _, router := range routers {
		if score := xxhash.Sum64String(key + "\x00" + router); best == "" || score > highest {
			best, highest = router, score
		}
	}
	return best
}

// PeerCounts holds the places that other routers hold, by server and router. It is
// not safe for concurrent use.
type PeerCounts struct {
	byServer map[string]*serverCounts
}

type serverCounts struct {
	byRouter map[string]int
	sum      int
}

// NewPeerCounts returns counts of zero.
func NewPeerCounts() *PeerCounts { return &PeerCounts{byServer: make(map[string]*serverCounts)} }

// Set records the places that a router holds on a server.
func (c *PeerCounts) Set(server, router string, count int) {
	s := c.byServer[server]
	if s == nil {
		if count == 0 {
			return
		}
		s = &serverCounts{byRouter: make(map[string]int)}
		c.byServer[server] = s
	}
	s.sum += count - s.byRouter[router]
	s.byRouter[router] = count
	if count == 0 {
		delete(s.byRouter, router)
	}
	if len(s.byRouter) == 0 {
		delete(c.byServer, server)
	}
}

// Add records a place that was granted to a router.
func (c *PeerCounts) Add(server, router string) { c.Set(server, router, c.Get(server, router)+1) }

// Get returns the places that a router holds on a server.
func (c *PeerCounts) Get(server, router string) int {
	if s := c.byServer[server]; s != nil {
		return s.byRouter[router]
	}
	return 0
}

// Sum returns the places that other routers hold on a server.
func (c *PeerCounts) Sum(server string) int {
	if s := c.byServer[server]; s != nil {
		return s.sum
	}
	return 0
}

// Forget drops the places of a router whose stream has ended, and returns the
// servers that they were on.
func (c *PeerCounts) Forget(router string) []string {
	var servers []string
	for server, counts := range c.byServer {
		if counts.byRouter[router] > 0 {
			servers = append(servers, server)
			c.Set(server, router, 0)
		}
	}
	return servers
}
