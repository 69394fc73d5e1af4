package flatepool_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/flatepool"
)

func TestExpandRestoresCompressedData(t *testing.T) {
	g := NewWithT(t)
	for _, raw := range [][]byte{nil, []byte("short"), bytes.Repeat([]byte(`{"name":"route"},`), 4000), []byte("short")} {
		compressed, err := flatepool.Compress(raw)
		g.Expect(err).NotTo(HaveOccurred())
		expanded, err := flatepool.Expand(compressed, 1<<20)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(expanded)).To(Equal(string(raw)))
	}
}

func TestExpandRejectsOversizedOrTruncatedData(t *testing.T) {
	g := NewWithT(t)
	compressed, err := flatepool.Compress(make([]byte, 100_000))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = flatepool.Expand(compressed, 99_999)
	g.Expect(err).To(HaveOccurred())
	_, err = flatepool.Expand(compressed[:len(compressed)/2], 1<<20)
	g.Expect(err).To(HaveOccurred())
}
