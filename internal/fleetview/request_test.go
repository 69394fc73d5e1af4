package fleetview_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/fleetview"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// serverSink is a Fleet that discards the servers.
type serverSink struct{ fleetview.Fleet }

func (serverSink) SetServers([]registry.Entry) {}

func newTestView(t *testing.T) *fleetview.View {
	return fleetview.New(fleetview.Config{
		Instance: "router-1", Address: "127.0.0.1:1", Seeds: []string{"127.0.0.1:2"}, Fleet: serverSink{},
		Losses: quarantine.NewStore("router-1", zerolog.Nop()),
	}, zerolog.Nop())
}

func serverRecord(i int, state registry.State) *fleetpb.Server {
	return &fleetpb.Server{Id: fmt.Sprintf("i-%010d", i), Born: 1000, Sequence: uint64(state), Pool: "pool-a", State: uint32(state)}
}

// TestSubscriptionIsPreparedOncePerChange guards against routers that compute the digests of all servers
// with each attempt to subscribe, and against subscriptions that state records of the past: the
// source would not send what the router lacks.
func TestSubscriptionIsPreparedOncePerChange(t *testing.T) {
	for _, count := range []int{10, 3000} {
		t.Run(fmt.Sprint(count, " servers"), func(t *testing.T) {
			g := NewWithT(t)
			view := newTestView(t)
			event := &fleetpb.FollowEvent{First: true}
			for i := range count {
				event.Servers = append(event.Servers, serverRecord(i, registry.StateReady))
			}
			g.Expect(view.Receive("127.0.0.1:2", event)).To(Succeed())
			before := view.Request()
			g.Expect(testing.AllocsPerRun(10, func() { view.Request() })).To(BeNumerically("<", 10))
			g.Expect(view.Receive("127.0.0.1:2", &fleetpb.FollowEvent{Servers: []*fleetpb.Server{serverRecord(7, registry.StateDraining)}})).To(Succeed())
			after := view.Request()
			g.Expect(after.GetBucketDigests()).To(HaveLen(len(before.GetBucketDigests())))
			g.Expect(after.String()).NotTo(Equal(before.String()))
		})
	}
}
