package fleetsync

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/flatepool"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

func toServer(e registry.Entry, now time.Time) *fleetpb.Server {
	out := &fleetpb.Server{
		Id: e.ID, Born: e.StartedMS, Sequence: e.Sequence, Pool: e.Pool, Address: e.Address,
		FailureDomain: e.Domain, Version: e.Version, Slots: uint32(max(e.Slots, 0)), State: uint32(e.State),
		WarmupLeftMs: uint32(max(e.WarmupUntil.Sub(now), 0).Milliseconds()), AgeMs: uint32(max(now.Sub(e.LastAnnounced), 0).Milliseconds()),
		Silent: e.Silent, Withdrawn: e.Withdrawn,
	}
	for _, m := range e.Models {
		out.Models = append(out.Models, &fleetpb.Model{Name: m.Name, Version: m.Version})
	}
	return out
}

func toServers(entries []registry.Entry, now time.Time) []*fleetpb.Server {
	out := make([]*fleetpb.Server, 0, len(entries))
	for _, e := range entries {
		out = append(out, toServer(e, now))
	}
	return out
}

// FromServer returns the registry entry of a record that was received at now.
func FromServer(s *fleetpb.Server, now time.Time) registry.Entry {
	out := registry.Entry{
		Server: registry.Server{
			ID: s.GetId(), StartedMS: s.GetBorn(), Sequence: s.GetSequence(), Pool: s.GetPool(), Address: s.GetAddress(),
			Domain: s.GetFailureDomain(), Version: s.GetVersion(), Slots: int(s.GetSlots()),
			State: registry.State(s.GetState()),
		},
		LastAnnounced: now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond),
		Silent:        s.GetSilent(),
		Withdrawn:     s.GetWithdrawn(),
	}
	if left := time.Duration(s.GetWarmupLeftMs()) * time.Millisecond; left > 0 {
		out.WarmupUntil, out.WarmupLeft = now.Add(left), now.Add(left).Sub(out.LastAnnounced)
	}
	for _, m := range s.GetModels() {
		out.Models = append(out.Models, registry.Model{Name: m.GetName(), Version: m.GetVersion()})
	}
	return out
}

func toDocument(d *routetable.Document) *fleetpb.Document {
	return &fleetpb.Document{Generation: d.Generation, Source: d.Source}
}

// FromDocument returns the route table document of a message.
func FromDocument(d *fleetpb.Document) *routetable.Document {
	return &routetable.Document{Generation: d.GetGeneration(), Source: d.GetSource()}
}

func toDelta(d *routetable.Delta) *fleetpb.Delta {
	return &fleetpb.Delta{Base: d.Base, Generation: d.Generation, Edits: d.Edits, Checksum: d.Checksum}
}

// FromDelta returns the route table delta of a message.
func FromDelta(d *fleetpb.Delta) *routetable.Delta {
	return &routetable.Delta{Base: d.GetBase(), Generation: d.GetGeneration(), Edits: d.GetEdits(), Checksum: d.GetChecksum()}
}

// ToKnownServers returns the server hashes and record digests that a router sends with its
// subscription, so that the replica streams only what the router lacks.
func ToKnownServers(entries []registry.Entry) *fleetpb.KnownServers {
	out := &fleetpb.KnownServers{}
	for i := range entries {
		out.Servers = append(out.Servers, registry.HashID(entries[i].ID))
		out.Digests = append(out.Digests, entries[i].Digest())
	}
	return out
}

// fromKnown returns the digests of a router's records by the hashes of the servers' IDs.
func fromKnown(known *fleetpb.KnownServers) map[uint64]uint32 {
	out := make(map[uint64]uint32, len(known.GetServers()))
	for i, id := range known.GetServers() {
		if i >= len(known.GetDigests()) {
			break
		}
		out[id] = known.GetDigests()[i]
	}
	return out
}

// ToSubtree returns the message for a summary.
func ToSubtree(s relay.Subtree) *fleetpb.Subtree {
	return &fleetpb.Subtree{
		Routers: uint32(max(s.Routers, 0)), LowestGeneration: s.Lowest.Generation, LowestRouter: s.Lowest.Router, LowestPath: s.Lowest.Path,
	}
}

func fromSubtree(s *fleetpb.Subtree) relay.Subtree {
	return relay.Subtree{
		Routers: boundedRouters(s.GetRouters()),
		Lowest:  relay.Applied{Generation: s.GetLowestGeneration(), Router: s.GetLowestRouter(), Path: s.GetLowestPath()},
	}
}

// boundedRouters returns a number of routers from the network.
func boundedRouters(count uint32) int { return int(min(count, relay.MaxRouters)) }

const (
	// minPackedRecords is the number of records from which a list is compressed: 140 records
	// of 95 bytes take 3 KB instead of 13.
	minPackedRecords = 4
	// maxPackedBytes limits the decompressed size of a list, about 80,000 records.
	maxPackedBytes = 8 << 20
)

// recordList holds the records of an event, either as messages or compressed.
type recordList struct {
	servers []*fleetpb.Server
	packed  []byte
}

func (l *recordList) isEmpty() bool { return len(l.servers) == 0 && len(l.packed) == 0 }

// newRecordList compresses the records if there are at least minPackedRecords.
func newRecordList(servers []*fleetpb.Server) (*recordList, error) {
	if len(servers) < minPackedRecords {
		return &recordList{servers: servers}, nil
	}
	raw, err := proto.Marshal(&fleetpb.ServerList{Servers: servers})
	if err != nil {
		return nil, errors.Wrap(err, "encode server list")
	}
	packed, err := flatepool.Compress(raw)
	return &recordList{packed: packed}, errors.Wrap(err, "compress server list")
}

// DecodeServers returns the records of an event and decompresses them if necessary. It
// returns an error if they are malformed or expand to more than 8 MiB.
func DecodeServers(event *fleetpb.FollowEvent) ([]*fleetpb.Server, error) {
	if len(event.GetPacked()) == 0 {
		return event.GetServers(), nil
	}
	raw, err := flatepool.Expand(event.GetPacked(), maxPackedBytes)
	if err != nil {
		return nil, errors.Wrap(err, "decompress server list")
	}
	list := &fleetpb.ServerList{}
	if err := proto.Unmarshal(raw, list); err != nil {
		return nil, errors.Wrap(err, "decode server list")
	}
	return list.GetServers(), nil
}
