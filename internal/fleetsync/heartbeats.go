package fleetsync

import (
	"maps"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// heartbeatRefresh is the age of the last heartbeat that the source knows of from which a report
	// repeats a server. Reports are LoadReportInterval apart, or half as much above a router with
	// followers, so that control's knowledge stays younger than 2.1 s, or 2.5 s with a relay in
	// between, and that of the other replicas younger than 3.3 s.
	heartbeatRefresh = 1400 * time.Millisecond
	// maxHeartbeatServers bounds the servers that stay with one router. Each takes some 1.3 KB/s of
	// its link; at 3,000 servers, 50 routers that follow control directly have 60 each.
	maxHeartbeatServers = 256
	// maxReportedHeartbeats bounds the liveness in a report, some 11 bytes for each server.
	maxReportedHeartbeats = 1024
)

// heartbeats holds the heartbeats of servers that a router and its followers have acknowledged. It is
// safe for concurrent use.
type heartbeats struct {
	mu sync.Mutex
	// own has the newest heartbeats that this router acknowledged, by the servers' hashes, and
	// followers those that followers reported and the source has not received yet.
	own, followers map[uint64]time.Time
	// assigned are the servers that send their later announcements to this router; the others return to control.
	assigned map[uint64]bool
	// sent holds the announcement times that the source was last sent.
	sent sentLiveness
	// unknown has the servers for which control has no record, with the time of that answer.
	unknown map[uint64]time.Time
}

func newHeartbeats() *heartbeats {
	return &heartbeats{
		own: make(map[uint64]time.Time), followers: make(map[uint64]time.Time), assigned: make(map[uint64]bool), sent: make(sentLiveness), unknown: make(map[uint64]time.Time),
	}
}

// mergeFollower stores what a follower reports, and returns the servers in it for which control has
// no record.
func (h *heartbeats) mergeFollower(message *fleetpb.Liveness, now time.Time) (unknown []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	eachHeartbeat(message, now, func(hash uint64, at time.Time) {
		if _, found := h.unknown[hash]; found {
			unknown = append(unknown, hash)
		}
		if at.After(h.followers[hash]) {
			h.followers[hash] = at
		}
	})
	return unknown
}

// unsent returns what the source may lack, and a function to call once the source has it.
func (h *heartbeats) unsent(now time.Time) (message *fleetpb.Liveness, confirm func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, times := range []map[uint64]time.Time{h.own, h.followers, h.unknown} {
		maps.DeleteFunc(times, func(_ uint64, at time.Time) bool { return now.Sub(at) > registry.SilentAfter })
	}
	maps.DeleteFunc(h.assigned, func(hash uint64, _ bool) bool { return h.own[hash].IsZero() })
	due := h.sent.due(h.own, heartbeatRefresh, now)
	forwarded := maps.Clone(h.followers)
	message = &fleetpb.Liveness{}
	for _, times := range []map[uint64]time.Time{due, forwarded} {
		for hash, at := range times {
			if len(message.Servers) == maxReportedHeartbeats {
				delete(times, hash)
				continue
			}
			message.Servers = append(message.Servers, hash)
			// Rounded up, a heartbeat does not look newer with each hop.
			message.AgeMs = append(message.AgeMs, ageMS(at, now.Add(time.Millisecond-1)))
		}
	}
	if len(message.Servers) == 0 {
		message = nil
	}
	return message, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.sent.record(due, h.own)
		maps.DeleteFunc(h.followers, func(hash uint64, at time.Time) bool { return at.Equal(forwarded[hash]) })
	}
}

// eachHeartbeat calls use for each server of a message that was not silent at now.
func eachHeartbeat(message *fleetpb.Liveness, now time.Time, use func(hash uint64, at time.Time)) {
	for i, hash := range message.GetServers() {
		if i >= len(message.GetAgeMs()) {
			return
		}
		if at := timeOf(message.GetAgeMs()[i], now); now.Sub(at) < registry.SilentAfter {
			use(hash, at)
		}
	}
}

// RecordHeartbeat records that this router acknowledges a heartbeat. It returns false if control has
// no record of the server, so that the heartbeat has to be forwarded.
func (r *Relay) RecordHeartbeat(hash uint64, now time.Time) bool {
	h := r.heartbeats
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := h.unknown[hash]; found {
		return false
	}
	h.own[hash] = now
	return true
}

// KeepsHeartbeats reports whether a server should go on sending its heartbeats to this router, and
// counts it if so.
func (r *Relay) KeepsHeartbeats(hash uint64) bool {
	h := r.heartbeats
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.assigned[hash] && len(h.assigned) >= maxHeartbeatServers {
		return false
	}
	h.assigned[hash] = true
	return true
}

// HeartbeatServers returns the number of servers that were asked to stay with this router, and whether
// it takes no more.
func (r *Relay) HeartbeatServers() (count int, full bool) {
	h := r.heartbeats
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.assigned), len(h.assigned) >= maxHeartbeatServers
}

// UnsentHeartbeats returns the heartbeats that the source may lack, and a function to call once the
// source has them.
func (r *Relay) UnsentHeartbeats(now time.Time) (*fleetpb.Liveness, func()) {
	return r.heartbeats.unsent(now)
}

// ResetHeartbeats requests an early report with all heartbeats, as the source is a new one.
func (r *Relay) ResetHeartbeats() {
	r.heartbeats.mu.Lock()
	defer r.heartbeats.mu.Unlock()
	clear(r.heartbeats.sent)
	if len(r.heartbeats.own) > 0 {
		r.wakeReport()
	}
}

// RecordUnknownServers records that control has no record of servers.
func (r *Relay) RecordUnknownServers(hashes []uint64, now time.Time) {
	r.heartbeats.mu.Lock()
	defer r.heartbeats.mu.Unlock()
	for _, hash := range hashes {
		r.heartbeats.unknown[hash] = now
	}
}

// RecordForwarded records that control has an announcement.
func (r *Relay) RecordForwarded(hash uint64) {
	r.heartbeats.mu.Lock()
	defer r.heartbeats.mu.Unlock()
	delete(r.heartbeats.unknown, hash)
}

// RequestReport requests that the source soon receive a report.
func (r *Relay) RequestReport() { r.wakeReport() }
