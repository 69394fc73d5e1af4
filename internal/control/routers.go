package control

import (
	"context"
	"encoding/json"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// Watch implements the RPC service: it streams changes and heartbeats to a router.
func (c *Control) Watch(request *configpb.WatchRequest, stream configpb.DRPCConfig_WatchStream) error {
	if request.GetPeek() {
		return stream.Send(&configpb.WatchEvent{Revision: c.store.Revision()})
	}
	changed, cancel := c.store.Subscribe()
	defer cancel()
	ticker := time.NewTicker(c.settings.Timeouts.Heartbeat())
	defer ticker.Stop()
	revision := request.GetRevision()
	for {
		if !request.GetOnce() && !c.replica.Status().Current {
			return api.Errorf(api.CodeNoQuorum, "this control replica is cut off")
		}
		next, err := c.sendChanges(stream, revision)
		if err != nil || request.GetOnce() {
			return err
		}
		revision = next
		select {
		case <-stream.Context().Done():
			return nil
		case <-c.closing.Done():
			return api.Errorf(api.CodeDraining, "the control instance shuts down")
		case <-changed:
		case <-ticker.C:
		}
	}
}

// sendChanges sends what came above a revision, as changes or, where these are
// no longer kept or the router is new, as a snapshot.
func (c *Control) sendChanges(stream configpb.DRPCConfig_WatchStream, above uint64) (uint64, error) {
	changes, revision, err := c.store.changesAbove(above)
	if err != nil || above == 0 {
		resources, revision := c.store.Encoded("")
		return revision, configpb.SendEncoded(stream, revision, true, resources)
	}
	resources := make([]json.RawMessage, 0, len(changes))
	for _, change := range changes {
		resources = append(resources, change.After)
	}
	return max(above, revision), configpb.SendEncoded(stream, revision, false, resources)
}

// Report implements the RPC service: it renews a router's lease.
func (c *Control) Report(_ context.Context, request *configpb.ReportRequest) (*configpb.ReportResponse, error) {
	if c.leases.report(time.Now(), request.GetInstance(), request.GetRevision()) {
		c.sharing.wake()
	}
	return &configpb.ReportResponse{Revision: c.store.Revision()}, nil
}

// Share implements the RPC service: it takes reports that another replica heard.
func (c *Control) Share(_ context.Context, request *configpb.ShareRequest) (*configpb.ShareResponse, error) {
	known := c.heardBy.take(time.Now(), request, c.leases)
	return &configpb.ShareResponse{Known: known}, nil
}
