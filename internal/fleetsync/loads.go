package fleetsync

import (
	"context"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// MaxLoadAge is the age up to which a server's load is forwarded.
	MaxLoadAge = 3 * time.Second
	// LoadReportInterval is the time between two load reports of a router. A request takes
	// about as long, so a forwarded load is still valid. 90 routers with 6 control replicas
	// cause 20 reports/s at each replica.
	LoadReportInterval = 700 * time.Millisecond
	// reportSlack is added to a report interval to allow for delayed reports.
	reportSlack = 200 * time.Millisecond
)

// ServerLoad is a server's load at a point in time.
type ServerLoad struct {
	// Requests is the number of requests that are running or queued on the server.
	Requests int
	// ReportedAt is when the server reported the load.
	ReportedAt time.Time
	// receivedAt is when the caching replica received the load.
	receivedAt time.Time
	// fromReplica is the control replica that has sent the load, or empty if a router has.
	fromReplica string
}

// loadCache caches the newest load of each server by the server's hash. In a large fleet a
// single router receives a server's load only every ten seconds, all routers together many
// times per second.
type loadCache struct {
	mu       sync.Mutex
	byServer map[uint64]ServerLoad
}

func newLoadCache() *loadCache { return &loadCache{byServer: make(map[uint64]ServerLoad)} }

// merge stores the loads of a message received at now that are newer than the cached ones.
func (l *loadCache) merge(message *fleetpb.Loads, now time.Time) {
	l.mergeLoads(FromLoads(message, now), now)
}

// mergeFromReplica merges the loads that another control replica has sent.
func (l *loadCache) mergeFromReplica(replica string, message *fleetpb.Loads, now time.Time) {
	received := FromLoads(message, now)
	for server, load := range received {
		load.fromReplica = replica
		received[server] = load
	}
	l.mergeLoads(received, now)
}

// mergeLoads stores the loads received at now that are newer than the cached ones.
func (l *loadCache) mergeLoads(received map[uint64]ServerLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, load := range received {
		if load.ReportedAt.After(l.byServer[server].ReportedAt) {
			load.receivedAt = now
			l.byServer[server] = load
		}
	}
}

// AddNewerLoads adds to loads those of other that are newer or that loads lacks.
func AddNewerLoads(loads, other map[uint64]ServerLoad) {
	for server, load := range other {
		if load.ReportedAt.After(loads[server].ReportedAt) {
			loads[server] = load
		}
	}
}

// recent returns the loads that were received within the given time before now, and evicts
// loads older than MaxLoadAge. A caller with a regular interval has received the other loads
// with earlier calls.
func (l *loadCache) recent(now time.Time, within time.Duration) map[uint64]ServerLoad {
	out := make(map[uint64]ServerLoad)
	l.eachRecent(now, within, true, func(server uint64, load ServerLoad) { out[server] = load })
	return out
}

// recentForReplica is recent without the loads that the given control replica has sent: sent back, they look
// newer there by the network delay, and would be exchanged until they are MaxLoadAge old.
func (l *loadCache) recentForReplica(replica string, now time.Time, within time.Duration) map[uint64]ServerLoad {
	out := make(map[uint64]ServerLoad)
	l.eachRecent(now, within, true, func(server uint64, load ServerLoad) {
		if load.fromReplica != replica {
			out[server] = load
		}
	})
	return out
}

// recentList is recent as a list, without withReplicas only of the loads that routers have sent.
func (l *loadCache) recentList(now time.Time, within time.Duration, withReplicas bool) []hashedLoad {
	out := make([]hashedLoad, 0, l.len())
	l.eachRecent(now, within, withReplicas, func(server uint64, load ServerLoad) {
		out = append(out, hashedLoad{server, load.Requests, now.Sub(load.ReportedAt)})
	})
	return out
}

func (l *loadCache) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byServer)
}

func (l *loadCache) eachRecent(now time.Time, within time.Duration, withReplicas bool, use func(uint64, ServerLoad)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, load := range l.byServer {
		if now.Sub(load.ReportedAt) > MaxLoadAge {
			delete(l.byServer, server)
			continue
		}
		if now.Sub(load.receivedAt) <= within && (withReplicas || load.fromReplica == "") {
			use(server, load)
		}
	}
}

// ToLoads returns the message for loads keyed by the servers' hashes.
func ToLoads(byServer map[uint64]ServerLoad, now time.Time) *fleetpb.Loads {
	out := &fleetpb.Loads{}
	for server, load := range byServer {
		out.Servers = append(out.Servers, server)
		out.Requests = append(out.Requests, uint32(max(load.Requests, 0)))
		// Rounded up, a load does not look newer with each transmission.
		out.AgeMs = append(out.AgeMs, ageMS(load.ReportedAt, now.Add(time.Millisecond-1)))
	}
	return out
}

// FromLoads returns the loads of a message received at now, keyed by the servers' hashes.
func FromLoads(message *fleetpb.Loads, now time.Time) map[uint64]ServerLoad {
	out := make(map[uint64]ServerLoad, len(message.GetServers()))
	for i, server := range message.GetServers() {
		if i >= len(message.GetRequests()) || i >= len(message.GetAgeMs()) {
			break
		}
		out[server] = ServerLoad{
			Requests:   int(message.GetRequests()[i]),
			ReportedAt: now.Add(-time.Duration(message.GetAgeMs()[i]) * time.Millisecond),
		}
	}
	return out
}

// Report implements the Report RPC of the Fleet service. It merges what a router reports and
// returns the loads that the replica received recently.
func (s *Service) Report(_ context.Context, request *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	now := time.Now()
	response := s.mergeReport(request, now)
	if !request.GetWithoutLoads() {
		response.Loads = s.loadsForRouters(now)
	}
	return response, nil
}
