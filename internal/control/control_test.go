package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/lifecycle"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const waitTimeout = "60s"

// newControl runs a control group with one replica; its resource API listens on a free port.
func newControl(t *testing.T, dir string) *Control {
	s := &settings.Settings{
		Instance: "control-1", FailureDomain: "pwani-a", Roles: []settings.Role{settings.RoleControl},
		DataDir: dir, NameSchemes: []api.Scheme{"engine", "model"},
		Listen:   settings.Listen{Operators: "127.0.0.1:0"},
		Timeouts: settings.Timeouts{HeartbeatMS: 100},
		Peers: []settings.Peer{
			{Instance: "control-1", FailureDomain: "pwani-a", Address: "127.0.0.1:1", Roles: []settings.Role{settings.RoleControl}},
			{Instance: "router-1", FailureDomain: "pwani-a", Address: "127.0.0.1:2", Roles: []settings.Role{settings.RoleRouter}},
		},
	}
	c, err := New(s, nil, zerolog.Nop(), lifecycle.New())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.replica.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended; c.close(); _ = c.operators.Close() })
	return c
}

// newClient serves the resource API over HTTP and returns a client for it.
func newClient(t *testing.T, c *Control) *api.Client {
	NewWithT(t).Eventually(c.replica.CheckReady, waitTimeout).Should(Succeed())
	server := httptest.NewServer(c.Handler())
	t.Cleanup(func() { c.close(); server.Close() })
	return api.NewClient(strings.TrimPrefix(server.URL, "http://"), "amina")
}

// TestWatchSendsChangesAndInForceStatus checks that a watch sends a change, heartbeats, and
// the status in force after the only router has reported the revision.
func TestWatchSendsChangesAndInForceStatus(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	client := newClient(t, c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resource := &api.Resource{Kind: api.KindPools, Names: api.Names{"engine": "a"}, Spec: json.RawMessage(chatPool)}
	stored, err := client.Put(ctx, "engine:a", resource, "first")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored.Status.Phase).To(Equal(api.PhaseAccepted))

	events := make(chan *api.Event, 1024)
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, api.KindPools, "a", 0, func(event *api.Event) error {
			events <- event
			return nil
		})
	}()
	var event *api.Event
	g.Eventually(events, waitTimeout).Should(Receive(&event))
	g.Expect(event.Type).To(Equal(api.EventChange))
	g.Expect(event.Resource.UID).To(Equal(stored.UID))
	g.Eventually(events, waitTimeout).Should(Receive(HaveField("Type", api.EventHeartbeat)))

	c.leases.recordGap(time.Now().Add(-2 * leaseDuration))
	c.leases.recordDirect(time.Now(), "router-1", 1)
	g.Eventually(events, waitTimeout).Should(Receive(&event))
	for event.Type == api.EventHeartbeat {
		g.Eventually(events, waitTimeout).Should(Receive(&event))
	}
	g.Expect(event.Type).To(Equal(api.EventStatus))
	g.Expect(event.Resource.Status.Phase).To(Equal(api.PhaseInForce))
	cancel()
	<-ended
}

// TestDroppedChangesEndWatchAndGiveRouterSnapshot guards against silently missed changes: from
// a revision whose following changes the store has dropped, an operator's watch fails and a
// router receives a snapshot in several parts. From a retained revision the router receives
// only the changes.
func TestDroppedChangesEndWatchAndGiveRouterSnapshot(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	client := newClient(t, c)
	for i := range maxRetainedChanges + 2 {
		apply(c.store, putPool(fmt.Sprint(i), fmt.Sprint("p", i), 0, chatPool))
	}
	err := client.Watch(context.Background(), api.KindPools, "", 1, func(*api.Event) error { return nil })
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeRevisionGone))

	stream := &recordedStream{}
	_, err = c.sendChanges(stream, 1)
	g.Expect(err).NotTo(HaveOccurred())
	total := 0
	for i, event := range stream.events {
		g.Expect(event.GetSnapshot()).To(BeTrue())
		g.Expect(event.GetMore()).To(Equal(i < len(stream.events)-1))
		total += len(event.GetResources())
	}
	g.Expect(len(stream.events)).To(BeNumerically(">", 1), "the snapshot must be sent in several parts")
	g.Expect(total).To(Equal(maxRetainedChanges + 2))

	stream = &recordedStream{}
	_, err = c.sendChanges(stream, maxRetainedChanges)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stream.events).To(HaveLen(1))
	g.Expect(stream.events[0].GetSnapshot()).To(BeFalse())
	g.Expect(stream.events[0].GetResources()).To(HaveLen(2))
}

// recordedStream records the events sent to a router.
type recordedStream struct {
	drpc.Stream
	events []*configpb.WatchEvent
}

func (s *recordedStream) Send(event *configpb.WatchEvent) error {
	s.events = append(s.events, event)
	return nil
}

// TestClientApplyDoesNotWriteEqualResource checks that applying an equal resource again makes
// no new version, although the JSON of its spec has other white space.
func TestClientApplyDoesNotWriteEqualResource(t *testing.T) {
	g := NewWithT(t)
	client := newClient(t, newControl(t, t.TempDir()))
	resource := &api.Resource{Kind: api.KindPools, Names: api.Names{"engine": "a"}, Spec: json.RawMessage(`{"protocol": "chat"}`)}
	for range 2 {
		stored, err := client.Apply(context.Background(), resource)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stored.ResourceVersion).To(BeNumerically("==", 1))
	}
	resource.Names["model"] = "b"
	stored, err := client.Apply(context.Background(), resource)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored.ResourceVersion).To(BeNumerically("==", 2))
	_, err = client.Put(context.Background(), "model:b", resource, "")
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeVersionConflict))
}

// TestLogOfLargeChangesIsCompacted replaces a route table of 5 KB a hundred times and guards
// against a log that grows to 500 KB: an empty replica that joins receives the log, and over a
// link of 3 Mbit/s 500 KB delay the leader's heartbeats to the other replicas by more than a
// second.
func TestLogOfLargeChangesIsCompacted(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	g.Eventually(c.replica.CheckReady, waitTimeout).Should(Succeed())
	for generation := uint64(1); generation <= 100; generation++ {
		document := &routetable.Document{Generation: generation, Source: make([]byte, 5000)}
		g.Expect(c.ReplaceRouteTable(context.Background(), "test", document)).To(Succeed())
	}
	status := c.replica.Status()
	g.Expect(status.LogBytes).To(BeNumerically("<", 80<<10))
	g.Expect(status.SnapshotBytes).To(BeNumerically("<", 40<<10))
	g.Expect(c.store.RouteTable().Generation).To(Equal(uint64(100)))
}
