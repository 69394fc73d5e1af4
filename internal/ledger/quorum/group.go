package quorum

import (
	"sync"
	"sync/atomic"

	"peridotwinch.example/peridotwinch/internal/ledger"
)

// group tracks the epoch and the member list of one group of replicas.
type group struct {
	id     ledger.GroupID
	shards int
	// addresses holds the addresses from the settings by instance. They take
	// precedence over those in member lists.
	addresses map[string]string
	// epoch is the highest epoch seen in a reply.
	epoch atomic.Uint64

	mu      sync.Mutex
	current *view
	// fromReplica is set once current comes from a replica and not from the settings.
	fromReplica bool
	// clients holds the replica clients by address.
	clients map[string]*replicaClient
}

// newGroup returns a group that starts with a member list from the settings.
// addresses holds the addresses of all instances in the settings.
func newGroup(id ledger.GroupID, shards int, list ledger.MemberList, addresses map[string]string) *group {
	g := &group{id: id, shards: shards, addresses: addresses, clients: make(map[string]*replicaClient)}
	g.current = g.newView(list)
	return g
}

// currentView returns the view of the newest member list.
func (g *group) currentView() *view {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}

// raiseEpoch raises the known epoch to that of a reply; it never lowers it.
func (g *group) raiseEpoch(epoch uint64) {
	for {
		current := g.epoch.Load()
		if epoch <= current || g.epoch.CompareAndSwap(current, epoch) {
			return
		}
	}
}

// updateMemberList adopts a member list that a replica has installed if it is newer
// than the current one. A list from the settings is older than any list from a
// replica.
func (g *group) updateMemberList(shards int, list ledger.MemberList) {
	if shards != g.shards || len(list.Members) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fromReplica && list.ListEpoch <= g.current.list.ListEpoch {
		return
	}
	g.fromReplica = true
	if ledger.ViewFingerprint(shards, list.Members) == g.current.fingerprint {
		g.current.list.ListEpoch = list.ListEpoch
		return
	}
	g.current = g.newView(list)
}

// newView returns a view of a member list. It reuses the client of an address.
func (g *group) newView(list ledger.MemberList) *view {
	v := &view{group: g, list: list, fingerprint: ledger.ViewFingerprint(g.shards, list.Members)}
	for _, member := range list.Members {
		address := g.addresses[member]
		if address == "" {
			address = list.AddressOf(member)
		}
		if g.clients[address] == nil {
			g.clients[address] = newReplicaClient(g.id, address)
		}
		v.replicas = append(v.replicas, g.clients[address])
	}
	return v
}
