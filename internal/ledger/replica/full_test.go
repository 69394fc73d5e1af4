package replica

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// limitFileSize limits the size of the files that the process writes, which simulates a full disk.
// It returns a function that removes the limit.
func limitFileSize(g Gomega, size uint64) (removeLimit func()) {
	signal.Ignore(syscall.SIGXFSZ)
	var before syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: before.Max})).To(Succeed())
	return func() { g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed()) }
}

// TestReplicaOutlastsFullDisk guards against a replica that ends, or rejects updates for good, because
// its disk was full for a moment.
func TestReplicaOutlastsFullDisk(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	r := openReplica(g, dir)
	stop := startReplica(g, r)
	g.Expect(r.Update(context.Background(), formGroup)).To(Succeed())
	segment, err := os.Stat(filepath.Join(dir, "0000000000000001.log"))
	g.Expect(err).NotTo(HaveOccurred())
	removeLimit := limitFileSize(g, uint64(segment.Size())+10)
	short, cancel := context.WithTimeout(context.Background(), 2*writeRetryDelay)
	defer cancel()
	inTime := r.Update(short, claimKey(1))
	refused := r.Update(context.Background(), claimKey(2))
	removeLimit()
	g.Expect(inTime).To(HaveOccurred())
	g.Expect(refused).To(HaveOccurred(), "an update that cannot be written is refused at once")
	g.Eventually(func() error { return r.Update(context.Background(), claimKey(3)) }, 4*time.Second).Should(Succeed())
	stop()
	_, records := openReplica(g, dir).Meta()
	g.Expect(records).To(Equal(2), "the first and the last claim")
}

// TestReplicaOutlastsRefusedSnapshot guards against a replica that ends because its disk refuses a
// snapshot.
func TestReplicaOutlastsRefusedSnapshot(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	r := openReplica(g, dir)
	stop := startReplica(g, r)
	g.Expect(r.Update(context.Background(), formGroup)).To(Succeed())
	obstacle := filepath.Join(dir, "0000000000000002.snapshot.tmp")
	g.Expect(os.MkdirAll(filepath.Join(obstacle, "obstacle"), 0o755)).To(Succeed())
	const claims = 400
	for i := range claims {
		g.Expect(r.Update(context.Background(), claimKey(i))).To(Succeed())
		if i == claims/2 {
			g.Expect(os.RemoveAll(obstacle)).To(Succeed())
		}
	}
	stop()
	snapshots, err := filepath.Glob(filepath.Join(dir, "*.snapshot"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshots).To(HaveLen(1))
	_, records := openReplica(g, dir).Meta()
	g.Expect(records).To(Equal(claims))
}
