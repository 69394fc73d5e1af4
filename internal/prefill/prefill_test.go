package prefill_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/prefill"
)

func recorded(sizes ...int) *prefill.Balance {
	b := &prefill.Balance{}
	for i := range 640 {
		b.Record(sizes[i%len(sizes)])
	}
	return b
}

// TestAlikePromptsAreNotSeparated guards against a pool that is divided without need: each class
// then uses a part of the prefix caches only.
func TestAlikePromptsAreNotSeparated(t *testing.T) {
	g := NewWithT(t)
	for _, b := range []*prefill.Balance{{}, recorded(1000, 2000, 3900), recorded(12000), recorded(0, -5)} {
		g.Expect(b.ClassOf(12_000, 140)).To(Equal(prefill.ClassNone))
		g.Expect(b.ShortServers(140)).To(BeZero())
	}
	g.Expect(recorded(829, 829, 829, 12000).ClassOf(829, prefill.MinServers-1)).To(Equal(prefill.ClassNone))
}

// TestLongPromptsAreRecognized guards against classes that differ between routers, whose prompts
// would then be prefilled on two servers.
func TestLongPromptsAreRecognized(t *testing.T) {
	g := NewWithT(t)
	for _, b := range []*prefill.Balance{recorded(829, 829, 2401, 11812), recorded(2401, 11812, 829, 829, 2401)} {
		g.Expect(b.ClassOf(829, 140)).To(Equal(prefill.ClassShort))
		g.Expect(b.ClassOf(2401, 140)).To(Equal(prefill.ClassShort))
		g.Expect(b.ClassOf(11812, 140)).To(Equal(prefill.ClassLong))
		g.Expect(b.ShortServers(140)).To(Equal(70))
	}
	mostlyShort := make([]int, 30)
	for i := range mostlyShort {
		mostlyShort[i] = 1000
	}
	mostlyShort[0] = 5000
	g.Expect(recorded(mostlyShort...).ShortServers(140)).To(BeNumerically(">", 100), "half of the servers would be too few for almost all prompts")
}

// TestSeparationEndsWithTheLongPrompts guards against a pool that stays divided after its long
// prompts ended, and against a boundary that moves with small changes.
func TestSeparationEndsWithTheLongPrompts(t *testing.T) {
	g := NewWithT(t)
	b := recorded(1000, 1000, 1000, 12000)
	for range 640 {
		b.Record(1300)
	}
	g.Expect(b.ClassOf(12_000, 140)).To(Equal(prefill.ClassNone))
	b = recorded(1000, 1000, 1000, 12000)
	for i := range 640 {
		b.Record([]int{1300, 1300, 1300, 12000}[i%4])
	}
	g.Expect(b.Boundary()).To(Equal(4000))
}
