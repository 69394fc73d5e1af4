package registry_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
)

// TestDigestIsThatOfEarlierVersions guards against processes of two versions that send each other all records
// with each exchange.
func TestDigestIsThatOfEarlierVersions(t *testing.T) {
	g := NewWithT(t)
	earlier := func(e *registry.Entry) uint32 {
		return uint32(xxhash.Sum64String(fmt.Sprint(e.ID, "|", e.StartedMS, "|", e.State, "|", e.Silent, "|", e.Pool, "|", e.Address, "|",
			e.Domain, "|", e.Version, "|", e.Slots, "|", e.Models)))
	}
	for _, e := range []registry.Entry{
		{},
		{Server: registry.Server{ID: "i-1", StartedMS: 1765150000123, Pool: "pool-a", Address: "10.0.0.1:80", Domain: "zone-1", Version: "v1", Slots: 12, State: registry.StateReady}},
		{Server: registry.Server{ID: "é|%", StartedMS: math.MinInt64, Slots: -1, State: registry.StateGone, Models: []registry.Model{}}, Silent: true},
		{Server: registry.Server{ID: "i-2", StartedMS: math.MaxInt64, State: 255, Models: []registry.Model{{Name: "m", Version: 1}}}},
		{Server: registry.Server{ID: "i-3", Models: []registry.Model{{Name: "m 1", Version: -7}, {}, {Name: "", Version: math.MaxInt64}}}},
	} {
		g.Expect(e.Digest()).To(Equal(earlier(&e)), "%+v", e)
	}
}

// TestDigestOfRecordsIsCheap guards against routers that spend their time on the digests of 3,000 servers with
// each subscription, and give it up for that.
func TestDigestOfRecordsIsCheap(t *testing.T) {
	e := registry.Entry{Server: registry.Server{ID: "i-0000000001", Pool: "pool-a", Address: "10.0.0.1:8080", Models: []registry.Model{{Name: "m", Version: 1}}}}
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { e.Digest() })).To(BeZero())
}
