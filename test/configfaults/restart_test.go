package configfaults

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// TestChangesSurviveWhenEveryProcessRestarts kills all processes after many changes. After the restart
// the pools must be unchanged, loaded from a snapshot, and a resent request must not apply again.
func TestChangesSurviveWhenEveryProcessRestarts(t *testing.T) {
	t.Parallel()
	g := deploy(t, 2)
	client := g.client(g.controls...)
	start := time.Now()
	g.writeChanges(client, *changesFlag)
	g.waitInForce(client, "pool-0")
	t.Logf("%d changes in %s", *changesFlag, time.Since(start).Round(time.Millisecond))
	before := g.listPools(client)

	daemons := append(append([]string{}, g.controls...), g.routers...)
	for _, name := range daemons {
		g.Expect(g.cluster.Daemons[name].Kill()).To(Succeed())
	}
	start = time.Now()
	for _, name := range daemons {
		g.Expect(g.cluster.Daemons[name].Start()).To(Succeed())
	}
	g.awaitReady(daemons...)
	t.Logf("all processes ready after %s", time.Since(start).Round(time.Millisecond))

	for _, name := range g.controls {
		g.Expect(g.listPools(g.client(name))).To(Equal(before))
		status, err := g.status(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.SnapshotIndex).To(BeNumerically(">", 0), "no snapshot was used")
		t.Logf("%s: snapshot at %d of %d, %d bytes on disk", name, status.SnapshotIndex, status.Applied, g.diskBytes(name))
	}
	resent := g.putPool(client, poolResource("pool-0", 2), "change-0")
	g.Expect(resent.ResourceVersion).To(BeNumerically("<=", before.Revision), "a resent request was applied again after the restart")
	g.waitInForce(client, "pool-0")
}

// writeChanges makes count changes to ten pools, with one writer for each pool.
func (g *group) writeChanges(client *api.Client, count int) {
	const pools = 10
	var writers sync.WaitGroup
	for writer := range pools {
		writers.Go(func() {
			var version uint64
			for i := writer; i < count; i += pools {
				next := poolResource(fmt.Sprint("pool-", writer), float64(2+i))
				next.ResourceVersion = version
				version = g.putPool(client, next, fmt.Sprint("change-", i)).ResourceVersion
			}
		})
	}
	writers.Wait()
}

// diskBytes returns the size of all files in a daemon's data directory.
func (g *group) diskBytes(name string) int64 {
	var total int64
	err := filepath.WalkDir(g.cluster.Daemons[name].Settings.DataDir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		total += info.Size()
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
	return total
}
