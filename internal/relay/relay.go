// Package relay decides how changes travel from the control replicas to the routers: which
// subscriptions a source serves itself and which it redirects to routers that relay, and
// which source a router follows. It does no I/O, starts no goroutine and reads no clock.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxDepth is the maximum number of hops between a control replica and a router at the
	// time of its subscription. A router at this depth admits no other router.
	MaxDepth = 3
	// MaxKeptDepth is the number of hops beyond which a router leaves its source. It exceeds
	// MaxDepth by the two levels of followers that a router may have when it has lost its
	// own source and subscribes to another one at MaxDepth.
	MaxKeptDepth = MaxDepth + 2
)

// Path lists the RPC addresses from a control replica to a source, both included.
type Path []string

// Depth returns the number of hops to a router that follows the path's last source.
func (p Path) Depth() int { return len(p) }

// CanAdmit reports whether the path's last source may admit the router with the given
// address: the path must not contain the router, and the router must not be too deep.
func (p Path) CanAdmit(router string) bool {
	return p.Depth() <= MaxDepth && !slices.Contains(p, router)
}

// CanKeep reports whether the router with the given address may go on following the path's
// last source.
func (p Path) CanKeep(router string) bool {
	return p.Depth() <= MaxKeptDepth && !slices.Contains(p, router)
}

// CanRedirect reports whether the routers that follow the path's last source may serve others.
func (p Path) CanRedirect() bool { return p.Depth() < MaxDepth }

// Rank returns the addresses in a router's order of preference, without duplicates. Each
// router has its own order, so that the routers are distributed over the sources.
func Rank(router string, addresses []string) []string {
	out := slices.Clone(addresses)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(score(router, a), score(router, b)) })
	return slices.Compact(out)
}

// score returns an address's hash for one router; the lowest is preferred.
func score(router, address string) uint64 { return xxhash.Sum64String(router + " " + address) }
