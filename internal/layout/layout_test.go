package layout_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/layout"
	"peridotwinch.example/peridotwinch/internal/settings"
)

func TestExampleInventoryGivesSettingsThatLoad(t *testing.T) {
	g := NewWithT(t)
	inventory, err := layout.Load("../../examples/seven-instances/inventory.json")
	g.Expect(err).NotTo(HaveOccurred())
	all, err := inventory.Settings()
	g.Expect(err).NotTo(HaveOccurred())
	paths, err := layout.Write(t.TempDir(), all)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).To(HaveLen(7))
	addresses := make(map[string]bool)
	for _, path := range paths {
		s, err := settings.Load(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Peers).To(HaveLen(7))
		addresses[s.Listen.Peers] = true
	}
	g.Expect(addresses).To(HaveLen(7))
}

func TestFaultyInventoryNamesTheField(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "inventory.json")
	g.Expect(os.WriteFile(path, []byte(`{"instances":[{"instance":"a","ip":"host"}]}`), 0o644)).To(Succeed())
	inventory, err := layout.Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = inventory.Settings()
	g.Expect(err).To(MatchError(ContainSubstring("1001 settings_invalid: instances[0].ip")))
}
