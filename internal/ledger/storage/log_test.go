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

func change(n byte) ledger.Change {
	return ledger.Change{Key: ledger.KeyHash{n}, Record: &ledger.Record{
		Digest: ledger.Digest{n}, Holders: []ledger.AttemptID{{n}}, ChangedAt: int64(n),
	}}
}

// fill writes one frame a change and returns the folder.
func fill(g Gomega, dir string, from, to byte) {
	log, err := Open(dir, func(ledger.Change) {})
	g.Expect(err).NotTo(HaveOccurred())
	for n := from; n < to; n++ {
		g.Expect(log.Append([]ledger.Change{change(n)})).To(Succeed())
	}
	g.Expect(log.Close()).To(Succeed())
}

func read(dir string) (map[ledger.KeyHash]*ledger.Record, error) {
	out := make(map[ledger.KeyHash]*ledger.Record)
	log, err := Open(dir, func(c ledger.Change) { out[c.Key] = c.Record })
	if err == nil {
		_ = log.Close()
	}
	return out, err
}

func TestLogReplays(t *testing.T) {
	g := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "a", "b")
	fill(g, dir, 0, 10)
	fill(g, dir, 10, 20)
	got, err := read(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(20))
	g.Expect(got[ledger.KeyHash{7}]).To(Equal(change(7).Record))
}

func TestTornEndIsCutAndAppendedAfter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, err := os.MkdirTemp(t.TempDir(), "torn")
		g.Expect(err).NotTo(HaveOccurred())
		fill(g, dir, 1, 4)
		path := filepath.Join(dir, fileName(1, logSuffix))
		raw, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		size := len(raw) / 3
		cut := rapid.IntRange(1, size-1).Draw(rt, "cut")
		g.Expect(os.Truncate(path, int64(len(raw)-cut))).To(Succeed())
		got, err := read(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(2))
		fill(g, dir, 5, 7)
		got, err = read(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(4))
	})
}

func TestDamagedEarlierRecordRefusesToStart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, err := os.MkdirTemp(t.TempDir(), "damaged")
		g.Expect(err).NotTo(HaveOccurred())
		fill(g, dir, 1, 4)
		path := filepath.Join(dir, fileName(1, logSuffix))
		raw, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		at := rapid.IntRange(0, len(raw)/3*2-1).Draw(rt, "byte")
		raw[at] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		g.Expect(os.WriteFile(path, raw, 0o644)).To(Succeed())
		_, err = read(dir)
		expectDamaged(g, err, path)
	})
}

func expectDamaged(g Gomega, err error, path string) {
	g.Expect(err).To(HaveOccurred())
	numbered := api.AsError(err)
	g.Expect(numbered.Code).To(Equal(api.CodeDataDamaged))
	g.Expect(numbered.Field).To(Equal(path))
}

// compact writes a snapshot of records 0 to 9 and logs 10 to 19 after it.
func compact(g Gomega, dir string) {
	log, err := Open(dir, func(ledger.Change) {})
	g.Expect(err).NotTo(HaveOccurred())
	var all []ledger.Change
	for n := range byte(10) {
		all = append(all, change(n))
	}
	g.Expect(log.Append(all)).To(Succeed())
	number, err := log.Rotate()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]ledger.Change{change(10)})).To(Succeed())
	g.Expect(log.WriteSnapshot(number, all)).To(Succeed())
	g.Expect(log.Close()).To(Succeed())
	fill(g, dir, 11, 20)
}

func TestSnapshotReplacesEarlierFiles(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	compact(g, dir)
	got, err := read(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(20))
	g.Expect(filepath.Join(dir, fileName(1, logSuffix))).NotTo(BeAnExistingFile())
	g.Expect(os.WriteFile(filepath.Join(dir, fileName(9, snapshotSuffix)+temporarySuffix), []byte("x"), 0o644)).To(Succeed())
	got, err = read(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(20), "an interrupted snapshot counts for nothing")
}

func TestDamagedOrMissingFilesRefuseToStart(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	compact(g, dir)
	snapshot := filepath.Join(dir, fileName(2, snapshotSuffix))
	raw, err := os.ReadFile(snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(snapshot, raw[:len(raw)-len(durable.AppendFrame(nil, nil))], 0o644)).To(Succeed())
	_, err = read(dir)
	expectDamaged(g, err, snapshot)
	g.Expect(os.WriteFile(snapshot, raw, 0o644)).To(Succeed())

	log := filepath.Join(dir, fileName(2, logSuffix))
	g.Expect(os.Remove(log)).To(Succeed())
	_, err = read(dir)
	expectDamaged(g, err, log)
}
