package configpb

import (
	"encoding/json"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// partBytes is the target size of a message that carries a part of a watch event. Both
// ends of a connection keep a buffer of the size of its largest message for as long as
// the watch lasts, and each router has a watch.
const partBytes = 32 << 10

// SendParts encodes the resources of a revision and sends them as one watch event, split
// into parts of about partBytes.
func SendParts(stream DRPCConfig_WatchStream, revision uint64, snapshot bool, resources []*api.Resource) error {
	encoded, err := EncodeAll(resources)
	if err != nil {
		return err
	}
	return SendEncoded(stream, revision, snapshot, encoded)
}

// SendEncoded sends the encoded resources of a revision as one watch event, split into
// parts of about partBytes. All parts but the last have More set.
func SendEncoded(stream DRPCConfig_WatchStream, revision uint64, snapshot bool, resources []json.RawMessage) error {
	event := &WatchEvent{Revision: revision, Snapshot: snapshot}
	size := 0
	for _, raw := range resources {
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

// DecodeResources decodes the resources of one part of a watch event.
func (e *WatchEvent) DecodeResources() ([]*api.Resource, error) { return DecodeAll(e.GetResources()) }

// EncodeAll encodes resources as JSON.
func EncodeAll(resources []*api.Resource) ([]json.RawMessage, error) {
	out := make([]json.RawMessage, 0, len(resources))
	for _, resource := range resources {
		raw, err := json.Marshal(resource)
		if err != nil {
			return nil, errors.Wrap(err, "encode a resource")
		}
		out = append(out, raw)
	}
	return out, nil
}

// DecodeAll decodes resources from JSON.
func DecodeAll[T ~[]byte](encoded []T) ([]*api.Resource, error) {
	out := make([]*api.Resource, 0, len(encoded))
	for _, raw := range encoded {
		resource := &api.Resource{}
		if err := json.Unmarshal(raw, resource); err != nil {
			return nil, errors.Wrap(err, "decode a resource")
		}
		out = append(out, resource)
	}
	return out, nil
}
