package configfaults

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
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

func (g *group) cutBytes(path string, count int64) {
	g.t.Helper()
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Truncate(path, info.Size()-count)).To(Succeed())
}

// withoutPeer takes a peer out of a daemon's settings file.
func (g *group) withoutPeer(name, peer string) {
	g.t.Helper()
	s := g.bed.Daemons[name].Settings
	s.Peers = slices.DeleteFunc(slices.Clone(s.Peers), func(p settings.Peer) bool { return p.Instance == peer })
	raw, err := json.Marshal(&s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(g.bed.Dir, name+".json"), raw, 0o644)).To(Succeed())
}

func (g *group) logOf(d *testcluster.Daemon) string {
	g.t.Helper()
	raw, err := os.ReadFile(d.LogPath())
	g.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}
