package fleetview

import (
	"context"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// reportTimeout limits a load report; the next one carries newer loads anyway.
const reportTimeout = 400 * time.Millisecond

func (v *View) setFollowed(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.address = address
}

func (v *View) followedAddress() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.address
}

// ReportLoads exchanges the servers' loads with the followed replica periodically until
// ctx is done.
func (v *View) ReportLoads(ctx context.Context) error {
	var client *rpc.Client
	for actor.Sleep(ctx, fleetsync.LoadReportInterval) {
		address := v.followedAddress()
		if client != nil && client.Address() != address {
			client.Close()
			client = nil
		}
		if address == "" {
			continue
		}
		if client == nil {
			client = rpc.NewClient(address, rpc.PurposeFleet)
		}
		if err := v.exchangeLoads(ctx, client); err != nil {
			v.log.Debug().Err(err).Str("control", address).Msg("exchange of server loads with the control replica failed")
		}
	}
	return nil
}

// exchangeLoads reports the loads that this router has received, and records those in
// the replica's response.
func (v *View) exchangeLoads(ctx context.Context, client *rpc.Client) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := &fleetpb.ReportRequest{Instance: v.instance, Loads: fleetsync.ToLoads(v.fleet.TakeLoadReports(), time.Now())}
	return client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := fleetpb.NewDRPCFleetClient(conn).Report(ctx, request)
		if err != nil {
			return err
		}
		v.fleet.RecordPeerLoads(fleetsync.FromLoads(response.GetLoads(), time.Now()))
		return nil
	})
}
