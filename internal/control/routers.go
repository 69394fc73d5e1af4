package control

import (
	"context"
	"encoding/json"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// Watch implements the Watch RPC of the Config service. It streams changes and heartbeats to a
// router. The stream ends with CodeNoQuorum if the replica has no active leader, unless the
// request has once set, and with CodeDraining on shutdown.
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
		if !request.GetOnce() && !c.replica.Status().HasActiveLeader {
			return noLeaderError()
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
			return api.Errorf(api.CodeDraining, "the control instance is shutting down")
		case <-changed:
		case <-ticker.C:
		}
	}
}

// sendChanges sends the changes above a revision, or a snapshot if the store no longer
// retains these changes or the router has no revision yet. It returns the revision that the
// router has afterwards.
func (c *Control) sendChanges(stream configpb.DRPCConfig_WatchStream, after uint64) (uint64, error) {
	changes, revision, err := c.store.changesAbove(after)
	if err != nil || after == 0 {
		resources, revision := c.store.Encoded("")
		return revision, configpb.SendEncoded(stream, revision, true, resources)
	}
	resources := make([]json.RawMessage, 0, len(changes))
	for _, change := range changes {
		resources = append(resources, change.After)
	}
	return max(after, revision), configpb.SendEncoded(stream, revision, false, resources)
}

// Report implements the Report RPC of the Config service. It renews a router's lease and
// returns the revision of this replica.
func (c *Control) Report(_ context.Context, request *configpb.ReportRequest) (*configpb.ReportResponse, error) {
	if c.leases.recordDirect(time.Now(), request.GetInstance(), request.GetRevision()) {
		c.sharer.wake()
	}
	return &configpb.ReportResponse{Revision: c.store.Revision()}, nil
}

// Share implements the Share RPC of the Config service. It records the reports that another
// replica received from routers.
func (c *Control) Share(_ context.Context, request *configpb.ShareRequest) (*configpb.ShareResponse, error) {
	known := c.peerRouters.update(time.Now(), request, c.leases)
	return &configpb.ShareResponse{Known: known}, nil
}
