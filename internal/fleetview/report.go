package fleetview

import (
	"context"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// reportTimeout limits a report; the next one carries newer loads anyway.
	reportTimeout = 400 * time.Millisecond
	// newsInterval is the minimum time between two reports of which one is early, and the time
	// between two collections of statements on rate limits.
	newsInterval = 100 * time.Millisecond
)

// ReportLoads exchanges the servers' loads and the statements on rate limits with the followed
// source periodically until ctx is done. A router that relays does so twice as often, because each
// hop adds to the age of the loads. News of rate limits, of a new source and of the number of
// followers are reported earlier.
func (v *View) ReportLoads(ctx context.Context) error {
	collect := time.NewTicker(newsInterval)
	defer collect.Stop()
	hasNews, lastReport, lastLoads := false, time.Time{}, time.Now()
	for {
		interval := fleetsync.LoadReportInterval
		if v.relay.Subscribers() > 0 {
			interval /= 2
		}
		select {
		case <-ctx.Done():
			return nil
		case <-collect.C:
		case <-v.relay.ReportNews():
			hasNews = true
		case <-time.After(time.Until(lastLoads.Add(interval))):
		}
		now := time.Now()
		v.relay.RecordOwnStatements(v.fleet.TakeRateStatements(), now)
		withLoads := now.Sub(lastLoads) >= interval
		if !withLoads && (!hasNews || now.Sub(lastReport) < newsInterval) {
			continue
		}
		err := v.report(ctx, withLoads, interval)
		if err != nil {
			v.log.Debug().Err(err).Str("source", v.followedSource().Address).Msg("report to the source failed")
		}
		hasNews = hasNews && err != nil
		lastReport = time.Now()
		if withLoads {
			lastLoads = lastReport
		}
	}
}

// ReportLosses reports losses to the followed source as soon as this router learns of them from
// its own requests or from its followers, until ctx is done.
func (v *View) ReportLosses(ctx context.Context) error {
	v.lossSender.Run(ctx, v.callSource)
	return nil
}

// applied returns what this router applies.
func (v *View) applied() relay.Applied {
	out := relay.Applied{Router: v.instance, Path: (&viewSource{v}).Upstream()}
	if table := v.Table(); table != nil {
		out.Generation = table.Generation
	}
	return out
}

// report exchanges the statements on rate limits and the numbering with the source and, with
// loads set, the loads of servers since the last report that did.
func (v *View) report(ctx context.Context, withLoads bool, interval time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	now := time.Now()
	statements, confirm := v.relay.UnsentStatements(!withLoads, now)
	request := &fleetpb.ReportRequest{
		Instance: v.instance, Subtree: fleetsync.ToSubtree(v.relay.Subtree(v.applied(), now)),
		Statements: statements, WithoutLoads: !withLoads, SlotAddress: *v.slotAddress.Load(),
	}
	if withLoads {
		request.Loads = v.unsentLoads(now, interval)
	}
	return v.callSource(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := fleetpb.NewDRPCFleetClient(conn).Report(ctx, request)
		if err != nil {
			return err
		}
		confirm()
		if position, ok := v.relay.RecordNumbering(response.GetNumbering()); ok {
			v.fleet.SetPosition(position)
		}
		if withLoads {
			v.recordLoads(response.GetLoads(), interval)
		}
		return nil
	})
}

// unsentLoads returns the loads that this router and its followers have received since the last
// report with loads.
func (v *View) unsentLoads(now time.Time, interval time.Duration) *fleetpb.Loads {
	own := v.fleet.TakeLoadReports()
	v.relay.RecordLoads(own, now)
	loads := v.relay.FollowerLoads(now, interval)
	fleetsync.AddNewerLoads(loads, own)
	return fleetsync.ToLoads(loads, now)
}

// recordLoads records the loads in the source's response and those of the followers.
func (v *View) recordLoads(message *fleetpb.Loads, interval time.Duration) {
	now := time.Now()
	peers, pools := fleetsync.FromLoads(message, now), fleetsync.FromPoolLoads(message, now)
	v.relay.RecordPoolLoads(pools)
	v.relay.RecordLoads(peers, now)
	fleetsync.AddNewerLoads(peers, v.relay.FollowerLoads(now, interval))
	v.fleet.RecordPeerLoads(peers)
	v.fleet.RecordPoolLoads(pools)
}
