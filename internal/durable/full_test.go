package durable

import (
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// limitFileSize limits the size of the files that the process writes, which simulates a
// full disk. It returns a function that removes the limit.
func limitFileSize(g *WithT, size uint64) (removeLimit func()) {
	signal.Ignore(syscall.SIGXFSZ)
	var before syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: before.Max})).To(Succeed())
	return func() { g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed()) }
}

// TestAppendOnFullDiskLeavesLogUnchanged guards against a partial record, left by a failed
// append, that damages the log when a later append succeeds.
func TestAppendOnFullDiskLeavesLogUnchanged(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "log")
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("first"))).To(Succeed())
	// Only the first 10 bytes of the record fit.
	removeLimit := limitFileSize(g, uint64(log.Size())+10)
	err = log.Append([]byte(strings.Repeat("x", 100)))
	removeLimit()
	g.Expect(errors.Is(err, ErrNotWritten)).To(BeTrue(), "%v", err)
	g.Expect(log.Append([]byte("second"))).To(Succeed())
	g.Expect(log.Close()).To(Succeed())
	_, records, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(Equal([][]byte{[]byte("first"), []byte("second")}))
}
