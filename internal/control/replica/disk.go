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

// snapshotDataField is the field number of data in the Snapshot message.
const snapshotDataField = 4

// disk stores the durable state of a replica: its identity, write-ahead log and snapshot.
type disk struct {
	dir           string
	log           *durable.Log
	hardState     consensus.HardState
	snapshotBytes int64
}

func (d *disk) path(name string) string { return filepath.Join(d.dir, name) }

// hasLog reports whether a log file exists; it exists from the time the replica joins a
// group.
func (d *disk) hasLog() bool {
	_, err := os.Stat(d.path(logFile))
	return err == nil
}

// load returns the durable state; initial is the membership at index 0.
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
	entries, err := d.replay(records, &state.HardState)
	if err != nil {
		return state, err
	}
	state.Entries, err = d.entriesAbove(entries, state.Snapshot)
	d.hardState = state.HardState
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

// readSnapshot returns the newest durable snapshot, or nil if there is none.
func (d *disk) readSnapshot() (*consensuspb.Snapshot, error) {
	raw, err := durable.ReadRecord(d.path(snapshotFile))
	if err != nil || raw == nil {
		return nil, err
	}
	snapshot := &consensuspb.Snapshot{}
	if err := proto.Unmarshal(raw, snapshot); err != nil {
		return nil, d.damagedError(snapshotFile, "%v", err)
	}
	return snapshot, nil
}

// replay returns the entries that result from the records of the log, and sets hardState
// to the last hard state in them. Entries of a record replace all earlier entries from the
// index of the record's first entry on.
func (d *disk) replay(records [][]byte, hardState *consensus.HardState) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	for i, raw := range records {
		record := &consensuspb.Record{}
		if err := proto.Unmarshal(raw, record); err != nil {
			return nil, d.damagedError(logFile, "record %d: %v", i, err)
		}
		if h := record.GetHardState(); h != nil {
			*hardState = consensus.HardState{Term: h.GetTerm(), Vote: consensus.ReplicaID(h.GetVote()), Commit: h.GetCommit()}
		}
		appended := fromEntries(record.GetEntries())
		if len(appended) == 0 {
			continue
		}
		if len(entries) > 0 {
			first := entries[0].Index
			if appended[0].Index < first || appended[0].Index > entries[len(entries)-1].Index+1 {
				return nil, d.damagedError(logFile, "record %d: entry %d does not continue the log", i, appended[0].Index)
			}
			entries = entries[:appended[0].Index-first]
		}
		entries = append(entries, appended...)
	}
	return entries, nil
}

// entriesAbove returns the entries above the snapshot's index. It returns none if the log
// does not match the snapshot: then the log is older than a snapshot that another replica
// sent, and the snapshot replaces it. A gap between the snapshot and the first entry is an
// error with api.CodeDataDamaged.
func (d *disk) entriesAbove(entries []consensus.Entry, snapshot consensus.Snapshot) ([]consensus.Entry, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if first > snapshot.Index+1 {
		return nil, d.damagedError(logFile, "entries %d to %d are missing between the snapshot and the log", snapshot.Index+1, first-1)
	}
	if last <= snapshot.Index {
		return nil, nil
	}
	if first <= snapshot.Index && entries[snapshot.Index-first].Term != snapshot.Term {
		return nil, nil
	}
	return entries[snapshot.Index+1-first:], nil
}

// damagedError returns an error with api.CodeDataDamaged that names a file.
func (d *disk) damagedError(name, format string, args ...any) error {
	return api.FieldErrorf(api.CodeDataDamaged, d.path(name), format, args...)
}

// append makes a changed hard state and new entries durable as one record; hardState is
// nil if it has not changed. After durable.ErrNotWritten the call may be repeated.
func (d *disk) append(hardState *consensus.HardState, entries []consensus.Entry) error {
	record := &consensuspb.Record{Entries: toEntries(entries)}
	if hardState != nil {
		d.hardState = *hardState
		record.HardState = toHardState(*hardState)
	}
	raw, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode a log record")
	}
	return d.log.Append(raw)
}

// saveSnapshot makes a snapshot durable, and then replaces the log by the hard state and
// the entries above the snapshot. A crash between the two leaves a log that load trims.
func (d *disk) saveSnapshot(snapshot consensus.Snapshot, entriesAbove []consensus.Entry) error {
	withoutData := snapshot
	withoutData.Data = nil
	header, err := proto.Marshal(toSnapshot(&withoutData))
	if err != nil {
		return errors.Wrap(err, "encode a snapshot")
	}
	// The data is written as the last field without being copied into the encoded message.
	header = protowire.AppendTag(header, snapshotDataField, protowire.BytesType)
	header = protowire.AppendVarint(header, uint64(len(snapshot.Data)))
	if err := durable.WriteRecord(d.path(snapshotFile), header, snapshot.Data); err != nil {
		return err
	}
	d.snapshotBytes = int64(len(header) + len(snapshot.Data))
	record, err := proto.Marshal(&consensuspb.Record{HardState: toHardState(d.hardState), Entries: toEntries(entriesAbove)})
	if err != nil {
		return errors.Wrap(err, "encode a log record")
	}
	return d.log.Replace(record)
}

func toHardState(hardState consensus.HardState) *consensuspb.HardState {
	return &consensuspb.HardState{Term: hardState.Term, Vote: uint64(hardState.Vote), Commit: hardState.Commit}
}
