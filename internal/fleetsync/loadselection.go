package fleetsync

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// maxCompleteServers is the number of listed servers up to which all recent loads and, in each
	// digest, all announcements are sent. The
	// loads of 3,000 servers take 33 KB: a control replica with eight relays would send 750 KB/s
	// over a link of 525 KB/s.
	maxCompleteServers = 1200
	// maxCompletePool is the number of known loads up to which those of a pool are sent whole.
	maxCompletePool = 64
	// maxSelectedLoads bounds the loads of a larger pool in a message, maxHighestLoads those that
	// are sent because they are the highest. Routers avoid servers with a high load, and assume the
	// mean load of servers that they know nothing of.
	maxSelectedLoads = 256
	maxHighestLoads  = 128
	// selectionInterval is how long a selection is sent to all that ask.
	selectionInterval = 250 * time.Millisecond
)

// PoolLoad is the sum of the loads of those servers of a pool whose loads are known.
type PoolLoad struct {
	Servers, Requests int
	// ComputedAt is when the sum was computed.
	ComputedAt time.Time
}

// loadSelection selects the loads of a large fleet that are worth sending. It is safe for
// concurrent use.
type loadSelection struct {
	mu         sync.Mutex
	selectedAt time.Time
	loads      map[uint64]ServerLoad
	pools      map[string]PoolLoad
	// sentHigh has the high loads that were selected in the last MaxLoadAge, by the server's hash. Routers
	// still avoid these servers.
	sentHigh map[uint64]sentLoad
}

// sentLoad is a load as it was last selected among the high ones.
type sentLoad struct {
	requests int
	at       time.Time
}

// get returns the current selection. If it is outdated, get makes a new one from the loads that
// candidates returns, with the pools of the servers.
func (l *loadSelection) get(now time.Time, candidates func() map[string][]hashedLoad) (map[uint64]ServerLoad, map[string]PoolLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.selectedAt) >= selectionInterval {
		l.selectedAt = now
		l.choose(candidates(), now)
	}
	return l.loads, l.pools
}

func (l *loadSelection) choose(byPool map[string][]hashedLoad, now time.Time) {
	l.loads, l.pools = make(map[uint64]ServerLoad, 2*maxSelectedLoads), make(map[string]PoolLoad)
	if l.sentHigh == nil {
		l.sentHigh = make(map[uint64]sentLoad)
	}
	for hash, sent := range l.sentHigh {
		if now.Sub(sent.at) > MaxLoadAge {
			delete(l.sentHigh, hash)
		}
	}
	for pool, loads := range byPool {
		if len(loads) <= maxCompletePool {
			l.add(loads, now)
			continue
		}
		sum := PoolLoad{Servers: len(loads), ComputedAt: now}
		for _, load := range loads {
			sum.Requests += load.requests
		}
		l.pools[pool] = sum
		l.choosePart(loads, now)
	}
}

// hashedLoad is a load in few bytes, because lists of thousands are copied.
type hashedLoad struct {
	hash     uint64
	requests int
	age      time.Duration
}

// choosePart adds the highest loads of a pool, then those that have fallen since they were sent as high
// ones, and then the newest.
func (l *loadSelection) choosePart(loads []hashedLoad, now time.Time) {
	highest, rest := lowestBuckets(loads, maxHighestLoads, func(load *hashedLoad) int { return loadBuckets - 1 - load.requests })
	// Loads of the last 2.5 s differ by their bucket.
	newest, _ := lowestBuckets(rest, maxSelectedLoads-maxHighestLoads, func(load *hashedLoad) int {
		if sent, found := l.sentHigh[load.hash]; found && load.requests < sent.requests {
			return 0
		}
		return 1 + int(load.age/(10*time.Millisecond))
	})
	l.add(highest, now)
	l.add(newest, now)
	lowestHigh := slices.MinFunc(highest, compareRequests).requests
	for _, load := range slices.Concat(highest, newest) {
		if load.requests >= lowestHigh {
			l.sentHigh[load.hash] = sentLoad{load.requests, now}
		}
	}
}

func compareRequests(a, b hashedLoad) int { return cmp.Compare(a.requests, b.requests) }

func (l *loadSelection) add(loads []hashedLoad, now time.Time) {
	for _, load := range loads {
		l.loads[load.hash] = ServerLoad{Requests: load.requests, ReportedAt: now.Add(-load.age)}
	}
}

const loadBuckets = 256

// lowestBuckets returns the n loads with the lowest buckets, and the others. Buckets outside of 0 to
// loadBuckets-1 count as the nearest one. Sorting 3,000 loads would take ten times as long.
func lowestBuckets(loads []hashedLoad, n int, bucketOf func(*hashedLoad) int) (lowest, others []hashedLoad) {
	var counts [loadBuckets]int
	buckets := make([]uint8, len(loads))
	for i := range loads {
		buckets[i] = uint8(min(max(bucketOf(&loads[i]), 0), loadBuckets-1))
		counts[buckets[i]]++
	}
	limit, left := 0, n
	for limit < loadBuckets && counts[limit] <= left {
		left -= counts[limit]
		limit++
	}
	lowest, others = make([]hashedLoad, 0, n), make([]hashedLoad, 0, max(len(loads)-n, 0))
	for i, bucket := range buckets {
		switch {
		case int(bucket) < limit:
			lowest = append(lowest, loads[i])
		case int(bucket) == limit && left > 0:
			left--
			lowest = append(lowest, loads[i])
		default:
			others = append(others, loads[i])
		}
	}
	return lowest, others
}

