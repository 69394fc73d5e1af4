package configpb

import (
	"encoding/json"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// partBytes is the size of a part of an event, below drpc's message limit.
const partBytes = 512 << 10

// SendParts sends the resources of a revision as one event in parts.
func SendParts(stream DRPCConfig_WatchStream, revision uint64, snapshot bool, resources []*api.Resource) error {
	event := &WatchEvent{Revision: revision, Snapshot: snapshot}
	size := 0
	for _, resource := range resources {
		raw, err := json.Marshal(resource)
		if err != nil {
			return errors.Wrap(err, "encode a resource")
		}
		if size+len(raw) > partBytes && size > 0 {
			event.More = true
			if err := stream.Send(event); err != nil {
				return errors.Wrap(err, "send a part of a watch event")
			}
			event = &WatchEvent{Revision: revision, Snapshot: snapshot}
			size = 0
		}
		event.Resources = append(event.Resources, raw)
		size += len(raw)
	}
	return errors.Wrap(stream.Send(event), "send a watch event")
}

// DecodeResources returns the resources of a part.
func (e *WatchEvent) DecodeResources() ([]*api.Resource, error) {
	out := make([]*api.Resource, 0, len(e.GetResources()))
	for _, raw := range e.GetResources() {
		resource := &api.Resource{}
		if err := json.Unmarshal(raw, resource); err != nil {
			return nil, errors.Wrap(err, "decode a resource")
		}
		out = append(out, resource)
	}
	return out, nil
}
