package routetable_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/routetable"
)

// declared returns a source with n routes. The changed routes have another limit.
func declared(generation, n int, changed map[int]bool) []byte {
	var routes []string
	for i := range n {
		limit := 1000
		if changed[i] {
			limit = 2000 + generation
		}
		routes = append(routes, fmt.Sprintf(`{"name":"route-%08x","host":"h%d.example","prefix":"/p%06x/","limit":%d,"targets":[{"pool":"a"}]}`,
			i*7919, i%7, i*104729, limit))
	}
	return []byte(fmt.Sprintf(`{"generation":%d,"routes":[%s]}`, generation, strings.Join(routes, ",")))
}

func document(g *WithT, generation int, source []byte) *routetable.Document {
	d, err := routetable.NewDocument(uint64(generation), source)
	g.Expect(err).NotTo(HaveOccurred())
	return d
}

// TestDeltaOfOneRouteIsSmall guards against deltas that resend most of the table: the
// delta of one route of 250 takes less than 300 bytes.
func TestDeltaOfOneRouteIsSmall(t *testing.T) {
	g := NewWithT(t)
	base, next := declared(1, 250, nil), declared(2, 250, map[int]bool{100: true})
	delta, err := routetable.NewDelta(document(g, 1, base), document(g, 2, next))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(delta.Edits)).To(BeNumerically("<", 300))
	got, err := delta.Apply(base)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(string(next)))
}

// TestDeltaRestoresDeclaredBytes checks that a delta reproduces the next source byte for
// byte, also if that is not JSON or the base is empty.
func TestDeltaRestoresDeclaredBytes(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		base := declared(1, random.IntN(40), map[int]bool{random.IntN(40): true})
		next := declared(round+2, random.IntN(40), map[int]bool{random.IntN(40): true, random.IntN(40): true})
		if round%10 == 0 {
			next = []byte("no object at all")
		}
		if round%10 == 1 {
			base = nil
		}
		delta, err := routetable.NewDelta(document(g, 1, base), document(g, round+2, next))
		g.Expect(err).NotTo(HaveOccurred())
		got, err := delta.Apply(base)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(string(next)))
	}
}

// TestDeltaWithWrongBaseOrCorruptEditsIsRejected guards against a route table that
// differs from the declared one: a delta for another base fails, and a delta with a
// flipped bit fails or still yields the declared source.
func TestDeltaWithWrongBaseOrCorruptEditsIsRejected(t *testing.T) {
	g := NewWithT(t)
	base, next := declared(1, 50, nil), declared(2, 50, map[int]bool{3: true})
	delta, err := routetable.NewDelta(document(g, 1, base), document(g, 2, next))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = delta.Apply(declared(1, 49, map[int]bool{9: true}))
	g.Expect(err).To(HaveOccurred())
	_, err = delta.Apply(nil)
	g.Expect(err).To(HaveOccurred())
	for i := range delta.Edits {
		corrupt := *delta
		corrupt.Edits = append([]byte(nil), delta.Edits...)
		corrupt.Edits[i] ^= 0x10
		if got, err := corrupt.Apply(base); err == nil {
			g.Expect(string(got)).To(Equal(string(next)))
		}
	}
}
