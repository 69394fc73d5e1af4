package balance

import (
	"cmp"
	"slices"
	"time"
)

// DefaultLoadBound is the multiple of the mean load that no server exceeds.
const DefaultLoadBound = 1.25

// RouterRank is the position of a router among the live routers of its failure domain.
type RouterRank struct {
	// Rank is at least 0 and below Count.
	Rank  int
	Count int
	// Missing is the number of routers of the failure domain that are not live.
	Missing int
}

// View is the set of servers that a decision chooses from, as one router sees
// it. A view belongs to the balancer that it is first used with.
type View struct {
	servers   []Server
	loadBound float64
	place     RouterRank
	slots     int
	// exact says that this router owns all of the servers.
	exact  bool
	states []*serverState
}

// NewView returns a view of servers. A load bound of zero takes the default.
func NewView(servers []Server, loadBound float64, place RouterRank) *View {
	if loadBound == 0 {
		loadBound = DefaultLoadBound
	}
	if place.Count < 1 {
		place = RouterRank{Count: 1}
	}
	v := &View{servers: slices.Clone(servers), loadBound: loadBound, place: place}
	slices.SortFunc(v.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	v.exact = true
	for i := range v.servers {
		v.slots += v.servers[i].Slots
		v.exact = v.exact && v.servers[i].Owner == OwnerSelf
	}
	return v
}

// Len returns the number of servers.
func (v *View) Len() int { return len(v.servers) }

// Slots returns the sum of the servers' slots.
func (v *View) Slots() int { return v.slots }

// SetPeerInFlight updates the other routers' work on a server that this router owns.
func (v *View) SetPeerInFlight(id ServerID, count int) {
	if i, found := v.index(id); found {
		v.servers[i].PeerInFlight = count
	}
}

func (v *View) index(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(v.servers, id, func(s Server, id ServerID) int { return cmp.Compare(s.ID, id) })
}

// OwnerOf returns who grants places on a server.
func (v *View) OwnerOf(id ServerID) Ownership {
	if i, found := v.index(id); found {
		return v.servers[i].Owner
	}
	return OwnerNone
}

// Incarnation returns the incarnation of a server, or zero where it is unknown.
func (v *View) Incarnation(id ServerID) uint64 {
	i, found := v.index(id)
	if !found {
		return 0
	}
	return v.servers[i].Incarnation
}

// offset is the rounding offset of this router at the i-th server, in [0, 1).
// Over the routers at one server, and over the servers at one router, offsets
// are evenly spaced, so that the rounded shares add up to the rounded sum.
func (v *View) offset(i int) float64 {
	sum := float64(v.place.Rank)/float64(v.place.Count) + float64(i)/float64(len(v.servers))
	if sum >= 1 {
		sum--
	}
	return sum
}

// serverState is what a balancer remembers of a server.
type serverState struct {
	hash        uint64
	incarnation uint64
	inFlight    int
	long        int
	usedAt      time.Time
	// othersAt is the receipt time of the other routers' newest report, and
	// ownThen this router's requests in flight at that time.
	othersAt time.Time
	ownThen  int
	// reportedAt is the receipt time of the newest load report, and unexplained
	// the load that no router has told.
	reportedAt  time.Time
	unexplained int
	latency     latencyScore
	// contendedAt is when this router last refused another one a slot.
	contendedAt time.Time
}

// stateKeep is how long the state of an idle server is remembered.
const stateKeep = 10 * time.Minute

// tracker counts the requests in flight by server.
type tracker struct {
	byID map[ServerID]*serverState
}

func newTracker() tracker { return tracker{byID: make(map[ServerID]*serverState)} }

// bind returns the states of a view's servers, in the view's order.
func (t *tracker) bind(now time.Time, v *View) []*serverState {
	if v.states != nil {
		return v.states
	}
	t.forget(now, v)
	v.states = make([]*serverState, len(v.servers))
	for i := range v.servers {
		v.states[i] = t.state(now, &v.servers[i])
	}
	return v.states
}

func (t *tracker) state(now time.Time, server *Server) *serverState {
	state := t.byID[server.ID]
	if state == nil {
		state = &serverState{hash: hashString(string(server.ID))}
		t.byID[server.ID] = state
	}
	state.usedAt = now
	if server.Incarnation != state.incarnation {
		state.incarnation = server.Incarnation
		state.latency = latencyScore{}
	}
	if server.PeerInFlightAt.After(state.othersAt) {
		state.othersAt = server.PeerInFlightAt
		state.ownThen = state.inFlight
	}
	if server.ReportedAt.After(state.reportedAt) {
		state.reportedAt = server.ReportedAt
		state.unexplained = server.ReportedLoad - state.inFlight - server.PeerInFlight
	}
	return state
}

// forget drops the states of servers that have long left.
func (t *tracker) forget(now time.Time, v *View) {
	if len(t.byID) <= 2*len(v.servers) {
		return
	}
	for id, state := range t.byID {
		if state.inFlight == 0 && now.Sub(state.usedAt) > stateKeep {
			delete(t.byID, id)
		}
	}
}

func (t *tracker) start(state *serverState, request *Request) {
	state.inFlight++
	if isLong(request) {
		state.long++
	}
}

func (t *tracker) done(request *Request, id ServerID) *serverState {
	state := t.byID[id]
	if state == nil {
		return nil
	}
	state.inFlight = max(state.inFlight-1, 0)
	if isLong(request) {
		state.long = max(state.long-1, 0)
	}
	return state
}
