package configfaults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// changeInterval is the time between two changes through one replica while disks are full.
	changeInterval = 5 * time.Millisecond
	// fullDuration is how long each disk is full.
	fullDuration = 3 * time.Second
	// spareBytes is the space for records on a disk that is full for larger files.
	spareBytes = 4096
	// ackTimeout is the time within which a change must be acknowledged.
	ackTimeout = 4 * time.Second
)

// TestChangesContinueAfterDisksWereFullInTurn guards against a control group that refuses changes, or
// leaves them unanswered, after the disks of its replicas were full one after another.
func TestChangesContinueAfterDisksWereFullInTurn(t *testing.T) {
	for _, controls := range []int{3, 5, 6} {
		t.Run(fmt.Sprint(controls, " replicas"), func(t *testing.T) {
			t.Parallel()
			g := deployControls(t, controls, 1)
			var written atomic.Int64
			stop := g.writeContinuously(&written)
			for i, name := range g.controls {
				// Every second disk still takes a few records, but no snapshot.
				g.fillDisk(name, uint64(i%2*spareBytes))
				time.Sleep(fullDuration)
				g.Expect(g.cluster.Daemons[name].UnlimitFileSize()).To(Succeed())
			}
			stop()
			g.expectChangesOnAllReplicas()
			t.Logf("%d changes were acknowledged while disks were full", written.Load())
		})
	}
}

// fillDisk makes a replica's disk refuse all writes after a number of bytes of its log.
func (g *group) fillDisk(name string, spare uint64) {
	g.t.Helper()
	limit := uint64(0)
	if spare > 0 {
		info, err := os.Stat(filepath.Join(g.cluster.Daemons[name].Settings.DataDir, "control", "log"))
		g.Expect(err).NotTo(HaveOccurred())
		limit = uint64(info.Size()) + spare
	}
	g.Expect(g.cluster.Daemons[name].LimitFileSize(limit)).To(Succeed())
}

// writeContinuously proposes changes through each replica until stop is called, and counts those that
// are acknowledged.
func (g *group) writeContinuously(written *atomic.Int64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var writers sync.WaitGroup
	for _, name := range g.controls {
		client := g.client(name)
		writers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				resource := poolResource(fmt.Sprint(name, "-", i), 2)
				if _, err := client.Put(ctx, resource.Names.Refs()[0], resource, ""); err == nil {
					written.Add(1)
				}
				time.Sleep(changeInterval)
			}
		})
	}
	return func() { cancel(); writers.Wait() }
}

// expectChangesOnAllReplicas checks that a change through each replica is acknowledged within ackTimeout, that
// all replicas then have the same revision, and that no process has ended.
func (g *group) expectChangesOnAllReplicas() {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	for i, name := range g.controls {
		resource := poolResource(fmt.Sprint("last-", i), 2)
		_, err := g.client(name).Put(ctx, resource.Names.Refs()[0], resource, "")
		g.Expect(err).NotTo(HaveOccurred(), name)
	}
	g.Eventually(g.revisions, ackTimeout).Should(HaveLen(1))
	for _, name := range g.controls {
		g.Expect(g.cluster.Daemons[name].Signal(0)).To(Succeed(), name)
	}
}

// revisions returns the different revisions of the replicas.
func (g *group) revisions() (map[uint64]bool, error) {
	out := map[uint64]bool{}
	for _, name := range g.controls {
		status, err := g.status(name)
		if err != nil {
			return nil, err
		}
		out[status.Revision] = true
	}
	return out, nil
}
