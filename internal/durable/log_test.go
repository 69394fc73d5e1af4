package durable

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
)

// writeLog creates a log with the given records.
func writeLog(g *WithT, path string, payloads ...string) {
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	for _, payload := range payloads {
		g.Expect(log.Append([]byte(payload))).To(Succeed())
	}
	g.Expect(log.Close()).To(Succeed())
}

// TestTornLastRecordIsTruncated cuts the file off at each position within the last record.
func TestTornLastRecordIsTruncated(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "log")
	writeLog(g, path, "first", "second", "last")
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	lastBytes := frameHeaderBytes + len("last")
	for lost := 1; lost <= lastBytes; lost++ {
		g.Expect(os.WriteFile(path, raw[:len(raw)-lost], 0o644)).To(Succeed())
		log, records, err := OpenLog(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(records).To(HaveLen(2))
		g.Expect(log.Append([]byte("again"))).To(Succeed())
		_, records, err = OpenLog(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(records[2])).To(Equal("again"))
	}
}

// TestDamagedEarlierRecordIsRejected flips each single bit before the last record.
func TestDamagedEarlierRecordIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	writeLog(NewWithT(t), path, "first", "second", "last")
	raw, err := os.ReadFile(path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for position := range len(raw) - frameHeaderBytes - len("last") {
		for bit := range 8 {
			g := NewWithT(t)
			damaged := append([]byte(nil), raw...)
			damaged[position] ^= 1 << bit
			g.Expect(os.WriteFile(path, damaged, 0o644)).To(Succeed())
			_, _, err := OpenLog(path)
			g.Expect(err).To(HaveOccurred(), "byte %d bit %d", position, bit)
			g.Expect(api.AsError(err).Code).To(Equal(api.CodeDataDamaged))
			g.Expect(err.Error()).To(ContainSubstring(path))
		}
	}
}

func TestReplaceKeepsOneRecord(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "folder", "log")
	writeLog(g, path, "first", "second")
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Replace([]byte("all"))).To(Succeed())
	g.Expect(log.Append([]byte("more"))).To(Succeed())
	_, records, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(Equal([][]byte{[]byte("all"), []byte("more")}))
}

// TestDecodeAcceptsArbitraryBytes checks that decode neither panics nor reads past its
// input.
func TestDecodeAcceptsArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "raw")
		_, validBytes, err := decode("file", raw)
		if err == nil && validBytes > len(raw) {
			t.Fatalf("decode returned %d valid bytes of %d", validBytes, len(raw))
		}
	})
}

// TestLastRecordWithLostSectorsIsTruncated keeps only the start of the last record and
// zeroes the rest: after a power failure the file can have its new length although its
// last sectors were never written.
func TestLastRecordWithLostSectorsIsTruncated(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "log")
	writeLog(g, path, "first", "second", "last")
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	lastBytes := frameHeaderBytes + len("last")
	for kept := range lastBytes {
		torn := append([]byte(nil), raw[:len(raw)-lastBytes+kept]...)
		torn = append(torn, make([]byte, lastBytes-kept)...)
		g.Expect(os.WriteFile(path, torn, 0o644)).To(Succeed())
		_, records, err := OpenLog(path)
		g.Expect(err).NotTo(HaveOccurred(), "%d bytes kept", kept)
		g.Expect(records).To(HaveLen(2))
	}
}
