package configwatch

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	waitTimeout = "60s"
	heartbeat   = 50 * time.Millisecond
)

func newCustomer(i int, version uint64) *api.Resource {
	spec := fmt.Sprintf(`{"tokenDigests":["%064x"],"weight":%d}`, i, version)
	return &api.Resource{
		Kind: api.KindCustomers, UID: fmt.Sprint("uid-", i), Names: api.Names{"customer": fmt.Sprint("customer-", i)},
		ResourceVersion: version, Spec: []byte(spec),
	}
}

// fakeSource is a fake control replica or peer.
type fakeSource struct {
	address string
	// silent leaves requests without an answer.
	silent atomic.Bool
	// onceOnly rejects lasting watches, as a replica without a quorum or a router
	// does.
	onceOnly atomic.Bool
	revision atomic.Uint64
	// ignoresPeek sends the whole configuration to a peek, as an earlier version
	// does.
	ignoresPeek atomic.Bool
	// sentSnapshots counts how often the resources were sent.
	sentSnapshots atomic.Int32
}

func startSource(t *testing.T, revision uint64) *fakeSource {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeSource{address: listener.Addr().String()}
	s.revision.Store(revision)
	server := rpc.NewServer()
	if err := configpb.DRPCRegisterConfig(server.Mux(), s); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return s
}

func (s *fakeSource) Watch(request *configpb.WatchRequest, stream configpb.DRPCConfig_WatchStream) error {
	for {
		switch {
		case s.silent.Load():
			<-stream.Context().Done()
			return nil
		case s.onceOnly.Load() && !request.GetOnce():
			return api.Errorf(api.CodeNoQuorum, "the fake source rejects lasting watches")
		}
		revision := s.revision.Load()
		if request.GetPeek() && !s.ignoresPeek.Load() {
			return stream.Send(&configpb.WatchEvent{Revision: revision})
		}
		s.sentSnapshots.Add(1)
		resources := []*api.Resource{newCustomer(1, revision)}
		if err := configpb.SendParts(stream, revision, true, resources); err != nil || request.GetOnce() {
			return err
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(heartbeat):
		}
	}
}

func (s *fakeSource) Report(context.Context, *configpb.ReportRequest) (*configpb.ReportResponse, error) {
	return &configpb.ReportResponse{}, nil
}

func (s *fakeSource) History(*configpb.HistoryRequest, configpb.DRPCConfig_HistoryStream) error {
	return api.Errorf(api.CodeNoQuorum, "the fake source has no history")
}

func (s *fakeSource) Share(context.Context, *configpb.ShareRequest) (*configpb.ShareResponse, error) {
	return &configpb.ShareResponse{}, nil
}

// startWatcher runs a watcher with the given control replicas and peers.
func startWatcher(t *testing.T, dataDir string, controls, peers []*fakeSource) *Watcher {
	s := &settings.Settings{
		Instance: "router-1", FailureDomain: "pwani-a", DataDir: dataDir,
		Timeouts: settings.Timeouts{HeartbeatMS: int(heartbeat / time.Millisecond)},
	}
	add := func(sources []*fakeSource, domain string, role settings.Role) {
		for i, source := range sources {
			s.Peers = append(s.Peers, settings.Peer{
				Instance: fmt.Sprintf("%s-%d", role, i+10), FailureDomain: domain,
				Address: source.address, Roles: []settings.Role{role},
			})
		}
	}
	add(controls, "pwani-b", settings.RoleControl)
	add(peers, "pwani-a", settings.RoleRouter)
	w := New(s, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

func revisionOf(w *Watcher) func() uint64 {
	return func() uint64 { return w.Catalog().Revision() }
}

// TestWatcherSwitchesFromSilentReplica guards against a router that keeps a watch on
// which no more events arrive. Each of two control replicas stops answering in turn,
// and the router has to receive the next revision from the other one.
func TestWatcherSwitchesFromSilentReplica(t *testing.T) {
	g := NewWithT(t)
	controls := []*fakeSource{startSource(t, 3), startSource(t, 3)}
	w := startWatcher(t, "", controls, nil)
	g.Eventually(w.IsDisconnected, waitTimeout).Should(BeFalse())
	for _, silent := range controls {
		for _, control := range controls {
			control.silent.Store(control == silent)
			control.revision.Add(1)
		}
		g.Eventually(revisionOf(w), waitTimeout).Should(Equal(controls[0].revision.Load()))
	}
}

// TestRestartDoesNotRevertRevision guards against a configuration that reverts
// when a restarted router finds only a control replica with an older revision.
func TestRestartDoesNotRevertRevision(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	fresh, stale := startSource(t, 7), startSource(t, 4)
	t.Run("first", func(t *testing.T) {
		w := startWatcher(t, dir, []*fakeSource{fresh}, nil)
		g.Eventually(revisionOf(w), waitTimeout).Should(BeNumerically("==", 7))
	})
	w := startWatcher(t, dir, []*fakeSource{stale}, nil)
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 7), "the cache lacks an applied revision")
	g.Eventually(w.Ready, waitTimeout).Should(Succeed())
	g.Eventually(w.IsDisconnected, waitTimeout).Should(BeFalse())
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 7))
}

