package balance

import (
	"cmp"
	"slices"
	"time"
)

// DefaultLoadBound is the load bound as a multiple of the mean load of the servers.
const DefaultLoadBound = 1.25

// RouterRank is the rank of a router among the live routers of its failure domain.
type RouterRank struct {
	// Rank is at least 0 and below Count, the number of live routers.
	Rank  int
	Count int
	// Missing is the number of routers of the failure domain that are not live.
	Missing int
}

// View is one router's view of the servers that a placement chooses from. It may be
// used only with the balancer that it is first used with, because it caches that
// balancer's server states.
type View struct {
	servers   []Server
	loadBound float64
	rank      RouterRank
	slots     int
	// ownsAll reports whether this router owns all servers of the view.
	ownsAll bool
	states  []*serverState
}

// NewView returns a view of servers. A loadBound of zero selects DefaultLoadBound; a
// rank without routers is replaced by that of a single router.
func NewView(servers []Server, loadBound float64, rank RouterRank) *View {
	if loadBound == 0 {
		loadBound = DefaultLoadBound
	}
	if rank.Count < 1 {
		rank = RouterRank{Count: 1}
	}
	v := &View{servers: slices.Clone(servers), loadBound: loadBound, rank: rank}
	slices.SortFunc(v.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	v.ownsAll = true
	for i := range v.servers {
		v.slots += v.servers[i].Slots
		v.ownsAll = v.ownsAll && v.servers[i].Owner == OwnerSelf
	}
	return v
}

// Len returns the number of servers.
func (v *View) Len() int { return len(v.servers) }

// Slots returns the total number of slots of the servers.
func (v *View) Slots() int { return v.slots }

// SetPeerInFlight updates the other routers' requests in flight on a server that
// this router owns.
func (v *View) SetPeerInFlight(id ServerID, count int) {
	if i, found := v.index(id); found {
		v.servers[i].PeerInFlight = count
	}
}

func (v *View) index(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(v.servers, id, func(s Server, id ServerID) int { return cmp.Compare(s.ID, id) })
}

// Contains reports whether the view has a server.
func (v *View) Contains(id ServerID) bool {
	_, found := v.index(id)
	return found
}

// OwnerOf returns the ownership of a server, OwnerNone for an unknown server.
func (v *View) OwnerOf(id ServerID) Ownership {
	if i, found := v.index(id); found {
		return v.servers[i].Owner
	}
	return OwnerNone
}

// Incarnation returns the incarnation of a server, or zero if the server is unknown.
func (v *View) Incarnation(id ServerID) uint64 {
	i, found := v.index(id)
	if !found {
		return 0
	}
	return v.servers[i].Incarnation
}

// roundingOffset returns the offset, in [0, 1), with which this router rounds its
// share of the i-th server. For a given server the offsets of the routers are evenly
// spaced, and for a given router those of the servers, so the rounded shares add up
// to the rounded sum.
func (v *View) roundingOffset(i int) float64 {
	sum := float64(v.rank.Rank)/float64(v.rank.Count) + float64(i)/float64(len(v.servers))
	if sum >= 1 {
		sum--
	}
	return sum
}

// serverState is a balancer's state of one server.
type serverState struct {
	hash         uint64
	incarnation  uint64
	inFlight     int
	longInFlight int
	lastUsed     time.Time
	// peerReportAt is the receipt time of the other routers' newest report, and
	// inFlightAtPeerReport the number of this router's requests in flight at that
	// time.
	peerReportAt         time.Time
	inFlightAtPeerReport int
	// loadReportAt is the receipt time of the newest load report, and
	// unattributedLoad the reported load that no router accounts for.
	loadReportAt     time.Time
	unattributedLoad int
	ejection         ejectionState
	// contendedAt is the time at which this router last refused another router a
	// slot.
	contendedAt time.Time
}

// idleStateTTL is the time after which the state of an unused server is evicted.
const idleStateTTL = 10 * time.Minute

// inFlightTracker keeps the state of each server, with its requests in flight.
type inFlightTracker struct {
	byID map[ServerID]*serverState
}

func newInFlightTracker() inFlightTracker {
	return inFlightTracker{byID: make(map[ServerID]*serverState)}
}

// viewStates returns the states of a view's servers, in the view's order.
func (t *inFlightTracker) viewStates(now time.Time, v *View) []*serverState {
	if v.states != nil {
		return v.states
	}
	t.evictIdle(now, v)
	v.states = make([]*serverState, len(v.servers))
	for i := range v.servers {
		v.states[i] = t.updateState(now, &v.servers[i])
	}
	return v.states
}

func (t *inFlightTracker) updateState(now time.Time, server *Server) *serverState {
	state := t.byID[server.ID]
	if state == nil {
		state = &serverState{hash: hashString(string(server.ID))}
		t.byID[server.ID] = state
	}
	state.lastUsed = now
	if server.Incarnation != state.incarnation {
		state.incarnation = server.Incarnation
		state.ejection = ejectionState{}
	}
	if server.PeerInFlightAt.After(state.peerReportAt) {
		state.peerReportAt = server.PeerInFlightAt
		state.inFlightAtPeerReport = state.inFlight
	}
	if server.ReportedAt.After(state.loadReportAt) {
		state.loadReportAt = server.ReportedAt
		state.unattributedLoad = server.ReportedLoad - state.inFlight - server.PeerInFlight
	}
	return state
}

// evictIdle removes the states of servers without requests in flight that have not
// been used for idleStateTTL. It does nothing until there are more than twice as many
// states as servers in the view.
func (t *inFlightTracker) evictIdle(now time.Time, v *View) {
	if len(t.byID) <= 2*len(v.servers) {
		return
	}
	for id, state := range t.byID {
		if state.inFlight == 0 && now.Sub(state.lastUsed) > idleStateTTL {
			delete(t.byID, id)
		}
	}
}

func (t *inFlightTracker) recordStart(state *serverState, request *Request) {
	state.inFlight++
	if isLong(request) {
		state.longInFlight++
	}
}

func (t *inFlightTracker) recordDone(request *Request, id ServerID) *serverState {
	state := t.byID[id]
	if state == nil {
		return nil
	}
	state.inFlight = max(state.inFlight-1, 0)
	if isLong(request) {
		state.longInFlight = max(state.longInFlight-1, 0)
	}
	return state
}
