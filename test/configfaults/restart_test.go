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

// TestEveryProcessRestartsAfterManyChanges kills all processes at once.
func TestEveryProcessRestartsAfterManyChanges(t *testing.T) {
	t.Parallel()
	g := deploy(t, 2)
	client := g.client(g.controls...)
	begun := time.Now()
	g.change(client, *changesFlag)
	g.waitInForce(client, "pool-0")
	t.Logf("%d changes in %s", *changesFlag, time.Since(begun).Round(time.Millisecond))
	before := g.list(client)

	all := append(append([]string{}, g.controls...), g.routers...)
	for _, name := range all {
		g.Expect(g.bed.Daemons[name].Kill()).To(Succeed())
	}
	begun = time.Now()
	for _, name := range all {
		g.Expect(g.bed.Daemons[name].Start()).To(Succeed())
	}
	g.ready(all...)
	t.Logf("all processes ready after %s", time.Since(begun).Round(time.Millisecond))

	for _, name := range g.controls {
		g.Expect(g.list(g.client(name))).To(Equal(before))
		status, err := g.status(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.SnapshotIndex).To(BeNumerically(">", 0), "no snapshot was used")
		t.Logf("%s: snapshot at %d of %d, %d bytes on disk", name, status.SnapshotIndex, status.Applied, g.diskBytes(name))
	}
	resent := g.put(client, pool("pool-0", 2), "change-0")
	g.Expect(resent.ResourceVersion).To(BeNumerically("<=", before.Revision), "a resend was applied again after the restart")
	g.waitInForce(client, "pool-0")
}

// change makes count changes to ten pools, one worker a pool.
func (g *group) change(client *api.Client, count int) {
	const pools = 10
	var workers sync.WaitGroup
	for worker := range pools {
		workers.Go(func() {
			var version uint64
			for i := worker; i < count; i += pools {
				next := pool(fmt.Sprint("pool-", worker), float64(2+i))
				next.ResourceVersion = version
				version = g.put(client, next, fmt.Sprint("change-", i)).ResourceVersion
			}
		})
	}
	workers.Wait()
}

func (g *group) diskBytes(name string) int64 {
	var total int64
	err := filepath.WalkDir(g.bed.Daemons[name].Settings.DataDir, func(_ string, entry fs.DirEntry, err error) error {
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
