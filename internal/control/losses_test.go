package control

import (
	"net/http"
	"net/http/httptest"
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

// TestReleaseIsStoredBeforeItIsConfirmed guards against a release that rests on the memory of the
// process that confirms it.
func TestReleaseIsStoredBeforeItIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "losses")
	store, archive := openLossArchive(path)
	now := time.Now()
	for i := range uint64(6) {
		lostAt := now.Add(time.Duration(i) * time.Second)
		store.Merge([]quarantine.Loss{{Server: i, Pool: "p", Parts: []uint64{1, 7 + i%2}, SentAt: lostAt.Add(-time.Second / 2), LostAt: lostAt}}, lostAt)
		store.RecordAnswer("p", []uint64{1}, lostAt)
	}
	g.Expect(store.Verdicts()).To(HaveLen(2))
	g.Expect(archive.save()).To(Succeed())
	c := &Control{log: zerolog.Nop(), losses: store, lossArchive: archive}
	release := func() int {
		request := httptest.NewRequest(http.MethodDelete, "/apis/v1/quarantine/p/7", nil)
		request.SetPathValue("pool", "p")
		request.SetPathValue("part", "7")
		response := httptest.NewRecorder()
		c.releasePart(response, request)
		return response.Code
	}
	obstacle := filepath.Join(path+".tmp", "obstacle")
	g.Expect(os.MkdirAll(obstacle, 0o755)).To(Succeed())
	g.Expect(release()).To(Equal(http.StatusServiceUnavailable), "the disk refuses the file")
	g.Expect(os.RemoveAll(path + ".tmp")).To(Succeed())
	g.Expect(release()).To(Equal(http.StatusOK))
	restarted, _ := openLossArchive(path)
	g.Expect(restarted.Verdicts()).To(HaveLen(1), "the other part stays in quarantine")
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
