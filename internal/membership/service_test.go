package membership_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// hour is a heartbeat that never comes within a test.
const hour = 3600 * 1000

// member is a membership service that listens for its peers.
type member struct {
	*membership.Service
	listener net.Listener
	stop     context.CancelFunc
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

func startMember(instance, domain string, listener net.Listener, timeouts settings.Timeouts, peers []settings.Peer) *member {
	s := &settings.Settings{
		Instance: instance, FailureDomain: domain, Roles: []settings.Role{settings.RoleRouter},
		Peers: peers, Timeouts: timeouts,
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{membership.NewService(s, zerolog.Nop()), listener, cancel}
	server := rpc.NewServer()
	Expect(m.Register(server.Mux())).To(Succeed())
	go func() { _ = server.Serve(ctx, listener) }()
	go func() { _ = m.Run(ctx) }()
	DeferCleanup(cancel)
	return m
}

func peer(instance, domain, address string) settings.Peer {
	return settings.Peer{
		Instance: instance, FailureDomain: domain, Address: address,
		Callers: "127.0.0.1:1", Roles: []settings.Role{settings.RoleRouter},
	}
}

func (m *member) announce(a api.Announcement) {
	raw, err := json.Marshal(a)
	Expect(err).NotTo(HaveOccurred())
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/announcements", bytes.NewReader(raw)))
	Expect(recorder.Code).To(Equal(http.StatusNoContent))
}

func (m *member) waitFor(state api.ServerState) {
	GinkgoHelper()
	Expect(testcluster.Eventually(func() error {
		servers := m.Servers()
		if len(servers) == 1 && servers[0].State == state {
			return nil
		}
		return errors.Errorf("not one server that is %s: %+v", state, servers)
	})).To(Succeed())
}

var _ = Describe("Service", func() {
	var first, second net.Listener

	BeforeEach(func() { first, second = listen(), listen() })

	It("tells its peers of a draining server at once, also over a connection that has gone silent", func() {
		relay, err := testcluster.NewRelay(second.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		// A first short heartbeat would hide a drain that waits for the next one.
		slow := settings.Timeouts{HeartbeatMS: hour, SilenceMS: hour}
		one := startMember("a", "x", first, slow, []settings.Peer{peer("b", "x", relay.Address())})
		two := startMember("b", "x", second, slow, []settings.Peer{peer("a", "x", first.Addr().String())})
		Expect(testcluster.Eventually(one.Ready)).To(Succeed())
		one.announce(announcement(7, 1, api.ServerDraining))
		two.waitFor(api.ServerDraining)
		two.announce(announcement(8, 1, api.ServerServing))
		one.announce(announcement(8, 2, api.ServerServing))
		relay.Set(testcluster.Blackhole, testcluster.Blackhole)
		one.announce(announcement(8, 3, api.ServerDraining))
		// The connection has taken the first try by then and stays silent for good.
		time.Sleep(50 * time.Millisecond)
		relay.Set(testcluster.Forward, testcluster.Forward)
		two.waitFor(api.ServerDraining)
	})

	It("gives a restarted router the whole table", func() {
		quick := settings.Timeouts{HeartbeatMS: 20, SilenceMS: hour}
		one := startMember("a", "x", first, quick, []settings.Peer{peer("b", "x", second.Addr().String())})
		one.announce(announcement(7, 1, api.ServerServing))
		slow := settings.Timeouts{HeartbeatMS: hour, SilenceMS: hour}
		two := startMember("b", "x", second, slow, []settings.Peer{peer("a", "x", first.Addr().String())})
		two.waitFor(api.ServerServing)
		two.stop()
		Expect(testcluster.Eventually(func() error { _, err := net.Dial("tcp", second.Addr().String()); return errIfNil(err) })).To(Succeed())
		again := startMember("b", "x", listen(), slow, []settings.Peer{peer("a", "x", first.Addr().String())})
		again.waitFor(api.ServerServing)
	})

	It("keeps a server whose router fails, because the server goes on with another", func() {
		quick := settings.Timeouts{HeartbeatMS: 20, SilenceMS: 2000}
		one := startMember("a", "x", first, quick, []settings.Peer{peer("b", "x", second.Addr().String())})
		two := startMember("b", "x", second, quick, []settings.Peer{peer("a", "x", first.Addr().String())})
		one.announce(announcement(7, 1, api.ServerServing))
		two.waitFor(api.ServerServing)
		one.stop()
		two.announce(announcement(7, 2, api.ServerServing))
		Expect(two.Servers()).To(HaveLen(1))
	})

	It("counts only live routers and summarizes for other failure domains", func() {
		quick := settings.Timeouts{HeartbeatMS: 20, SilenceMS: 2000}
		peers := []settings.Peer{peer("a", "x", first.Addr().String()), peer("b", "y", second.Addr().String()), peer("c", "x", "127.0.0.1:1")}
		one := startMember("a", "x", first, quick, peers)
		two := startMember("b", "y", second, quick, peers)
		Expect(one.RouterRank().Count).To(Equal(1))
		one.announce(announcement(7, 1, api.ServerServing))
		Expect(testcluster.Eventually(func() error {
			if summaries := two.Summaries(); len(summaries) == 1 && summaries[0].Slots == 8 {
				return nil
			}
			return errors.Errorf("no summary: %+v", two.Summaries())
		})).To(Succeed())
		Expect(two.Servers()).To(BeEmpty())
	})

	It("refuses a damaged announcement", func() {
		one := startMember("a", "x", first, settings.Timeouts{}, nil)
		recorder := httptest.NewRecorder()
		body := bytes.NewReader([]byte(`{"address": "nowhere"`))
		one.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/announcements", body))
		Expect(recorder.Code).To(Equal(http.StatusBadRequest))
	})
})

func errIfNil(err error) error {
	if err == nil {
		return errors.New("still listening")
	}
	return nil
}
