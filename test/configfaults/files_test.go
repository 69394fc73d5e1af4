package configfaults

import (
	"os"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/test/testbed"
)

func (g *group) flipByte(path string, position int) {
	g.t.Helper()
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	raw[position] ^= 0x10
	g.Expect(os.WriteFile(path, raw, 0o644)).To(Succeed())
}

// tornBytes reaches into the payload of a record.
const tornBytes = 14

// appendTornRecord repeats the beginning of the first record at the end of a
// log, and returns what the log held before.
func (g *group) appendTornRecord(path string) string {
	g.t.Helper()
	whole := g.bytesOf(path)
	g.Expect(len(whole)).To(BeNumerically(">", tornBytes))
	g.Expect(os.WriteFile(path, []byte(whole+whole[:tornBytes]), 0o644)).To(Succeed())
	return whole
}

func (g *group) bytesOf(path string) string {
	g.t.Helper()
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

func (g *group) logOf(d *testbed.Daemon) string {
	g.t.Helper()
	raw, err := os.ReadFile(d.LogPath())
	g.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}
