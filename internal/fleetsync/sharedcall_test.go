package fleetsync

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// TestConcurrentCallersShareReadBarrier guards against one read barrier per router when 80
// routers subscribe together after an election.
func TestConcurrentCallersShareReadBarrier(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	shared := newSharedCall(func(context.Context) error {
		calls.Add(1)
		time.Sleep(50 * time.Millisecond)
		return nil
	})
	var wait sync.WaitGroup
	for range 80 {
		wait.Go(func() { g.Expect(shared.do(context.Background())).To(Succeed()) })
	}
	wait.Wait()
	g.Expect(calls.Load()).To(BeNumerically("<=", 3))
}

// TestSharedCallStartsAfterRequest guards against stale results: an execution that is already
// running when the caller arrives may have read older state than the caller needs.
func TestSharedCallStartsAfterRequest(t *testing.T) {
	g := NewWithT(t)
	var started atomic.Int64
	release := make(chan struct{})
	shared := newSharedCall(func(context.Context) error {
		started.Add(1)
		<-release
		return errors.New("no quorum")
	})
	first := make(chan error, 1)
	go func() { first <- shared.do(context.Background()) }()
	g.Eventually(started.Load).Should(Equal(int64(1)))
	second := make(chan error, 1)
	go func() { second <- shared.do(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	release <- struct{}{}
	g.Eventually(first).Should(Receive(HaveOccurred()))
	g.Eventually(started.Load).Should(Equal(int64(2)))
	g.Expect(second).NotTo(Receive())
	release <- struct{}{}
	g.Eventually(second).Should(Receive(HaveOccurred()))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	g.Expect(shared.do(ctx)).To(MatchError(context.DeadlineExceeded))
	close(release)
}
