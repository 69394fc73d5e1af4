package withdrawal_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/withdrawal"
)

// TestParseRetryAfter guards against garbage that counts as no pause, or that takes a server out
// of use for hours.
func TestParseRetryAfter(t *testing.T) {
	g := NewWithT(t)
	for value, want := range map[string]time.Duration{
		"2": 2 * time.Second, " 0.25 ": 250 * time.Millisecond, "0": 0, "1e9": 5 * time.Minute, "+Inf": 5 * time.Minute,
		"-3": time.Second, "NaN": time.Second, "soon": time.Second, "": time.Second, "Sat, 05 Dec 2026 12:00:00 GMT": time.Second,
	} {
		g.Expect(withdrawal.ParseRetryAfter([]string{value})).To(Equal(want), value)
	}
	g.Expect(withdrawal.ParseRetryAfter(nil)).To(BeZero())
	g.Expect(withdrawal.ParseRetryAfter([]string{"1", "4"})).To(Equal(4 * time.Second))
}

// TestBookIsBounded guards against servers that fill a router's memory by restarting and leaving,
// and against a statement that is forgotten while its server is listed.
func TestBookIsBounded(t *testing.T) {
	g := NewWithT(t)
	var book withdrawal.Book[int]
	now := time.Unix(0, 0)
	g.Expect(book.MarkLeaving(-1, now)).To(BeTrue())
	for i := range 10_000 {
		now = now.Add(time.Second)
		g.Expect(book.RecordListed(-1, now)).To(BeTrue())
		book.MarkLeaving(i, now)
	}
	g.Expect(book.Leaving(now.Add(-time.Hour))).To(BeNumerically("<=", 4096))
	g.Expect(book.MarkLeaving(-1, now)).To(BeFalse())
}
