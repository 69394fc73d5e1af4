package bytebudget_test

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

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

// TestStrictBudgetLeavesAPartToSmallShares guards against small requests that are refused because large
// ones use up the whole budget.
func TestStrictBudgetLeavesAPartToSmallShares(t *testing.T) {
	g := NewWithT(t)
	const limit = 1 << 20
	budget := bytebudget.NewStrict(limit)
	large, other := budget.Share(), budget.Share()
	g.Expect(large.Resize(limit / 4 * 3)).To(BeTrue())
	g.Expect(other.Resize(bytebudget.FreeBytes + 1)).To(BeFalse())
	g.Expect(budget.UsedBytes()).To(Equal(int64(limit / 4 * 3)))
	for range limit / 4 / bytebudget.FreeBytes {
		g.Expect(budget.Share().Resize(bytebudget.FreeBytes)).To(BeTrue())
	}
	g.Expect(other.Resize(1)).To(BeFalse())
	large.Release()
	g.Expect(other.Resize(1)).To(BeTrue())
}

// TestReadAllHoldsWhatHasArrived guards against bytes that are read and not counted, and against a
// declared length that is counted before it arrives.
func TestReadAllHoldsWhatHasArrived(t *testing.T) {
	g := NewWithT(t)
	const size, limit = 3<<20 + 5, 8 << 20
	text := strings.Repeat("0123456789", size/10+1)[:size]
	for _, declared := range []int64{size, -1} {
		budget := bytebudget.NewStrict(limit)
		share := budget.Share()
		body, err := share.ReadAll(iotest.HalfReader(strings.NewReader(text)), declared)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body) == text).To(BeTrue())
		g.Expect(budget.UsedBytes()).To(And(BeNumerically(">=", size), BeNumerically("<=", 2*size)))
		_, err = budget.Share().ReadAll(strings.NewReader(""), 6<<20)
		g.Expect(err).To(MatchError(bytebudget.ErrExhausted))
		other := budget.Share()
		_, err = other.ReadAll(strings.NewReader(text+text), -1)
		g.Expect(err).To(MatchError(bytebudget.ErrExhausted))
		other.Release()
		share.Release()
		g.Expect(budget.UsedBytes()).To(BeZero())

		_, err = share.ReadAll(iotest.TimeoutReader(strings.NewReader(text)), 6<<20)
		g.Expect(err).To(MatchError(iotest.ErrTimeout))
		g.Expect(budget.UsedBytes()).To(BeNumerically("<=", 64<<10))
	}
}

// TestFailedReadHoldsNothing guards against refused uploads that keep their bytes of the budget while the
// rest of their body is read and discarded.
func TestFailedReadHoldsNothing(t *testing.T) {
	g := NewWithT(t)
	const limit = 1 << 20
	budget := bytebudget.NewStrict(limit)
	share := budget.Share()
	_, err := share.ReadAll(strings.NewReader(strings.Repeat("x", 2*limit)), -1)
	g.Expect(err).To(MatchError(bytebudget.ErrExhausted))
	g.Expect(budget.UsedBytes()).To(BeZero())
	_, err = share.ReadAll(iotest.TimeoutReader(strings.NewReader("x")), 100)
	g.Expect(err).To(MatchError(iotest.ErrTimeout))
	g.Expect(budget.UsedBytes()).To(BeZero())
}

// TestUploadsThatAdvanceTogetherAreNotAllRefused guards against a router that refuses all of many large
// uploads that arrive equally fast, although some of them fit.
func TestUploadsThatAdvanceTogetherAreNotAllRefused(t *testing.T) {
	g := NewWithT(t)
	const uploads, size, chunk, limit = 20, 4 << 20, 16 << 10, 16 << 20
	budget := bytebudget.NewStrict(limit)
	var completed atomic.Int64
	var readers sync.WaitGroup
	senders := make([]*io.PipeWriter, uploads)
	for i := range senders {
		body, sender := io.Pipe()
		senders[i] = sender
		share := budget.Share()
		t.Cleanup(share.Release)
		readers.Go(func() {
			if _, err := share.ReadAll(body, size); err == nil {
				completed.Add(1)
			}
			_ = body.Close()
		})
	}
	text := make([]byte, chunk)
	for range size / chunk {
		for _, sender := range senders {
			// An upload that was refused takes no more bytes.
			_, _ = sender.Write(text)
		}
	}
	for _, sender := range senders {
		g.Expect(sender.Close()).To(Succeed())
	}
	readers.Wait()
	g.Expect(completed.Load()).To(And(BeNumerically(">", 0), BeNumerically("<", limit/size)))
}

// TestResizeFailsOnlyIfItDoesNotFit guards against a share that cannot grow while others try to grow by
// more than is left.
func TestResizeFailsOnlyIfItDoesNotFit(t *testing.T) {
	g := NewWithT(t)
	const limit = 1 << 20
	budget := bytebudget.NewStrict(limit)
	stop := make(chan struct{})
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() {
			share := budget.Share()
			for {
				select {
				case <-stop:
					return
				default:
					share.Resize(limit)
				}
			}
		})
	}
	share, failed := budget.Share(), 0
	for range 100_000 {
		if !share.Resize(limit / 2) {
			failed++
		}
		share.Release()
	}
	close(stop)
	others.Wait()
	g.Expect(failed).To(BeZero())
	g.Expect(budget.UsedBytes()).To(BeZero())
}
