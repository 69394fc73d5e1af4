package proxy

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// TestFailedAnswerIsNotCopied guards against a router that needs twice the memory for answers at the moment
// when they exceed it.
func TestFailedAnswerIsNotCopied(t *testing.T) {
	g := NewWithT(t)
	text := bytes.Repeat([]byte("0123456789"), maxAnswerBytes/20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readChunks(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(errNoAnswerMemory)))
	runtime.ReadMemStats(&after)
	g.Expect(err).To(MatchError(errNoAnswerMemory))
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", len(text)*5/4))
}

// TestReadChunksKeepsContentsAndErrors guards against parts that are lost, repeated or cut at the ends of the
// chunks, and against an incomplete answer that passes as complete.
func TestReadChunksKeepsContentsAndErrors(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{0, 1, initialChunkBytes - 1, initialChunkBytes, initialChunkBytes + 1, 3 * maxChunkBytes, 200_001} {
		text := make([]byte, size)
		for i := range text {
			text[i] = byte(i % 251)
		}
		for _, r := range []io.Reader{
			bytes.NewReader(text), iotest.DataErrReader(bytes.NewReader(text)), iotest.HalfReader(bytes.NewReader(text)),
		} {
			body, err := readChunks(r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(HaveLen(size))
			g.Expect(bytes.Equal(body, text)).To(BeTrue())
		}
		_, err := readChunks(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(append(text, 'x', 'x')))))
		g.Expect(err).To(MatchError(iotest.ErrTimeout))
	}
}
