package fleetsync

import (
	"maps"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// warmupCacheTime is how long records are cached that state the remaining time of a warm-up.
const warmupCacheTime = 200 * time.Millisecond

// nextRecords returns the records that the router lacks, and a channel that is closed at the
// next change of the registry. On the first call it also sets the fields of event that only
// the first event carries.
func (r *routerStream) nextRecords(event *fleetpb.FollowEvent) (*recordList, <-chan struct{}, error) {
	p := r.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	from, isFirst := r.revision, !r.firstSent
	r.revision = p.table.Revision()
	if isFirst {
		event.First = true
	}
	now := time.Now()
	if len(r.bucketDigests) == bucketCount {
		entries, differing := p.differingRecords(r.bucketDigests, now)
		r.bucketDigests, event.Bucketed, event.Differing = nil, true, differing
		records, err := newRecordList(toServers(entries, now))
		return records, p.changed, err
	}
	if len(r.knownDigests) == 0 {
		records, err := p.recordsSince(from)
		return records, p.changed, err
	}
	var servers []*fleetpb.Server
	servers, event.Unknown = missingRecords(p.table.Since(0), r.knownDigests, now)
	r.knownDigests = nil
	records, err := newRecordList(servers)
	return records, p.changed, err
}

// recordsSince returns the records that changed after a revision; the caller holds mu. Many
// streams need the same records at the same time, so they are cached until the next change.
func (p *publisher) recordsSince(revision uint64) (*recordList, error) {
	now := time.Now()
	if p.cachedRevision != p.table.Revision() || !p.cachedUntil.IsZero() && now.After(p.cachedUntil) {
		p.cachedRevision, p.cachedUntil = p.table.Revision(), time.Time{}
		clear(p.cachedRecords)
	}
	if cached := p.cachedRecords[revision]; cached != nil {
		return cached, nil
	}
	entries := p.table.Since(revision)
	isWarming := func(e registry.Entry) bool { return e.WarmupUntil.After(now) }
	if p.cachedUntil.IsZero() && slices.ContainsFunc(entries, isWarming) {
		p.cachedUntil = now.Add(warmupCacheTime)
	}
	var servers []*fleetpb.Server
	if revision == 0 {
		servers, _ = missingRecords(entries, nil, now)
	} else {
		servers = toServers(entries, now)
	}
	records, err := newRecordList(servers)
	if err == nil {
		p.cachedRecords[revision] = records
	}
	return records, err
}

// missingRecords returns the records that a router lacks or that are warming up, and the hashes of
// the servers that only the router has. The end of a warm-up is not part of a digest. The record of a
// server that has been gone for longer than goneRetention goes only to routers that have the server;
// before that, a follower of the router may have it. missingRecords removes entries from known.
func missingRecords(entries []registry.Entry, known map[uint64]uint32, now time.Time) (servers []*fleetpb.Server, unknown []uint64) {
	for _, e := range entries {
		id := registry.HashID(e.ID)
		digest, isKnown := known[id]
		delete(known, id)
		if isKnown && digest == e.Digest() && !e.WarmupUntil.After(now) || !isKnown && e.State == registry.StateGone && now.Sub(e.LastAnnounced) > goneRetention {
			continue
		}
		servers = append(servers, toServer(e, now))
	}
	return servers, slices.Collect(maps.Keys(known))
}
