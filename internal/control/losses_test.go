package control

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/quarantine"
)

func openLossArchive(path string) (*quarantine.Store, *lossArchive) {
	store := quarantine.NewStore("core", zerolog.Nop())
	return store, newLossArchive(path, store, zerolog.Nop())
}

// TestQuarantineOutlastsRestart guards against evidence that is gone after a power loss of all
// processes, also if the time of day was set back, and against a release that a restart takes back.
func TestQuarantineOutlastsRestart(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "losses")
	store, archive := openLossArchive(path)
	now := time.Now()
	for i := range uint64(3) {
		g.Expect(archive.save()).To(Succeed())
		g.Expect(path).NotTo(BeAnExistingFile(), "nothing is in quarantine")
		lostAt := now.Add(time.Duration(i) * time.Second)
		store.Merge([]quarantine.Loss{{Server: i, Pool: "p", Parts: []uint64{7}, SentAt: lostAt.Add(-time.Second / 2), LostAt: lostAt}}, lostAt)
		store.RecordAnswer("p", []uint64{8}, lostAt)
	}
	g.Expect(archive.save()).To(Succeed())
	store, archive = openLossArchive(path)
	g.Expect(store.Verdicts()).To(HaveLen(1))
	g.Expect(store.Release(quarantine.Part{Pool: "p", ID: 7}, now)).To(BeTrue())
	g.Expect(archive.save()).To(Succeed())
	store, _ = openLossArchive(path)
	g.Expect(store.Verdicts()).To(BeEmpty())
}

// TestDamagedLossesDoNotStopControl guards against a replica that does not start because of a
// damaged copy of the evidence.
func TestDamagedLossesDoNotStopControl(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "losses")
	g.Expect(os.WriteFile(path, []byte("damaged"), 0o600)).To(Succeed())
	store, _ := openLossArchive(path)
	g.Expect(store.Verdicts()).To(BeEmpty())
}
