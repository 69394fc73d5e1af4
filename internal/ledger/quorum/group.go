package quorum

import (
	"sync"
	"sync/atomic"

	"peridotwinch.example/peridotwinch/internal/ledger"
)

// group knows the members of one group.
type group struct {
	id     ledger.GroupID
	shards int
	// addresses has the settings' addresses, which go before those of lists.
	addresses map[string]string
	// epoch is the highest one seen.
	epoch atomic.Uint64

	mu      sync.Mutex
	current *view
	// learned is set once current comes from a replica and not from the settings.
	learned bool
	// clients holds the client of each address.
	clients map[string]*replicaClient
}

// newGroup returns a group with the member list of the settings. addresses holds
// those of all instances in the settings.
func newGroup(id ledger.GroupID, shards int, list ledger.MemberList, addresses map[string]string) *group {
	g := &group{id: id, shards: shards, addresses: addresses, clients: make(map[string]*replicaClient)}
	g.current = g.viewOf(list)
	return g
}

// now returns the newest view of the group.
func (g *group) now() *view {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}

// learn notes an epoch of a reply.
func (g *group) learn(epoch uint64) {
	for {
		known := g.epoch.Load()
		if epoch <= known || g.epoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}

// learnList takes a member list that a replica follows, if it is newer. A list
// of the settings is older than any.
func (g *group) learnList(shards int, list ledger.MemberList) {
	if shards != g.shards || len(list.Members) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learned && list.Since <= g.current.list.Since {
		return
	}
	g.learned = true
	if ledger.View(shards, list.Members) == g.current.fingerprint {
		g.current.list.Since = list.Since
		return
	}
	g.current = g.viewOf(list)
}

func (g *group) viewOf(list ledger.MemberList) *view {
	out := &view{group: g, list: list, fingerprint: ledger.View(g.shards, list.Members)}
	for _, member := range list.Members {
		address := g.addresses[member]
		if address == "" {
			address = list.AddressOf(member)
		}
		if g.clients[address] == nil {
			g.clients[address] = newReplicaClient(g.id, address)
		}
		out.replicas = append(out.replicas, g.clients[address])
	}
	return out
}
