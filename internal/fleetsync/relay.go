package fleetsync

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// relayQuorumWaitTimeout is how long a router that relays holds a new stream while it
	// follows no source itself: it detects the loss of its source within 1.2 s and then
	// needs some tenths of a second. Its followers wait rather than return to control.
	relayQuorumWaitTimeout = 1200 * time.Millisecond
	// goneRetention is how long a relay keeps the record of a server that is gone.
	goneRetention = 10 * time.Second
)

// Relay streams to other routers what a router has received. It is safe for concurrent use.
type Relay struct {
	*publisher
	// servers returns all servers of the router.
	servers func() []registry.Entry
	// sourceLoads holds the loads received from the source. They are not reported back to
	// it: the network delay would make them look newer than they are.
	sourceLoads *loadCache
	// sourcePools holds the sums that the source sent, selection the loads that followers receive
	// if there are any.
	sourcePools *poolLoads
	selection   loadSelection
	// reportNews receives a value when the source should soon receive a report.
	reportNews chan struct{}
	// isFilled reports whether the registry has all servers of the router. It and the fields below are
	// guarded by the publisher's mu.
	isFilled bool
	// ownNumbering is the range of indices of this router and its followers.
	ownNumbering relay.Numbering
	// sentStatements is what the source has received of the statements on rate limits.
	sentStatements statementCursor
	// sources counts the streams of sources.
	sources int
}

// NewRelay returns the relay of the router with the given RPC address. servers returns all
// servers of the router. linkMbps is the bandwidth of the instance's link in Mbit/s; 0 means
// unknown and disables pacing.
func NewRelay(address string, source Source, servers func() []registry.Entry, losses *quarantine.Store, maxFollowers int, linkMbps float64, log zerolog.Logger) *Relay {
	limits := relay.Limits{Unconditional: maxFollowers, Max: maxFollowers}
	r := &Relay{publisher: newPublisher(address, source, losses, limits, linkMbps, log), servers: servers, sourceLoads: newLoadCache(), sourcePools: newPoolLoads(), reportNews: make(chan struct{}, 1)}
	r.onReportNews = r.wakeReport
	r.numbering = func(time.Time) relay.Numbering { return r.ownNumbering.Followers() }
	r.onFirstSubscriber = r.fillTable
	r.tables.receivedOnly = true
	r.quorumWaitTimeout = relayQuorumWaitTimeout
	return r
}

// Register adds the relay's RPCs to a server.
func (r *Relay) Register(mux drpc.Mux) error { return fleetpb.DRPCRegisterFleet(mux, r) }

// Share implements the Share RPC of the Fleet service: routers do not accept it.
func (r *Relay) Share(context.Context, *fleetpb.ShareRequest) (*fleetpb.ShareResponse, error) {
	return nil, errors.New("not a control replica")
}

// SetTable records a table in force on this router.
func (r *Relay) SetTable(version *TableVersion) { r.tables.record(version) }

// fillTable updates the registry when the router gets its first follower, unless no server has
// changed since the last follower left; the caller holds mu. Most routers have no followers and need
// no registry.
func (r *Relay) fillTable() {
	if r.isFilled {
		return
	}
	r.isFilled = true
	present := make(map[string]bool)
	for _, e := range r.servers() {
		present[e.ID] = true
		r.table.Replace(e)
	}
	for _, e := range r.table.Since(0) {
		if !present[e.ID] && e.State != registry.StateGone {
			r.table.Replace(droppedEntry(e, time.Now()))
		}
	}
}

// UpdateServers publishes changed entries of the router to its followers, and marks those as
// gone that the router has dropped.
func (r *Relay) UpdateServers(changed, dropped []registry.Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.admission.Len() == 0 {
		r.isFilled = false
		return
	}
	before := r.table.Revision()
	for _, e := range changed {
		r.table.Replace(e)
	}
	for _, e := range dropped {
		r.table.Replace(droppedEntry(e, now))
	}
	r.table.DeleteGone(now.Add(-goneRetention))
	if r.table.Revision() != before {
		r.notifyChanged()
	}
}

// droppedEntry returns the entry of a server that the router has dropped as followers receive it. The
// server has not stated that it is gone, so any record of it is newer.
func droppedEntry(e registry.Entry, now time.Time) registry.Entry {
	e.State, e.Sequence, e.LastAnnounced = registry.StateGone, 0, now
	return e
}

// Report implements the Report RPC of the Fleet service. It merges what a follower reports and
// returns the loads that this router received recently from its followers and its source.
func (r *Relay) Report(_ context.Context, request *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	now := time.Now()
	response := r.mergeReport(request, now)
	if !request.GetWithoutLoads() {
		response.Loads = r.loadsForFollowers(now)
	}
	return response, nil
}

// loadsForFollowers returns the loads of which a follower may lack some: all, unless the source
// itself sent only some of them.
func (r *Relay) loadsForFollowers(now time.Time) *fleetpb.Loads {
	pools := r.sourcePools.sum(nil, now)
	if len(pools) == 0 {
		return ToLoads(r.recentLoads(now), now)
	}
	loads, _ := r.selection.get(now, func() map[string][]hashedLoad {
		recent := r.recentLoads(now)
		list := make([]hashedLoad, 0, len(recent))
		for hash, load := range recent {
			list = append(list, hashedLoad{hash, load.Requests, now.Sub(load.ReportedAt)})
		}
		return r.byPool(list)
	})
	return toPartialLoads(loads, pools, now)
}

// recentLoads returns the loads that the source and the followers sent recently.
func (r *Relay) recentLoads(now time.Time) map[uint64]ServerLoad {
	loads := r.sourceLoads.recent(now, LoadReportInterval+reportSlack)
	AddNewerLoads(loads, r.loads.recent(now, LoadReportInterval+reportSlack))
	return loads
}

// RecordPoolLoads records the sums in the source's response to a report.
func (r *Relay) RecordPoolLoads(pools map[string]PoolLoad) {
	r.sourcePools.record("", pools, time.Now())
}

// FollowerLoads returns the loads that followers reported within the given time, for this
// router's own report.
func (r *Relay) FollowerLoads(now time.Time, within time.Duration) map[uint64]ServerLoad {
	return r.loads.recent(now, within+reportSlack)
}

// RecordLoads records loads for the followers, if there are any: those that servers have
// reported to this router, or those in the source's response to a report.
func (r *Relay) RecordLoads(loads map[uint64]ServerLoad, now time.Time) {
	if r.Subscribers() > 0 {
		r.sourceLoads.mergeLoads(loads, now)
	}
}