// poolLoads holds the sums of the loads that other processes have sent, by the sender. It is safe
// for concurrent use.
type poolLoads struct {
	mu       sync.Mutex
	bySender map[string]receivedSums
}

type receivedSums struct {
	loads      map[string]PoolLoad
	receivedAt time.Time
}

func newPoolLoads() *poolLoads { return &poolLoads{bySender: make(map[string]receivedSums)} }

// record replaces the sums of a sender, and removes senders that have sent none for MaxLoadAge.
func (p *poolLoads) record(sender string, loads map[string]PoolLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, sums := range p.bySender {
		if now.Sub(sums.receivedAt) > MaxLoadAge {
			delete(p.bySender, other)
		}
	}
	p.bySender[sender] = receivedSums{loads, now}
}

// sum returns the sums over all senders that are not older than MaxLoadAge, with those of own added.
func (p *poolLoads) sum(own map[string]PoolLoad, now time.Time) map[string]PoolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]PoolLoad, len(own))
	add := func(loads map[string]PoolLoad) {
		for pool, load := range loads {
			if now.Sub(load.ComputedAt) > MaxLoadAge {
				continue
			}
			total := out[pool]
			if total.Servers == 0 || load.ComputedAt.Before(total.ComputedAt) {
				total.ComputedAt = load.ComputedAt
			}
			total.Servers, total.Requests = total.Servers+load.Servers, total.Requests+load.Requests
			out[pool] = total
		}
	}
	add(own)
	for _, sums := range p.bySender {
		add(sums.loads)
	}
	return out
}

// isLarge reports whether the fleet is so large that its loads are not sent whole.
func (p *publisher) isLarge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Len() > maxCompleteServers
}

// byPool groups loads by the pools of their servers.
func (p *publisher) byPool(loads []hashedLoad) map[string][]hashedLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	sizes, out := make(map[string]int), make(map[string][]hashedLoad)
	for _, load := range loads {
		sizes[p.table.PoolOf(load.hash)]++
	}
	for _, load := range loads {
		pool := p.table.PoolOf(load.hash)
		if out[pool] == nil {
			out[pool] = make([]hashedLoad, 0, sizes[pool])
		}
		out[pool] = append(out[pool], load)
	}
	return out
}

// loadsForRouters returns the loads that a router receives from a control replica.
func (s *Service) loadsForRouters(now time.Time) *fleetpb.Loads {
	if !s.isLarge() {
		return ToLoads(s.loads.recent(now, LoadReportInterval+reportSlack), now)
	}
	loads, pools := s.routerSelection.get(now, func() map[string][]hashedLoad {
		return s.byPool(s.loads.recentList(now, LoadReportInterval+reportSlack, true))
	})
	_, own := s.selectedForReplicas(now)
	sums := s.replicaLoads.sum(own, now)
	for pool, sum := range pools {
		if _, found := sums[pool]; !found {
			// Each replica knows so few loads of the pool that it sends all of them.
			sums[pool] = sum
		}
	}
	return toPartialLoads(loads, sums, now)
}

// loadsForReplica returns the loads that another control replica receives. In smaller fleets they include
// those of third replicas, for replicas that cannot reach each other.
func (s *Service) loadsForReplica(replica string, now time.Time) *fleetpb.Loads {
	if !s.isLarge() {
		return ToLoads(s.loads.recentForReplica(replica, now, digestInterval+reportSlack), now)
	}
	loads, pools := s.selectedForReplicas(now)
	return toPartialLoads(loads, pools, now)
}

func (s *Service) selectedForReplicas(now time.Time) (map[uint64]ServerLoad, map[string]PoolLoad) {
	return s.replicaSelection.get(now, func() map[string][]hashedLoad {
		return s.byPool(s.loads.recentList(now, digestInterval+reportSlack, false))
	})
}

func toPartialLoads(loads map[uint64]ServerLoad, pools map[string]PoolLoad, now time.Time) *fleetpb.Loads {
	out := ToLoads(loads, now)
	for pool, load := range pools {
		out.Pools = append(out.Pools, &fleetpb.PoolLoad{
			Pool: pool, Servers: uint32(load.Servers), Requests: uint64(load.Requests), AgeMs: ageMS(load.ComputedAt, now.Add(time.Millisecond-1)),
		})
	}
	return out
}

// FromPoolLoads returns the sums of a message received at now, by pool.
func FromPoolLoads(message *fleetpb.Loads, now time.Time) map[string]PoolLoad {
	out := make(map[string]PoolLoad, len(message.GetPools()))
	for _, load := range message.GetPools() {
		if load.GetServers() == 0 {
			continue
		}
		out[load.GetPool()] = PoolLoad{
			Servers: int(load.GetServers()), Requests: int(min(load.GetRequests(), 1<<40)), ComputedAt: timeOf(load.GetAgeMs(), now),
		}
	}
	return out
}
