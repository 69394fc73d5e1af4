package durable

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// faultyDisk makes the operations of the package fail that are set, and records the paths
// that are synced. A failed write writes half of its bytes.
type faultyDisk struct {
	failsWrite, failsTruncate, failsSync, failsDirectorySync bool

	synced []string
}

// useFaultyDisk replaces openFile until the test ends.
func useFaultyDisk(t *testing.T) *faultyDisk {
	disk := &faultyDisk{}
	open := openFile
	openFile = func(path string, flag int) (file, error) {
		opened, err := open(path, flag)
		if err != nil {
			return nil, err
		}
		info, err := os.Stat(path)
		return &faultyFile{file: opened, disk: disk, path: path, isDirectory: info.IsDir()}, err
	}
	t.Cleanup(func() { openFile = open })
	return disk
}

type faultyFile struct {
	file
	disk        *faultyDisk
	path        string
	isDirectory bool
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if !f.disk.failsWrite {
		return f.file.Write(data)
	}
	written, err := f.file.Write(data[:len(data)/2])
	if err == nil {
		err = syscall.ENOSPC
	}
	return written, err
}

func (f *faultyFile) Truncate(size int64) error {
	if f.disk.failsTruncate {
		return syscall.ENOSPC
	}
	return f.file.Truncate(size)
}

func (f *faultyFile) Sync() error {
	if f.disk.failsSync && !f.isDirectory || f.disk.failsDirectorySync && f.isDirectory {
		return syscall.EIO
	}
	f.disk.synced = append(f.disk.synced, f.path)
	return f.file.Sync()
}

// expectRecords checks the records that a restarted process reads.
func expectRecords(g *WithT, path string, expected ...string) {
	_, records, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	found := []string{}
	for _, record := range records {
		found = append(found, string(record))
	}
	g.Expect(found).To(Equal(expected))
}

// TestRecordsOfKilledProcessAreSyncedOnOpen guards against acknowledging a record that a process
// wrote and did not sync before it was killed: a power loss would remove it.
func TestRecordsOfKilledProcessAreSyncedOnOpen(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "log")
	writeLog(g, path, "first")
	killed, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = killed.Write(AppendFrame(nil, []byte("second")))
	g.Expect(err).NotTo(HaveOccurred())
	disk := useFaultyDisk(t)
	expectRecords(g, path, "first", "second")
	g.Expect(disk.synced).To(ContainElements(path, filepath.Dir(path)))
}

// TestAppendWithFailedSyncLeavesLogUnchanged guards against a record that was reported as not
// written and is read after a restart although it may not be durable.
func TestAppendWithFailedSyncLeavesLogUnchanged(t *testing.T) {
	g := NewWithT(t)
	disk := useFaultyDisk(t)
	path := filepath.Join(t.TempDir(), "log")
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("first"))).To(Succeed())
	disk.failsSync = true
	err = log.Append([]byte("second"))
	g.Expect(errors.Is(err, ErrNotWritten)).To(BeTrue(), "%v", err)
	disk.failsSync = false
	g.Expect(log.Append([]byte("third"))).To(Succeed())
	expectRecords(g, path, "first", "third")
}

// TestAppendRepairsLogThatCouldNotBeTruncated guards against a log that stays unusable after a
// full disk has refused to truncate a partial record.
func TestAppendRepairsLogThatCouldNotBeTruncated(t *testing.T) {
	g := NewWithT(t)
	disk := useFaultyDisk(t)
	path := filepath.Join(t.TempDir(), "log")
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("first"))).To(Succeed())
	disk.failsWrite, disk.failsTruncate = true, true
	for range 2 {
		err = log.Append([]byte("second"))
		g.Expect(errors.Is(err, ErrNotWritten)).To(BeTrue(), "%v", err)
	}
	disk.failsWrite, disk.failsTruncate = false, false
	g.Expect(log.Append([]byte("third"))).To(Succeed())
	expectRecords(g, path, "first", "third")
}

// TestAppendAfterReplaceWithFailedDirectorySync guards against records that are appended to the
// replaced file, which no path leads to any more.
func TestAppendAfterReplaceWithFailedDirectorySync(t *testing.T) {
	g := NewWithT(t)
	disk := useFaultyDisk(t)
	path := filepath.Join(t.TempDir(), "log")
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("first"))).To(Succeed())
	disk.failsDirectorySync = true
	g.Expect(errors.Is(log.Replace([]byte("all")), ErrNotWritten)).To(BeTrue())
	g.Expect(errors.Is(log.Append([]byte("refused")), ErrNotWritten)).To(BeTrue())
	disk.failsDirectorySync = false
	g.Expect(log.Append([]byte("more"))).To(Succeed())
	expectRecords(g, path, "all", "more")
}

// TestFailedWriteFileLeavesNoTemporaryFile guards against a partial file that takes up the space of
// a full disk.
func TestFailedWriteFileLeavesNoTemporaryFile(t *testing.T) {
	g := NewWithT(t)
	disk := useFaultyDisk(t)
	path := filepath.Join(t.TempDir(), "file")
	g.Expect(WriteFile(path, []byte("old"))).To(Succeed())
	disk.failsWrite = true
	g.Expect(errors.Is(WriteFile(path, []byte("new content")), ErrNotWritten)).To(BeTrue())
	entries, err := os.ReadDir(filepath.Dir(path))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(1))
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw)).To(Equal("old"))
}