// TestRouterWithoutCacheFetchesHighestRevisionBeforeReady guards against a router
// that becomes ready with an older revision than a reachable source has. No source
// accepts a lasting watch, so a later revision has to come from a poll of the peer.
func TestRouterWithoutCacheFetchesHighestRevisionBeforeReady(t *testing.T) {
	g := NewWithT(t)
	control, peer := startSource(t, 3), startSource(t, 5)
	control.onceOnly.Store(true)
	peer.onceOnly.Store(true)
	w := startWatcher(t, "", []*fakeSource{control}, []*fakeSource{peer})
	g.Eventually(w.Ready, waitTimeout).Should(Succeed())
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 5))
	g.Expect(w.IsDisconnected()).To(BeTrue())
	peer.revision.Store(6)
	g.Eventually(revisionOf(w), waitTimeout).Should(BeNumerically("==", 6))
}

// TestStartFetchesConfigurationOnce guards against a starting router that receives
// the whole configuration from each source. The source of an earlier version, which
// sends it to a peek too, is not counted.
func TestStartFetchesConfigurationOnce(t *testing.T) {
	g := NewWithT(t)
	control, oldVersion := startSource(t, 3), startSource(t, 2)
	control.onceOnly.Store(true)
	oldVersion.onceOnly.Store(true)
	oldVersion.ignoresPeek.Store(true)
	var peers []*fakeSource
	for range 5 {
		peer := startSource(t, 3)
		peer.onceOnly.Store(true)
		peers = append(peers, peer)
	}
	w := startWatcher(t, "", []*fakeSource{control}, append(peers, oldVersion))
	g.Eventually(w.Ready, waitTimeout).Should(Succeed())
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 3))
	sent := control.sentSnapshots.Load()
	for _, peer := range peers {
		sent += peer.sentSnapshots.Load()
	}
	g.Expect(sent).To(BeNumerically("==", 1))
}

// TestReopenedCacheHoldsAppliedCatalog guards against a cache that loses or reorders
// changes, also after a snapshot has replaced its records.
func TestReopenedCacheHoldsAppliedCatalog(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "catalog")
	c, _, err := openCache(path)
	g.Expect(err).NotTo(HaveOccurred())
	current := catalog.Empty()
	for revision := uint64(1); revision <= maxCacheRecords+5; revision++ {
		changes := []*api.Resource{newCustomer(int(revision%7), revision)}
		current = current.Apply(revision, revision == 1, changes)
		g.Expect(c.save(current, revision == 1, changes)).To(Succeed())
	}
	_, cached, err := openCache(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cached.Revision()).To(Equal(current.Revision()))
	g.Expect(cached.Resources()).To(Equal(current.Resources()))
}
