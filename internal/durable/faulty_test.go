package durable

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
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
