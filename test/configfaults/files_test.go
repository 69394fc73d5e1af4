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

func (g *group) cutBytes(path string, count int64) {
	g.t.Helper()
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Truncate(path, info.Size()-count)).To(Succeed())
}

func (g *group) logOf(d *testbed.Daemon) string {
	g.t.Helper()
	raw, err := os.ReadFile(d.LogPath())
	g.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}
