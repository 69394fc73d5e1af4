package fleetsync

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// bucketCount is the number of buckets of records in a subscription, which take 2 KB.
	bucketCount = 512
	// maxListedRecords is the number of records up to which a router lists each in a subscription. At
	// 3,000 servers a list takes 36 KB, also if the subscription is redirected: 50 routers that look for
	// a source at the same time would fill the link of a control replica for some seconds, longer than
	// they wait for an answer.
	maxListedRecords = 1200
)

// BucketOf returns the bucket of a server's record.
func BucketOf(id string) uint32 { return uint32(registry.HashID(id) % bucketCount) }

// bucketDigests returns a digest of the records in each bucket, without those of servers that are gone,
// which a source may keep for longer than a router.
func bucketDigests(entries []registry.Entry) []uint32 {
	out := make([]uint32, bucketCount)
	for i := range entries {
		if entries[i].State == registry.StateGone {
			continue
		}
		id := registry.HashID(entries[i].ID)
		out[id%bucketCount] ^= uint32((id ^ uint64(entries[i].Digest())) * 0x9e3779b97f4a7c15 >> 32)
	}
	return out
}

// KnownRecords is what a subscription says of the records that a router has, so that the source sends
// only the rest. It is immutable.
type KnownRecords struct {
	list    *fleetpb.KnownServers
	buckets []uint32
}

// NewKnownRecords returns the known records of a router with the given entries.
func NewKnownRecords(entries []registry.Entry) *KnownRecords {
	if len(entries) > maxListedRecords {
		return &KnownRecords{buckets: bucketDigests(entries)}
	}
	return &KnownRecords{list: ToKnownServers(entries)}
}

// AddTo adds the known records to a subscription.
func (k *KnownRecords) AddTo(request *fleetpb.FollowRequest) {
	request.Known, request.BucketDigests = k.list, k.buckets
}

// differingRecords returns the records in the buckets that differ from a router's, and those buckets. It
// also returns the records that are warming up at now, because the end of a warm-up is not part of a
// digest. The caller holds mu.
func (p *publisher) differingRecords(digests []uint32, now time.Time) (entries []registry.Entry, differing []uint32) {
	if p.bucketDigests == nil || p.bucketRevision != p.table.Revision() {
		p.bucketDigests, p.bucketRevision = bucketDigests(p.table.Since(0)), p.table.Revision()
	}
	var differs [bucketCount]bool
	for i, digest := range p.bucketDigests {
		if digest != digests[i] {
			differs[i] = true
			differing = append(differing, uint32(i))
		}
	}
	entries = p.table.Select(func(e *registry.Entry) bool {
		isWarming := e.State != registry.StateGone && e.WarmupUntil.After(now)
		return isWarming || differs[BucketOf(e.ID)]
	})
	return entries, differing
}
