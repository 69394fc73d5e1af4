package rpc

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// expiredContext has a deadline in the past but is not canceled: its timer has not fired
// yet, as happens on a host whose only processor is busy.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestDialStopsAtDeadlineBeforeTimerFires guards against a retry loop that spins after the
// deadline until the context is canceled.
func TestDialStopsAtDeadlineBeforeTimerFires(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	start := time.Now()
	_, err := dialWithRetry(expiredContext{ctx}, "127.0.0.1:9")
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
}
