package fleetsync_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// TestEvacuationsReachAllRoutersThroughRelays guards against routers that keep sending to an
// evacuated domain, and that are not told of its return.
func TestEvacuationsReachAllRoutersThroughRelays(t *testing.T) {
	g := NewWithT(t)
	replica, _, _, routers := startRelayedFleet(t, 24)
	for revision, domains := range [][]string{{"a"}, {"a", "b"}, {"b"}, nil} {
		changedAt := time.Now()
		replica.setEvacuations(&evacuation.Set{Revision: uint64(revision + 1), Domains: domains})
		for _, r := range routers {
			g.Eventually(func() []string {
				sets := r.fleet.evacuations()
				if len(sets) <= revision {
					return []string{"no change yet"}
				}
				return sets[revision]
			}, time.Second, time.Millisecond).Should(Equal(domains))
		}
		g.Expect(time.Since(changedAt)).To(BeNumerically("<", 500*time.Millisecond))
	}
}

// TestRestartedRouterHasEvacuationsBeforeItServes guards against a router that serves with its
// first table before it knows which domains are evacuated, from a control replica or from a relay.
func TestRestartedRouterHasEvacuationsBeforeItServes(t *testing.T) {
	g := NewWithT(t)
	replica, _, proxy, routers := startRelayedFleet(t, 1)
	for revision := range uint64(20) {
		replica.setEvacuations(&evacuation.Set{Revision: revision + 1, Domains: []string{"a"}})
		for _, address := range []string{proxy.address, routers[0].address} {
			r := startRelayingRouter(t, "restarted", "domain-a", address)
			g.Eventually(generationOf(r.view), 10*time.Second, 100*time.Microsecond).Should(Equal(uint64(1)))
			sets := r.fleet.evacuations()
			g.Expect(sets).NotTo(BeEmpty(), "the table precedes the evacuations")
			g.Expect(sets[len(sets)-1]).To(Equal([]string{"a"}))
			r.stop()
		}
	}
}

// delayedSource is a control replica whose stream lags behind what it confirms: it sends revision 1
// of the evacuations, confirms revision 2, and sends it once proceed is closed.
type delayedSource struct {
	fleetpb.DRPCFleetUnimplementedServer
	document *fleetpb.Document
	proceed  chan struct{}
	// confirmations receives a value for each confirmation.
	confirmations chan struct{}
}

