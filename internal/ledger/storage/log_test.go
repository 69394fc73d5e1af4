package storage

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// testEntry returns an entry with a record of the key n.
func testEntry(n byte) ledger.Entry {
	return ledger.Entry{Key: ledger.KeyHash{n}, Record: &ledger.Record{
		Digest: ledger.Digest{n}, Holders: []ledger.AttemptID{{n}}, ChangedAt: int64(n),
	}}
}

// appendEntries opens the log in dir and appends one frame for each of the keys from <= n < to.
func appendEntries(g Gomega, dir string, from, to byte) {
	log, err := Open(dir, func(ledger.Entry) {})
	g.Expect(err).NotTo(HaveOccurred())
	for n := from; n < to; n++ {
		g.Expect(log.Append([]ledger.Entry{testEntry(n)})).To(Succeed())
	}
	g.Expect(log.Close()).To(Succeed())
}

// readRecords opens the log in dir and returns the records that it replays.
func readRecords(dir string) (map[ledger.KeyHash]*ledger.Record, error) {
	records := make(map[ledger.KeyHash]*ledger.Record)
	log, err := Open(dir, func(c ledger.Entry) { records[c.Key] = c.Record })
	if err == nil {
		_ = log.Close()
	}
	return records, err
}

// TestReopenedLogReplaysAllEntries guards against entries that are lost when the
// log is closed, reopened and appended to.
func TestReopenedLogReplaysAllEntries(t *testing.T) {
	g := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "a", "b")
	appendEntries(g, dir, 0, 10)
	appendEntries(g, dir, 10, 20)
	got, err := readRecords(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(20))
	g.Expect(got[ledger.KeyHash{7}]).To(Equal(testEntry(7).Record))
}

// TestTornWriteIsTruncatedAndAppendContinues guards against a log that is unusable
// after a crash during a write: the last of three frames is cut short at a random
// byte, and later appends must follow the valid frames.
func TestTornWriteIsTruncatedAndAppendContinues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, err := os.MkdirTemp(t.TempDir(), "torn")
		g.Expect(err).NotTo(HaveOccurred())
		appendEntries(g, dir, 1, 4)
		path := filepath.Join(dir, fileName(1, segmentSuffix))
		raw, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		frameSize := len(raw) / 3
		tornBytes := rapid.IntRange(1, frameSize-1).Draw(rt, "torn bytes")
		g.Expect(os.Truncate(path, int64(len(raw)-tornBytes))).To(Succeed())
		got, err := readRecords(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(2))
		appendEntries(g, dir, 5, 7)
		got, err = readRecords(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(4))
	})
}

// TestDamagedFrameBeforeLastFailsOpen guards against durable entries that are
// dropped as a torn write: one bit flips in the first two of three frames, and
// Open must fail.
func TestDamagedFrameBeforeLastFailsOpen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, err := os.MkdirTemp(t.TempDir(), "damaged")
		g.Expect(err).NotTo(HaveOccurred())
		appendEntries(g, dir, 1, 4)
		path := filepath.Join(dir, fileName(1, segmentSuffix))
		raw, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		offset := rapid.IntRange(0, len(raw)/3*2-1).Draw(rt, "byte")
		raw[offset] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		g.Expect(os.WriteFile(path, raw, 0o644)).To(Succeed())
		_, err = readRecords(dir)
		expectDamaged(g, err, path)
	})
}

func expectDamaged(g Gomega, err error, path string) {
	g.Expect(err).To(HaveOccurred())
	apiErr := api.AsError(err)
	g.Expect(apiErr.Code).To(Equal(api.CodeDataDamaged))
	g.Expect(apiErr.Field).To(Equal(path))
}

// writeSnapshotAndLog writes a snapshot of the keys 0 to 9 and appends the keys 10
// to 19 to the log after it.
func writeSnapshotAndLog(g Gomega, dir string) {
	log, err := Open(dir, func(ledger.Entry) {})
	g.Expect(err).NotTo(HaveOccurred())
	var snapshot []ledger.Entry
	for n := range byte(10) {
		snapshot = append(snapshot, testEntry(n))
	}
	g.Expect(log.Append(snapshot)).To(Succeed())
	number, err := log.Rotate()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]ledger.Entry{testEntry(10)})).To(Succeed())
	g.Expect(log.WriteSnapshot(number, snapshot)).To(Succeed())
	g.Expect(log.Close()).To(Succeed())
	appendEntries(g, dir, 11, 20)
}

// TestSnapshotReplacesEarlierSegments guards against records that are lost by
// compaction, and against an interrupted snapshot that is loaded after a crash.
func TestSnapshotReplacesEarlierSegments(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	writeSnapshotAndLog(g, dir)
	got, err := readRecords(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(20))
	g.Expect(filepath.Join(dir, fileName(1, segmentSuffix))).NotTo(BeAnExistingFile())
	g.Expect(os.WriteFile(filepath.Join(dir, fileName(9, snapshotSuffix)+temporarySuffix), []byte("x"), 0o644)).To(Succeed())
	got, err = readRecords(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(20), "an interrupted snapshot must be ignored")
}

// TestIncompleteSnapshotOrMissingSegmentFailsOpen guards against a replica that
// starts without some of its durable records: once because the snapshot lacks its
// end frame, once because the segment after the snapshot is missing.
func TestIncompleteSnapshotOrMissingSegmentFailsOpen(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	writeSnapshotAndLog(g, dir)
	snapshot := filepath.Join(dir, fileName(2, snapshotSuffix))
	raw, err := os.ReadFile(snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(snapshot, raw[:len(raw)-len(durable.AppendFrame(nil, nil))], 0o644)).To(Succeed())
	_, err = readRecords(dir)
	expectDamaged(g, err, snapshot)
	g.Expect(os.WriteFile(snapshot, raw, 0o644)).To(Succeed())

	segment := filepath.Join(dir, fileName(2, segmentSuffix))
	g.Expect(os.Remove(segment)).To(Succeed())
	_, err = readRecords(dir)
	expectDamaged(g, err, segment)
}
