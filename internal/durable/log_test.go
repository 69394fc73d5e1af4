package durable

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
)

func fill(g *WithT, path string, payloads ...string) {
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	for _, payload := range payloads {
		g.Expect(log.Append([]byte(payload))).To(Succeed())
	}
	g.Expect(log.Close()).To(Succeed())
}

// TestTornLastRecordIsCut cuts the file at every length within the last record.
func TestTornLastRecordIsCut(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "log")
	fill(g, path, "first", "second", "last")
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

// TestDamagedEarlierRecordIsRefused flips one bit anywhere before the last record.
func TestDamagedEarlierRecordIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	fill(NewWithT(t), path, "first", "second", "last")
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
	fill(g, path, "first", "second")
	log, _, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Replace([]byte("all"))).To(Succeed())
	g.Expect(log.Append([]byte("more"))).To(Succeed())
	_, records, err := OpenLog(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(Equal([][]byte{[]byte("all"), []byte("more")}))
}

func TestDecoderTakesAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "raw")
		_, whole, err := decode("file", raw)
		if err == nil && whole > len(raw) {
			t.Fatalf("%d bytes of %d", whole, len(raw))
		}
	})
}

// TestLastRecordWithLostSectorsIsCut keeps only the start of the last record:
// the file has its new length, but the rest of its bytes never reached the disk.
func TestLastRecordWithLostSectorsIsCut(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "log")
	fill(g, path, "first", "second", "last")
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
