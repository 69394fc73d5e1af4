package fleetview

import (
	"context"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// reportTimeout limits a load report; the next one carries newer loads anyway.
const reportTimeout = 400 * time.Millisecond

// ReportLoads exchanges the servers' loads with the followed source periodically until
// ctx is done. A router that relays does so twice as often, because each hop adds to the age
// of the loads.
func (v *View) ReportLoads(ctx context.Context) error {
	for interval := fleetsync.LoadReportInterval; actor.Sleep(ctx, interval); {
		interval = fleetsync.LoadReportInterval
		if v.relay.Subscribers() > 0 {
			interval /= 2
		}
		if err := v.exchangeLoads(ctx, interval); err != nil {
			v.log.Debug().Err(err).Str("source", v.followedSource().Address).Msg("exchange of server loads with the source failed")
		}
	}
	return nil
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

// exchangeLoads reports the loads that this router and its followers have received since the
// last report, and records those in the source's response.
func (v *View) exchangeLoads(ctx context.Context, interval time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	now := time.Now()
	own := v.fleet.TakeLoadReports()
	v.relay.RecordLoads(own, now)
	loads := v.relay.FollowerLoads(now, interval)
	fleetsync.AddNewerLoads(loads, own)
	request := &fleetpb.ReportRequest{
		Instance: v.instance, Loads: fleetsync.ToLoads(loads, now),
		Subtree: fleetsync.ToSubtree(v.relay.Subtree(v.applied(), now)),
	}
	return v.callSource(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := fleetpb.NewDRPCFleetClient(conn).Report(ctx, request)
		if err != nil {
			return err
		}
		now := time.Now()
		peers := fleetsync.FromLoads(response.GetLoads(), now)
		v.relay.RecordLoads(peers, now)
		fleetsync.AddNewerLoads(peers, v.relay.FollowerLoads(now, interval))
		v.fleet.RecordPeerLoads(peers)
		return nil
	})
}
