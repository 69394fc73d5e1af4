// Package prefill separates the long prompts of a pool from its short ones. A server prefills
// prompts in the order of arrival, so a short prompt waits for all long ones before it. Each
// class of prompts prefers a part of the servers instead, which every router computes from the
// sizes of its own prompts. It does no I/O and reads no clock.
package prefill

import (
	"cmp"
	"slices"
)

// Class is the class of a prompt.
type Class uint8

// Classes of prompts.
const (
	// ClassNone means that the pool's prompts are not separated.
	ClassNone Class = iota
	ClassShort
	ClassLong
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	switch c {
	case ClassNone:
		return "none"
	case ClassShort:
		return "short"
	case ClassLong:
		return "long"
	}
	return "invalid"
}

const (
	// lengthFactor is the ratio of a long prompt's tokens to the lower quartile of all.
	lengthFactor = 4
	// windowPrompts is the number of latest prompts whose sizes count, and minPrompts the number
	// from which on prompts are separated: 10 s of a router with 6 prompts/s.
	windowPrompts = 512
	minPrompts    = 64
	// updateInterval is the number of prompts between two evaluations.
	updateInterval = 32
	// Separation starts when startShare of the prompts are long, and ends below endShare.
	startShare = 0.02
	endShare   = 0.005
	// boundaryTolerance is the ratio by which the lower quartile has to change before the
	// boundary follows, because prompts whose class changes are prefilled on another server.
	boundaryTolerance = 1.5
	// stepTolerance is how much nearer another step has to be before it is used.
	stepTolerance = 0.04
	// MinServers is the size of a pool from which on its servers are divided.
	MinServers = 8
)

// steps are the shares of the servers that short prompts may prefer; the one nearest to their share
// of all tokens is used. Half of the servers keeps the number of requests per server about even:
// with 0.25, twice as many requests met a server above the limit of the users' platform (decision
// 615). Steps are far apart so that routers that saw different prompts arrive at the same one.
var steps = []float64{0.5, 0.875}

// Balance learns from the sizes of a router's prompts which of them are long and which share of
// the servers short ones prefer. The zero value is ready for use. It is not safe for concurrent
// use.
type Balance struct {
	sizes    [windowPrompts]int
	recorded int
	// boundary is the size from which a prompt is long; 0 if prompts are not separated.
	boundary   int
	shortShare float64
}

// Record records the tokens of a prompt.
func (b *Balance) Record(tokens int) {
	if tokens <= 0 {
		return
	}
	b.sizes[b.recorded%windowPrompts] = tokens
	b.recorded++
	if b.recorded >= minPrompts && b.recorded%updateInterval == 0 {
		b.update()
	}
}

// update evaluates the latest prompts.
func (b *Balance) update() {
	sizes := slices.Sorted(slices.Values(b.sizes[:min(b.recorded, windowPrompts)]))
	boundary := lengthFactor * sizes[len(sizes)/4]
	if old := float64(b.boundary); float64(boundary) < old*boundaryTolerance && float64(boundary)*boundaryTolerance > old {
		boundary = b.boundary
	}
	firstLong, _ := slices.BinarySearch(sizes, boundary)
	minShare := startShare
	if b.boundary > 0 {
		minShare = endShare
	}
	if float64(len(sizes)-firstLong) < minShare*float64(len(sizes)) || firstLong == len(sizes) {
		b.boundary, b.shortShare = 0, 0
		return
	}
	short, total := sum(sizes[:firstLong]), sum(sizes)
	b.boundary = boundary
	b.shortShare = nearestStep(short/total, b.shortShare)
}

func sum(sizes []int) (total float64) {
	for _, size := range sizes {
		total += float64(size)
	}
	return total
}

// nearestStep returns the step that is nearest to the share, or the present one if it is almost
// as near.
func nearestStep(share, present float64) float64 {
	distance := func(step float64) float64 { return max(step-share, share-step) }
	nearest := slices.MinFunc(steps, func(a, b float64) int { return cmp.Compare(distance(a), distance(b)) })
	if present > 0 && distance(present) < distance(nearest)+stepTolerance {
		return present
	}
	return nearest
}

// ClassOf returns the class of a prompt with this number of tokens in a pool of n servers.
func (b *Balance) ClassOf(tokens, n int) Class {
	switch {
	case b.boundary == 0 || n < MinServers:
		return ClassNone
	case tokens >= b.boundary:
		return ClassLong
	}
	return ClassShort
}

// ShortServers returns how many of n servers short prompts prefer, 0 if prompts are not separated.
func (b *Balance) ShortServers(n int) int {
	if b.boundary == 0 || n < MinServers {
		return 0
	}
	return max(1, int(b.shortShare*float64(n)+0.5))
}

// Boundary returns the number of tokens from which a prompt is long, 0 if prompts are not
// separated.
func (b *Balance) Boundary() int { return b.boundary }
