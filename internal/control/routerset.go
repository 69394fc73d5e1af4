package control

import (
	"encoding/binary"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// routerSet maps the routers that report to one replica to their applied revisions.
type routerSet map[string]uint64

// digest returns a hash of the set that does not depend on the order of the routers.
func (s routerSet) digest() uint64 {
	hash := xxhash.New()
	for _, instance := range sortedKeys(s) {
		_, _ = hash.WriteString(instance)
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte{0}, s[instance]))
	}
	return hash.Sum64()
}

// newShareRequest returns the request that updates a peer from the set acked to the routers
// in reports, and the set of these routers. A nil acked sends the whole set. The request
// does not list routers that have reported within recentAge and whose revision is in acked;
// the digest of the set and the maximum age of their reports cover them.
func newShareRequest(now time.Time, reports map[string]routerReport, acked routerSet, recentAge time.Duration) (*configpb.ShareRequest, routerSet) {
	request := &configpb.ShareRequest{Whole: acked == nil}
	current := make(routerSet, len(reports))
	for instance, r := range reports {
		current[instance] = r.revision
		age := max(now.Sub(r.at), 0)
		if revision, ok := acked[instance]; ok && revision == r.revision && age <= recentAge {
			request.AgeMs = max(request.AgeMs, uint32(age.Milliseconds()))
			continue
		}
		request.Reports = append(request.Reports, &configpb.RouterReport{
			Instance: instance, Revision: r.revision, AgeMs: uint32(age.Milliseconds()),
		})
	}
	for instance := range acked {
		if _, ok := current[instance]; !ok {
			request.Gone = append(request.Gone, instance)
		}
	}
	request.Digest = current.digest()
	return request, current
}

// peerRouterSets holds, by replica, the set of routers that report to it. It is safe for
// concurrent use.
type peerRouterSets struct {
	mu   sync.Mutex
	sets map[string]routerSet
}

func newPeerRouterSets() *peerRouterSets { return &peerRouterSets{sets: make(map[string]routerSet)} }

// update applies another replica's request to its set and records the reports in the leases.
// It returns whether the set now has the digest of the request. If not, only the reports
// listed in the request are recorded.
func (p *peerRouterSets) update(now time.Time, request *configpb.ShareRequest, l *leases) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.sets[request.GetFrom()]
	if request.GetWhole() || set == nil {
		set = make(routerSet)
		p.sets[request.GetFrom()] = set
	}
	for _, instance := range request.GetGone() {
		delete(set, instance)
	}
	unlisted := maps.Clone(set)
	for _, r := range request.GetReports() {
		set[r.GetInstance()] = r.GetRevision()
		delete(unlisted, r.GetInstance())
		l.recordForwarded(r.GetInstance(), r.GetRevision(), now.Add(-milliseconds(r.GetAgeMs())))
	}
	if set.digest() != request.GetDigest() {
		return false
	}
	for instance, revision := range unlisted {
		l.recordForwarded(instance, revision, now.Add(-milliseconds(request.GetAgeMs())))
	}
	return true
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
