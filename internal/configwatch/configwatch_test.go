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
	patience  = "60s"
	heartbeat = 50 * time.Millisecond
)

func customer(i int, version uint64) *api.Resource {
	spec := fmt.Sprintf(`{"tokenDigests":["%064x"],"weight":%d}`, i, version)
	return &api.Resource{
		Kind: api.KindCustomers, UID: fmt.Sprint("uid-", i), Names: api.Names{"customer": fmt.Sprint("customer-", i)},
		ResourceVersion: version, Spec: []byte(spec),
	}
}

// source stands in for a control replica or a peer.
type source struct {
	address string
	silent  atomic.Bool
	// onlyOnce refuses lasting watches, as a cut-off replica or a router does.
	onlyOnce atomic.Bool
	revision atomic.Uint64
	// old sources know no peek and send the whole configuration instead.
	old atomic.Bool
	// wholes counts the times that the resources were sent.
	wholes atomic.Int32
}

func newSource(t *testing.T, revision uint64) *source {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &source{address: listener.Addr().String()}
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

func (s *source) Watch(request *configpb.WatchRequest, stream configpb.DRPCConfig_WatchStream) error {
	for {
		switch {
		case s.silent.Load():
			<-stream.Context().Done()
			return nil
		case s.onlyOnce.Load() && !request.GetOnce():
			return api.Errorf(api.CodeNoQuorum, "cut off")
		}
		revision := s.revision.Load()
		if request.GetPeek() && !s.old.Load() {
			return stream.Send(&configpb.WatchEvent{Revision: revision})
		}
		s.wholes.Add(1)
		resources := []*api.Resource{customer(1, revision)}
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

func (s *source) Report(context.Context, *configpb.ReportRequest) (*configpb.ReportResponse, error) {
	return &configpb.ReportResponse{}, nil
}

func (s *source) History(*configpb.HistoryRequest, configpb.DRPCConfig_HistoryStream) error {
	return api.Errorf(api.CodeNoQuorum, "no history")
}

func (s *source) Share(context.Context, *configpb.ShareRequest) (*configpb.ShareResponse, error) {
	return &configpb.ShareResponse{}, nil
}

// start runs a watcher of the given control replicas and peers.
func start(t *testing.T, dataDir string, controls, peers []*source) *Watcher {
	s := &settings.Settings{
		Instance: "router-1", FailureDomain: "pwani-a", DataDir: dataDir,
		Timeouts: settings.Timeouts{HeartbeatMS: int(heartbeat / time.Millisecond)},
	}
	add := func(sources []*source, domain string, role settings.Role) {
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return w
}

func revisionOf(w *Watcher) func() uint64 {
	return func() uint64 { return w.Catalog().Revision() }
}

func TestSilentReplicaIsLeftForAnother(t *testing.T) {
	g := NewWithT(t)
	controls := []*source{newSource(t, 3), newSource(t, 3)}
	w := start(t, "", controls, nil)
	g.Eventually(w.IsCutOff, patience).Should(BeFalse())
	for _, silent := range controls {
		for _, control := range controls {
			control.silent.Store(control == silent)
			control.revision.Add(1)
		}
		g.Eventually(revisionOf(w), patience).Should(Equal(controls[0].revision.Load()))
	}
}

func TestRevisionNeverFalls(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	fresh, stale := newSource(t, 7), newSource(t, 4)
	t.Run("first", func(t *testing.T) {
		w := start(t, dir, []*source{fresh}, nil)
		g.Eventually(revisionOf(w), patience).Should(BeNumerically("==", 7))
	})
	w := start(t, dir, []*source{stale}, nil)
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 7), "the cache lacks what was applied")
	g.Eventually(w.Ready, patience).Should(Succeed())
	g.Eventually(w.IsCutOff, patience).Should(BeFalse())
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 7))
}

func TestRouterWithoutDiskTakesTheHighestBeforeItIsReady(t *testing.T) {
	g := NewWithT(t)
	control, peer := newSource(t, 3), newSource(t, 5)
	control.onlyOnce.Store(true)
	peer.onlyOnce.Store(true)
	w := start(t, "", []*source{control}, []*source{peer})
	g.Eventually(w.Ready, patience).Should(Succeed())
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 5))
	g.Expect(w.IsCutOff()).To(BeTrue())
	peer.revision.Store(6)
	g.Eventually(revisionOf(w), patience).Should(BeNumerically("==", 6))
}

func TestStartTakesTheConfigurationOnce(t *testing.T) {
	g := NewWithT(t)
	control, old := newSource(t, 3), newSource(t, 2)
	control.onlyOnce.Store(true)
	old.onlyOnce.Store(true)
	old.old.Store(true)
	var peers []*source
	for range 5 {
		peer := newSource(t, 3)
		peer.onlyOnce.Store(true)
		peers = append(peers, peer)
	}
	w := start(t, "", []*source{control}, append(peers, old))
	g.Eventually(w.Ready, patience).Should(Succeed())
	g.Expect(w.Catalog().Revision()).To(BeNumerically("==", 3))
	wholes := control.wholes.Load()
	for _, peer := range peers {
		wholes += peer.wholes.Load()
	}
	g.Expect(wholes).To(BeNumerically("==", 1))
}

func TestCacheHoldsWhatWasApplied(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "catalog")
	c, _, err := openCache(path)
	g.Expect(err).NotTo(HaveOccurred())
	current := catalog.Empty()
	for revision := uint64(1); revision <= maxCacheRecords+5; revision++ {
		changes := []*api.Resource{customer(int(revision%7), revision)}
		current = current.Apply(revision, revision == 1, changes)
		g.Expect(c.save(current, revision == 1, changes)).To(Succeed())
	}
	_, cached, err := openCache(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cached.Revision()).To(Equal(current.Revision()))
	g.Expect(cached.Resources()).To(Equal(current.Resources()))
}
