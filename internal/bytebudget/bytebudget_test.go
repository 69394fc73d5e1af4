package bytebudget_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/bytebudget"
)

// TestSharesDrawOnTheBudgetTogether guards against a sum of answers that exceeds the budget, and
// against bytes that a released share keeps.
func TestSharesDrawOnTheBudgetTogether(t *testing.T) {
	g := NewWithT(t)
	const limit = 100 << 10
	budget := bytebudget.New(limit)
	first, second := budget.Share(), budget.Share()
	g.Expect(first.Resize(bytebudget.FreeBytes + limit)).To(BeTrue())
	g.Expect(second.Resize(bytebudget.FreeBytes)).To(BeTrue())
	g.Expect(second.Resize(bytebudget.FreeBytes + 1)).To(BeFalse())
	g.Expect(budget.UsedBytes()).To(Equal(int64(limit)))
	first.Release()
	g.Expect(second.Resize(bytebudget.FreeBytes + 1)).To(BeTrue())
	second.Release()
	g.Expect(budget.UsedBytes()).To(BeZero())
}
