package replica

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
)

// Names of the files of a replica.
const (
	identityFile = "identity"
	logFile      = "log"
	snapshotFile = "snapshot"
)

// snapshotDataField is the number of the field of a snapshot that holds its data.
const snapshotDataField = 4

// disk keeps the durable state of a replica.
type disk struct {
	dir           string
	log           *durable.Log
	hard          consensus.HardState
	snapshotBytes int64
}

func (d *disk) path(name string) string { return filepath.Join(d.dir, name) }

// exists reports whether the replica has ever had a log here.
func (d *disk) exists() bool {
	_, err := os.Stat(d.path(logFile))
	return err == nil
}

// load returns the durable state; initial is the group at index 0.
func (d *disk) load(initial consensus.Membership) (consensus.State, error) {
	state := consensus.State{Snapshot: consensus.Snapshot{Membership: initial}}
	if err := d.loadSnapshot(&state); err != nil {
		return state, err
	}
	log, records, err := durable.OpenLog(d.path(logFile))
	if err != nil {
		return state, err
	}
	d.log = log
	entries, err := d.fold(records, &state.HardState)
	if err != nil {
		return state, err
	}
	state.Entries, err = d.above(entries, state.Snapshot)
	d.hard = state.HardState
	return state, err
}

func (d *disk) loadSnapshot(state *consensus.State) error {
	snapshot, err := d.readSnapshot()
	if err != nil || snapshot == nil {
		return err
	}
	state.Snapshot = *fromSnapshot(snapshot)
	d.snapshotBytes = int64(proto.Size(snapshot))
	return nil
}

// readSnapshot returns the newest durable snapshot, or nil where there is none.
func (d *disk) readSnapshot() (*consensuspb.Snapshot, error) {
	raw, err := durable.ReadRecord(d.path(snapshotFile))
	if err != nil || raw == nil {
		return nil, err
	}
	snapshot := &consensuspb.Snapshot{}
	if err := proto.Unmarshal(raw, snapshot); err != nil {
		return nil, d.damaged(snapshotFile, "%v", err)
	}
	return snapshot, nil
}

// fold replays the records of the log.
func (d *disk) fold(records [][]byte, hard *consensus.HardState) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	for i, raw := range records {
		record := &consensuspb.Record{}
		if err := proto.Unmarshal(raw, record); err != nil {
			return nil, d.damaged(logFile, "record %d: %v", i, err)
		}
		if h := record.GetHardState(); h != nil {
			*hard = consensus.HardState{Term: h.GetTerm(), Vote: consensus.ReplicaID(h.GetVote())}
		}
		added := fromEntries(record.GetEntries())
		if len(added) == 0 {
			continue
		}
		if len(entries) > 0 {
			first := entries[0].Index
			if added[0].Index < first || added[0].Index > entries[len(entries)-1].Index+1 {
				return nil, d.damaged(logFile, "record %d leaves a gap at entry %d", i, added[0].Index)
			}
			entries = entries[:added[0].Index-first]
		}
		entries = append(entries, added...)
	}
	return entries, nil
}

// above returns the entries that continue the snapshot. Entries that do not are
// older than a snapshot which another replica sent, and void.
func (d *disk) above(entries []consensus.Entry, snapshot consensus.Snapshot) ([]consensus.Entry, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if first > snapshot.Index+1 {
		return nil, d.damaged(logFile, "entries %d to %d are missing", snapshot.Index+1, first-1)
	}
	if last <= snapshot.Index {
		return nil, nil
	}
	if first <= snapshot.Index && entries[snapshot.Index-first].Term != snapshot.Term {
		return nil, nil
	}
	return entries[snapshot.Index+1-first:], nil
}

func (d *disk) damaged(name, format string, args ...any) error {
	return api.FieldErrorf(api.CodeDataDamaged, d.path(name), format, args...)
}

// append makes the changed state and new entries durable.
func (d *disk) append(hard *consensus.HardState, entries []consensus.Entry) error {
	record := &consensuspb.Record{Entries: toEntries(entries)}
	if hard != nil {
		d.hard = *hard
		record.HardState = toHardState(*hard)
	}
	raw, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	return d.log.Append(raw)
}

// saveSnapshot makes a snapshot durable and then shortens the log to the
// entries above it.
func (d *disk) saveSnapshot(snapshot consensus.Snapshot, above []consensus.Entry) error {
	lean := snapshot
	lean.Data = nil
	head, err := proto.Marshal(toSnapshot(&lean))
	if err != nil {
		return errors.Wrap(err, "encode a snapshot")
	}
	// The data follows as the last field, without a copy of it.
	head = protowire.AppendTag(head, snapshotDataField, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(len(snapshot.Data)))
	if err := durable.WriteRecord(d.path(snapshotFile), head, snapshot.Data); err != nil {
		return err
	}
	d.snapshotBytes = int64(len(head) + len(snapshot.Data))
	rest, err := proto.Marshal(&consensuspb.Record{HardState: toHardState(d.hard), Entries: toEntries(above)})
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	return d.log.Replace(rest)
}

func toHardState(hard consensus.HardState) *consensuspb.HardState {
	return &consensuspb.HardState{Term: hard.Term, Vote: uint64(hard.Vote)}
}
