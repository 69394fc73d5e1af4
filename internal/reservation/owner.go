// Package reservation has the rules by which the routers of a failure domain
// reserve slots of backend servers with each other. Each server is owned by one
// router, which counts all requests in flight on it and grants reservations to the
// others. The package is pure: it does no I/O, reads no clock and starts no
// goroutine.
package reservation

import "github.com/cespare/xxhash/v2"

// singleOwnerMaxServers is the largest number of servers of a pool that one router
// owns as a whole. That router also has the exact mean load of the pool, which
// matters most when the pool has few servers.
const singleOwnerMaxServers = 32

// OwnerKey returns the key to pass to Owner for a server of a pool that has
// serverCount servers: the pool for a small pool, else the server.
func OwnerKey(pool, server string, serverCount int) string {
	if serverCount > singleOwnerMaxServers {
		return server
	}
	return pool
}

// Owner returns the router that owns the servers of a key: the one with the
// highest score by rendezvous hashing. It returns "" if there are no routers.
func Owner(key string, routers []string) string {
	best, highestScore := "", uint64(0)
	for _, router := range routers {
		if score := xxhash.Sum64String(key + "\x00" + router); best == "" || score > highestScore {
			best, highestScore = router, score
		}
	}
	return best
}

// PeerCounts counts the reservations that other routers hold, by server and router.
// It is not safe for concurrent use.
type PeerCounts struct {
	byServer map[string]*serverCounts
}

type serverCounts struct {
	byRouter map[string]int
	sum      int
}

// NewPeerCounts returns empty counts.
func NewPeerCounts() *PeerCounts { return &PeerCounts{byServer: make(map[string]*serverCounts)} }

// Set sets the number of reservations that a router holds on a server.
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

// Add adds one reservation of a router on a server.
func (c *PeerCounts) Add(server, router string) { c.Set(server, router, c.Get(server, router)+1) }

// Get returns the number of reservations that a router holds on a server.
func (c *PeerCounts) Get(server, router string) int {
	if s := c.byServer[server]; s != nil {
		return s.byRouter[router]
	}
	return 0
}

// Sum returns the number of reservations that all other routers hold on a server.
func (c *PeerCounts) Sum(server string) int {
	if s := c.byServer[server]; s != nil {
		return s.sum
	}
	return 0
}

// Forget drops the reservations of a router whose stream has ended, and returns
// the servers on which it held any.
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
