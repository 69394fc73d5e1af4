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

// hourMS is a heartbeat interval in milliseconds that does not elapse during a test.
const hourMS = 3600 * 1000

// member is a membership service with a listener for its peers.
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
		return errors.Errorf("want one server in state %s, got %+v", state, servers)
	})).To(Succeed())
}

var _ = Describe("Service", func() {
	var listenerA, listenerB net.Listener

	BeforeEach(func() { listenerA, listenerB = listen(), listen() })

	It("reports a draining server to its peers immediately, also if the connection is dead", func() {
		relay, err := testcluster.NewRelay(listenerB.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		// A short heartbeat would hide a drain that is sent with the next periodic exchange.
		longHeartbeat := settings.Timeouts{HeartbeatMS: hourMS, SilenceMS: hourMS}
		routerA := startMember("a", "x", listenerA, longHeartbeat, []settings.Peer{peer("b", "x", relay.Address())})
		routerB := startMember("b", "x", listenerB, longHeartbeat, []settings.Peer{peer("a", "x", listenerA.Addr().String())})
		Expect(testcluster.Eventually(routerA.Ready)).To(Succeed())
		routerA.announce(announcement(7, 1, api.ServerDraining))
		routerB.waitFor(api.ServerDraining)
		routerB.announce(announcement(8, 1, api.ServerServing))
		routerA.announce(announcement(8, 2, api.ServerServing))
		relay.Set(testcluster.Blackhole, testcluster.Blackhole)
		routerA.announce(announcement(8, 3, api.ServerDraining))
		// By then the relay has dropped the first attempt. Its connection never gets an answer.
		time.Sleep(50 * time.Millisecond)
		relay.Set(testcluster.Forward, testcluster.Forward)
		routerB.waitFor(api.ServerDraining)
	})

	It("sends a restarted router the whole table", func() {
		shortHeartbeat := settings.Timeouts{HeartbeatMS: 20, SilenceMS: hourMS}
		routerA := startMember("a", "x", listenerA, shortHeartbeat, []settings.Peer{peer("b", "x", listenerB.Addr().String())})
		routerA.announce(announcement(7, 1, api.ServerServing))
		longHeartbeat := settings.Timeouts{HeartbeatMS: hourMS, SilenceMS: hourMS}
		routerB := startMember("b", "x", listenerB, longHeartbeat, []settings.Peer{peer("a", "x", listenerA.Addr().String())})
		routerB.waitFor(api.ServerServing)
		routerB.stop()
		Expect(testcluster.Eventually(func() error { _, err := net.Dial("tcp", listenerB.Addr().String()); return errIfNil(err) })).To(Succeed())
		restarted := startMember("b", "x", listen(), longHeartbeat, []settings.Peer{peer("a", "x", listenerA.Addr().String())})
		restarted.waitFor(api.ServerServing)
	})

	It("keeps a server whose router fails, because the server announces itself to another router", func() {
		shortHeartbeat := settings.Timeouts{HeartbeatMS: 20, SilenceMS: 2000}
		routerA := startMember("a", "x", listenerA, shortHeartbeat, []settings.Peer{peer("b", "x", listenerB.Addr().String())})
		routerB := startMember("b", "x", listenerB, shortHeartbeat, []settings.Peer{peer("a", "x", listenerA.Addr().String())})
		routerA.announce(announcement(7, 1, api.ServerServing))
		routerB.waitFor(api.ServerServing)
		routerA.stop()
		routerB.announce(announcement(7, 2, api.ServerServing))
		Expect(routerB.Servers()).To(HaveLen(1))
	})

	It("counts only live routers and sends summaries to other failure domains", func() {
		shortHeartbeat := settings.Timeouts{HeartbeatMS: 20, SilenceMS: 2000}
		peers := []settings.Peer{peer("a", "x", listenerA.Addr().String()), peer("b", "y", listenerB.Addr().String()), peer("c", "x", "127.0.0.1:1")}
		routerA := startMember("a", "x", listenerA, shortHeartbeat, peers)
		routerB := startMember("b", "y", listenerB, shortHeartbeat, peers)
		Expect(routerA.RouterRank().Count).To(Equal(1))
		routerA.announce(announcement(7, 1, api.ServerServing))
		Expect(testcluster.Eventually(func() error {
			if summaries := routerB.Summaries(); len(summaries) == 1 && summaries[0].Slots == 8 {
				return nil
			}
			return errors.Errorf("want one summary with 8 slots, got %+v", routerB.Summaries())
		})).To(Succeed())
		Expect(routerB.Servers()).To(BeEmpty())
	})

	It("rejects a malformed announcement", func() {
		routerA := startMember("a", "x", listenerA, settings.Timeouts{}, nil)
		recorder := httptest.NewRecorder()
		body := bytes.NewReader([]byte(`{"address": "nowhere"`))
		routerA.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/announcements", body))
		Expect(recorder.Code).To(Equal(http.StatusBadRequest))
	})
})

func errIfNil(err error) error {
	if err == nil {
		return errors.New("listener still accepts connections")
	}
	return nil
}
