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

// flipByte flips one bit of the byte at the position in a file.
func (g *group) flipByte(path string, position int) {
	g.t.Helper()
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	raw[position] ^= 0x10
	g.Expect(os.WriteFile(path, raw, 0o644)).To(Succeed())
}

// tornBytes is the length of a torn record. It ends inside the payload.
const tornBytes = 14

// appendTornRecord appends the first tornBytes of a log to its end, as a torn write of a
// record does. It returns the content from before.
func (g *group) appendTornRecord(path string) string {
	g.t.Helper()
	content := g.readFile(path)
	g.Expect(len(content)).To(BeNumerically(">", tornBytes))
	g.Expect(os.WriteFile(path, []byte(content+content[:tornBytes]), 0o644)).To(Succeed())
	return content
}

func (g *group) readFile(path string) string {
	g.t.Helper()
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// truncateBy removes the last count bytes of a file.
func (g *group) truncateBy(path string, count int64) {
	g.t.Helper()
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Truncate(path, info.Size()-count)).To(Succeed())
}

// removePeerFromSettings removes a peer from a daemon's settings file.
func (g *group) removePeerFromSettings(name, peer string) {
	g.t.Helper()
	s := g.cluster.Daemons[name].Settings
	s.Peers = slices.DeleteFunc(slices.Clone(s.Peers), func(p settings.Peer) bool { return p.Instance == peer })
	raw, err := json.Marshal(&s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(g.cluster.Dir, name+".json"), raw, 0o644)).To(Succeed())
}

func (g *group) readLog(d *testcluster.Daemon) string {
	g.t.Helper()
	raw, err := os.ReadFile(d.LogPath())
	g.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}