func (s *delayedSource) Follow(_ *fleetpb.FollowRequest, stream fleetpb.DRPCFleet_FollowStream) error {
	for _, event := range []*fleetpb.FollowEvent{
		{Accepted: true},
		{First: true, Document: s.document, Path: []string{"control"}, Evacuations: &fleetpb.Evacuations{Revision: 1}},
	} {
		if err := stream.Send(event); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(fleetsync.HeartbeatInterval / 2)
	defer ticker.Stop()
	for proceed := s.proceed; ; {
		event := &fleetpb.FollowEvent{}
		select {
		case <-stream.Context().Done():
			return nil
		case <-ticker.C:
		case <-proceed:
			proceed = nil
			event.Evacuations = &fleetpb.Evacuations{Revision: 2, Domains: []string{"a"}}
		}
		if err := stream.Send(event); err != nil {
			return err
		}
	}
}

func (s *delayedSource) Confirm(context.Context, *fleetpb.ConfirmRequest) (*fleetpb.ConfirmResponse, error) {
	select {
	case s.confirmations <- struct{}{}:
	default:
	}
	return &fleetpb.ConfirmResponse{Generation: 1, EvacuationRevision: 2}, nil
}

func (s *delayedSource) Report(context.Context, *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	return &fleetpb.ReportResponse{}, nil
}

// TestRelayWaitsForConfirmedEvacuations guards against a restarted router that follows a relay which
// has the confirmed table, but not yet the confirmed evacuations, and serves without these.
func TestRelayWaitsForConfirmedEvacuations(t *testing.T) {
	g := NewWithT(t)
	document := newTable(t, 1)
	source := &delayedSource{
		document: &fleetpb.Document{Generation: document.Generation, Source: document.Source},
		proceed:  make(chan struct{}), confirmations: make(chan struct{}, 1),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer()
	g.Expect(fleetpb.DRPCRegisterFleet(server.Mux(), source)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	relaying := startRelayingRouter(t, "relay", "domain-a", listener.Addr().String())
	g.Eventually(generationOf(relaying.view), 5*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	restarted := startRelayingRouter(t, "restarted", "domain-a", relaying.address)
	g.Eventually(source.confirmations, 5*time.Second).Should(Receive())
	g.Consistently(generationOf(restarted.view), 500*time.Millisecond, 5*time.Millisecond).Should(BeZero(), "serves without revision 2")
	close(source.proceed)
	g.Eventually(generationOf(restarted.view), 5*time.Second, time.Millisecond).Should(Equal(uint64(1)))
	g.Expect(restarted.fleet.evacuations()).To(Equal([][]string{{"a"}}))
}

// TestLaggingReplicaDoesNotRestoreEvacuations guards against a router that follows a replica which
// lacks the newest orders, and sends to an evacuated domain again.
func TestLaggingReplicaDoesNotRestoreEvacuations(t *testing.T) {
	g := NewWithT(t)
	replica, _, proxy := startReplica(t)
	replica.setEvacuations(&evacuation.Set{Revision: 5, Domains: []string{"a"}})
	view, fleet := startRouter(t, "router", proxy.address)
	g.Eventually(generationOf(view), 5*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	replica.setEvacuations(&evacuation.Set{Revision: 4})
	proxy.closeConnections()
	g.Eventually(proxy.conns.Load, 5*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 1))
	g.Consistently(fleet.evacuations, 500*time.Millisecond, 20*time.Millisecond).Should(Equal([][]string{{"a"}}))
	replica.setEvacuations(&evacuation.Set{Revision: 6})
	g.Eventually(fleet.evacuations, 5*time.Second, 5*time.Millisecond).Should(Equal([][]string{{"a"}, nil}))
}

// TestRouterLearnsOfAReturnThatItMissed guards against a router that treats servers as warm after an
// evacuation of which it did not know, because it was cut off from control meanwhile. A router that
// starts knows of no return.
func TestRouterLearnsOfAReturnThatItMissed(t *testing.T) {
	g := NewWithT(t)
	replica, _, proxy := startReplica(t)
	replica.setEvacuations(&evacuation.Set{Revision: 3, Returned: map[string]uint64{"a": 3}})
	view, fleet := startRouter(t, "router", proxy.address)
	g.Eventually(generationOf(view), 5*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	g.Expect(fleet.returnedDomains()).To(BeEmpty())
	replica.setEvacuations(&evacuation.Set{Revision: 5, Returned: map[string]uint64{"a": 3, "b": 5}})
	g.Eventually(fleet.returnedDomains, 5*time.Second, 5*time.Millisecond).Should(Equal([]string{"b"}))
}

// TestDomainsOfTheRegistry checks the failure domains that an operator may name if the settings
// list none.
func TestDomainsOfTheRegistry(t *testing.T) {
	g := NewWithT(t)
	service := newTestService(t, newFakeReplica(), reserveAddress(t))
	for i, domain := range []string{"b", "a", "b"} {
		server := testServer(i)
		server.Domain = domain
		server.State = registry.StateReady
		g.Expect(service.Announce(context.Background(), server)).To(Succeed())
	}
	domains, complete := service.Domains()
	g.Expect(domains).To(Equal([]string{"a", "b"}))
	g.Expect(complete).To(BeFalse(), "another replica may know more")
	g.Expect(fleetsync.FromEvacuations(nil)).To(Equal(&evacuation.Set{}))
}
