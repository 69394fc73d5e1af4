package configwatch

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
)

// TestCacheLacksNoChangeAfterFullDisk guards against a router that starts with a revision some of whose
// changes its full disk has refused: control sends only the changes after that revision.
func TestCacheLacksNoChangeAfterFullDisk(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "catalog")
	c, current, err := openCache(path)
	g.Expect(err).NotTo(HaveOccurred())
	save := func(revision uint64) error {
		changes := []*api.Resource{newCustomer(int(revision), revision)}
		current = current.Apply(revision, false, changes)
		return c.save(current, false, changes)
	}
	g.Expect(save(1)).To(Succeed())
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	signal.Ignore(syscall.SIGXFSZ)
	var before syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: uint64(info.Size()) + 10, Max: before.Max})).To(Succeed())
	refused := save(2)
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	g.Expect(refused).To(HaveOccurred())
	g.Expect(save(3)).To(Succeed())
	var cached *catalog.Catalog
	_, cached, err = openCache(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cached.Revision()).To(BeNumerically("==", 3))
	g.Expect(cached.Len()).To(Equal(3))
}
