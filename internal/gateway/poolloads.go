package gateway

import "peridotwinch.example/peridotwinch/internal/fleetsync"

// recordPoolLoads records the sums of the loads of large pools, by pool.
func (p *pools) recordPoolLoads(sums map[string]fleetsync.PoolLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, sum := range sums {
		found := p.byName[name]
		if found == nil || sum.Servers <= 0 {
			continue
		}
		found.mu.Lock()
		found.servers.RecordMeanLoad(float64(sum.Requests)/float64(sum.Servers), sum.ComputedAt)
		found.mu.Unlock()
	}
}

// ignoredSilence returns the number of servers that control lists as silent and that are used all the same.
func (p *pools) ignoredSilence() (count int) {
	for _, found := range p.list() {
		found.mu.Lock()
		count += found.servers.IgnoredSilence()
		found.mu.Unlock()
	}
	return count
}
