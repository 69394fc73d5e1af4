package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// Watch implements the RPC service: it streams changes and heartbeats.
func (c *Control) Watch(request *configpb.WatchRequest, stream configpb.DRPCConfig_WatchStream) error {
	changed, cancel := c.store.Subscribe()
	defer cancel()
	ticker := time.NewTicker(c.heartbeat)
	defer ticker.Stop()
	revision := request.GetRevision()
	for {
		next, err := c.sendChanges(stream, revision)
		if err != nil {
			return err
		}
		revision = next
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (c *Control) sendChanges(stream configpb.DRPCConfig_WatchStream, above uint64) (uint64, error) {
	resources, revision := c.store.Changes(above)
	event := &configpb.WatchEvent{Revision: revision}
	for _, resource := range resources {
		raw, err := encodeResource(resource)
		if err != nil {
			return above, err
		}
		event.Resources = append(event.Resources, raw)
	}
	return revision, errors.Wrap(stream.Send(event), "send a watch event")
}

func encodeResource(resource *api.Resource) ([]byte, error) {
	raw, err := json.Marshal(resource)
	return raw, errors.Wrap(err, "encode a resource")
}

// Report implements the RPC service: it renews a router's lease.
func (c *Control) Report(_ context.Context, request *configpb.ReportRequest) (*configpb.ReportResponse, error) {
	c.leases.record(time.Now(), request.GetInstance(), request.GetRevision())
	_, revision := c.store.Changes(request.GetRevision())
	return &configpb.ReportResponse{Revision: revision}, nil
}
