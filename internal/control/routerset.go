package control

import (
	"encoding/binary"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// routerSet holds the revisions of the routers that one replica hears itself.
type routerSet map[string]uint64

// digest hashes the set.
func (s routerSet) digest() uint64 {
	hash := xxhash.New()
	for _, instance := range sortedKeys(s) {
		_, _ = hash.WriteString(instance)
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte{0}, s[instance]))
	}
	return hash.Sum64()
}

// shareRequest returns what a replica that was told of one set has to hear of
// the routers heard now, and their set. Routers that reported within prompt and
// apply what was told of them are covered by the set's digest and age.
func shareRequest(now time.Time, heard map[string]report, told routerSet, prompt time.Duration) (*configpb.ShareRequest, routerSet) {
	request := &configpb.ShareRequest{Whole: told == nil}
	set := make(routerSet, len(heard))
	for instance, r := range heard {
		set[instance] = r.revision
		age := max(now.Sub(r.at), 0)
		if revision, ok := told[instance]; ok && revision == r.revision && age <= prompt {
			request.AgeMs = max(request.AgeMs, uint32(age.Milliseconds()))
			continue
		}
		request.Reports = append(request.Reports, &configpb.RouterReport{
			Instance: instance, Revision: r.revision, AgeMs: uint32(age.Milliseconds()),
		})
	}
	for instance := range told {
		if _, ok := set[instance]; !ok {
			request.Gone = append(request.Gone, instance)
		}
	}
	request.Digest = set.digest()
	return request, set
}

// heardBy holds the sets of routers that the other replicas hear. It is safe for
// concurrent use.
type heardBy struct {
	mu   sync.Mutex
	sets map[string]routerSet
}

func newHeardBy() *heardBy { return &heardBy{sets: make(map[string]routerSet)} }

// take notes in the leases what another replica heard, and reports whether the
// set of that replica is known. Of an unknown set only the reports count.
func (h *heardBy) take(now time.Time, request *configpb.ShareRequest, l *leases) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	set := h.sets[request.GetFrom()]
	if request.GetWhole() || set == nil {
		set = make(routerSet)
		h.sets[request.GetFrom()] = set
	}
	for _, instance := range request.GetGone() {
		delete(set, instance)
	}
	prompt := maps.Clone(set)
	for _, r := range request.GetReports() {
		set[r.GetInstance()] = r.GetRevision()
		delete(prompt, r.GetInstance())
		l.record(r.GetInstance(), r.GetRevision(), now.Add(-milliseconds(r.GetAgeMs())))
	}
	if set.digest() != request.GetDigest() {
		return false
	}
	for instance, revision := range prompt {
		l.record(instance, revision, now.Add(-milliseconds(request.GetAgeMs())))
	}
	return true
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
