package layout_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/layout"
	"peridotwinch.example/peridotwinch/internal/settings"
)

func TestSettingsFromExampleInventoryAreValid(t *testing.T) {
	g := NewWithT(t)
	inventory, err := layout.Load("../../examples/seven-instances/inventory.json")
	g.Expect(err).NotTo(HaveOccurred())
	allSettings, err := inventory.Settings()
	g.Expect(err).NotTo(HaveOccurred())
	paths, err := layout.Write(t.TempDir(), allSettings)
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

func TestInvalidInventoryErrorNamesField(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "inventory.json")
	g.Expect(os.WriteFile(path, []byte(`{"instances":[{"instance":"a","ip":"host"}]}`), 0o644)).To(Succeed())
	inventory, err := layout.Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = inventory.Settings()
	g.Expect(err).To(MatchError(ContainSubstring("1001 settings_invalid: instances[0].ip")))
}

// TestShardsAreSpreadOverFailureDomains assigns 8 shards of 3 replicas to 24 failure domains. It
// guards against an uneven assignment and against daemons with different shards.
func TestShardsAreSpreadOverFailureDomains(t *testing.T) {
	g := NewWithT(t)
	inventory := &layout.Inventory{
		NameSchemes: []api.Scheme{"engine"}, DataRoot: "data",
		LedgerShards: layout.LedgerShards{Count: 8, Replicas: 3},
	}
	for i := range 24 {
		inventory.Instances = append(inventory.Instances, layout.Instance{
			Instance: fmt.Sprintf("l-%02d", i), FailureDomain: fmt.Sprintf("d-%02d", i), IP: "127.0.0.1",
			FirstPort: uint16(9000 + 10*i), Roles: []settings.Role{settings.RoleLedger},
		})
	}
	allSettings, err := inventory.Settings()
	g.Expect(err).NotTo(HaveOccurred())
	shardCounts := make(map[string]int)
	for _, shard := range allSettings[0].LedgerShards {
		g.Expect(shard).To(HaveLen(3))
		for _, instance := range shard {
			shardCounts[instance]++
		}
	}
	g.Expect(shardCounts).To(HaveLen(24), "each replica has one shard")
	for _, s := range allSettings {
		g.Expect(s.LedgerShards).To(Equal(allSettings[0].LedgerShards))
	}
	inventory.LedgerShards.Replicas = 4
	_, err = inventory.Settings()
	g.Expect(err).To(MatchError(ContainSubstring("ledgerShards[0]")))
	inventory.LedgerShards.Replicas = 5
	inventory.Instances = inventory.Instances[:4]
	_, err = inventory.Settings()
	g.Expect(err).To(MatchError(ContainSubstring("ledgerShards.replicas")))
}
