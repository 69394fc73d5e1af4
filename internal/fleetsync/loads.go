package fleetsync

import (
	"context"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// LoadKept is the age up to which a server's load is passed on.
	LoadKept = 3 * time.Second
	// LoadReportInterval is the time between two reports of a router. A request takes about
	// as long, so that what a router learns still holds; 90 routers before 6 control
	// replicas make 20 reports a second each.
	LoadReportInterval = 700 * time.Millisecond
	// reportSlack makes up for reports that come late.
	reportSlack = 200 * time.Millisecond
)

// ServerLoad is the load that a server told at a moment.
type ServerLoad struct {
	// Requests counts those that run or wait on the server.
	Requests int
	At       time.Time
	// received is when it came to the replica that keeps it.
	received time.Time
}

// loads keeps the newest load of each server by its hash. In a large fleet a router
// hears of each server every ten seconds only, all routers together many times a
// second.
type loads struct {
	mu       sync.Mutex
	byServer map[uint64]ServerLoad
}

func newLoads() *loads { return &loads{byServer: make(map[uint64]ServerLoad)} }

// take merges loads that came at now.
func (l *loads) take(message *fleetpb.Loads, now time.Time) {
	received := FromLoads(message, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, load := range received {
		if load.At.After(l.byServer[server].At) {
			load.received = now
			l.byServer[server] = load
		}
	}
}

// recent returns the loads that came within a time, and forgets those that are too
// old: whoever asks regularly has got the others before.
func (l *loads) recent(now time.Time, within time.Duration) map[uint64]ServerLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[uint64]ServerLoad, len(l.byServer))
	for server, load := range l.byServer {
		if now.Sub(load.At) > LoadKept {
			delete(l.byServer, server)
			continue
		}
		if now.Sub(load.received) <= within {
			out[server] = load
		}
	}
	return out
}

// ToLoads returns the message of loads by the servers' hashes.
func ToLoads(byServer map[uint64]ServerLoad, now time.Time) *fleetpb.Loads {
	out := &fleetpb.Loads{}
	for server, load := range byServer {
		out.Servers = append(out.Servers, server)
		out.Requests = append(out.Requests, uint32(max(load.Requests, 0)))
		out.AgeMs = append(out.AgeMs, uint32(max(now.Sub(load.At), 0).Milliseconds()))
	}
	return out
}

// FromLoads returns the loads of a message that came at now.
func FromLoads(message *fleetpb.Loads, now time.Time) map[uint64]ServerLoad {
	out := make(map[uint64]ServerLoad, len(message.GetServers()))
	for i, server := range message.GetServers() {
		if i >= len(message.GetRequests()) || i >= len(message.GetAgeMs()) {
			break
		}
		out[server] = ServerLoad{
			Requests: int(message.GetRequests()[i]),
			At:       now.Add(-time.Duration(message.GetAgeMs()[i]) * time.Millisecond),
		}
	}
	return out
}

// Report implements the RPC service.
func (s *Service) Report(_ context.Context, request *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	now := time.Now()
	s.loads.take(request.GetLoads(), now)
	return &fleetpb.ReportResponse{Loads: ToLoads(s.loads.recent(now, LoadReportInterval+reportSlack), now)}, nil
}
