package fleetsync

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// maxDepartureLogBytes is the size from which on the log is rewritten without the records that have
// expired. A record takes about 100 bytes.
const maxDepartureLogBytes = 256 << 10

// DepartureLog stores the records of servers that are draining or gone, so that a restart of all
// control replicas does not forget what was confirmed to a server. All other records are announced
// again within seconds. It is safe for concurrent use.
type DepartureLog struct {
	path string
	log  zerolog.Logger
	// file is nil until it has been opened, and unexpiredBytes was its size after the last time that it
	// was rewritten. Only the writer uses them.
	file           *durable.Log
	unexpiredBytes int64

	mu sync.Mutex
	// departures has the newest record of each server by its ID.
	departures map[string]registry.Entry
	// stored has what is durable, by Server.Hash.
	stored  map[uint64]storedDeparture
	pending []pendingDeparture
	// isWriting is set while a goroutine writes the pending records.
	isWriting bool
}

// storedDeparture is the state of an incarnation, and the time of its last announcement or of its
// withdrawal.
type storedDeparture struct {
	state registry.State
	at    time.Time
}

// pendingDeparture is a record that is not durable yet.
type pendingDeparture struct {
	entry  registry.Entry
	result chan<- error
}

// OpenDepartureLog opens or creates a log. If the file cannot be opened, the log is empty and opens
// it again when it writes: the records matter for minutes only, and a replica has to start on a full
// disk.
func OpenDepartureLog(path string, log zerolog.Logger) *DepartureLog {
	d := &DepartureLog{path: path, log: log, departures: make(map[string]registry.Entry), stored: make(map[uint64]storedDeparture)}
	if err := d.open(); err != nil {
		log.Error().Err(err).Msg("departures of backend servers not loaded")
	}
	return d
}

// open opens the file and adds its records to those in memory.
func (d *DepartureLog) open() error {
	if err := durable.CreateDir(filepath.Dir(d.path)); err != nil {
		return err
	}
	file, records, err := durable.OpenLog(d.path)
	if err != nil {
		return err
	}
	d.file = file
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, raw := range records {
		record := &fleetpb.Departures{}
		if err := proto.Unmarshal(raw, record); err != nil {
			d.log.Error().Err(err).Msg("departure of a backend server cannot be decoded")
			continue
		}
		for _, server := range record.GetServers() {
			// The time of day may have been set back since.
			age := max(now.Sub(time.UnixMilli(record.GetRecordedMs())), 0)
			entry := FromServer(server, now.Add(-age))
			d.departures[entry.ID], d.stored[entry.Hash()] = entry, storedDeparture{entry.State, entry.LastAnnounced}
		}
	}
	return nil
}

// reopen opens the file if that has failed before. It replaces a damaged file: what it held is in
// the other replicas' files, too.
func (d *DepartureLog) reopen() error {
	if d.file != nil {
		return nil
	}
	err := d.open()
	if api.AsError(err).Code != api.CodeDataDamaged {
		return err
	}
	if err := durable.WriteFile(d.path, nil); err != nil {
		return err
	}
	return d.open()
}

// Entries returns the newest record of each server that has not expired.
func (d *DepartureLog) Entries(now time.Time) []registry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unexpired(now)
}

// unexpired deletes expired records and returns the others; the caller holds mu.
func (d *DepartureLog) unexpired(now time.Time) (entries []registry.Entry) {
	for id, e := range d.departures {
		if now.Sub(e.LastAnnounced) > registry.EntryRetention {
			delete(d.departures, id)
			delete(d.stored, e.Hash())
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

// IsStored reports whether the departure of an incarnation is durable, in its state or a later one, or
// the withdrawal of all incarnations up to its time.
func (d *DepartureLog) IsStored(entry registry.Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored := d.stored[entry.Hash()]
	return stored.state >= entry.State && (!entry.Withdrawn || !stored.at.Before(entry.LastAnnounced))
}

// Append makes records durable. It returns an error if that fails or takes until ctx ends; the
// records may then become durable later.
func (d *DepartureLog) Append(ctx context.Context, entries ...registry.Entry) error {
	results := make(chan error, len(entries))
	d.mu.Lock()
	for _, e := range entries {
		d.pending = append(d.pending, pendingDeparture{entry: e, result: results})
	}
	if !d.isWriting && len(d.pending) > 0 {
		d.isWriting = true
		go d.writePending()
	}
	d.mu.Unlock()
	for range entries {
		select {
		case err := <-results:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "store departures of backend servers")
		}
	}
	return nil
}

// writePending writes until no record is pending. One sync covers all records that wait for it.
func (d *DepartureLog) writePending() {
	for {
		d.mu.Lock()
		batch := d.pending
		d.pending = nil
		if len(batch) == 0 {
			d.isWriting = false
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		err := d.reopen()
		if err == nil {
			err = d.write(batch, time.Now())
		}
		if err != nil {
			d.log.Error().Err(err).Int("servers", len(batch)).Msg("departures of backend servers not stored")
		}
		d.mu.Lock()
		for _, p := range batch {
			if err == nil {
				d.stored[p.entry.Hash()] = storedDeparture{p.entry.State, p.entry.LastAnnounced}
			}
			p.result <- err
		}
		d.mu.Unlock()
	}
}

// write adds one record with the entries of a batch to the file, or replaces all records by one with
// the entries that have not expired.
func (d *DepartureLog) write(batch []pendingDeparture, now time.Time) error {
	var entries []registry.Entry
	replace := d.file.Size() > max(maxDepartureLogBytes, 2*d.unexpiredBytes)
	d.mu.Lock()
	for _, p := range batch {
		d.departures[p.entry.ID] = p.entry
		entries = append(entries, p.entry)
	}
	if replace {
		entries = d.unexpired(now)
	}
	d.mu.Unlock()
	raw, err := proto.Marshal(&fleetpb.Departures{RecordedMs: now.UnixMilli(), Servers: toServers(entries, now)})
	if err != nil {
		return errors.Wrap(err, "encode departures of backend servers")
	}
	if replace {
		d.unexpiredBytes = int64(len(raw))
		return d.file.Replace(raw)
	}
	return d.file.Append(raw)
}
