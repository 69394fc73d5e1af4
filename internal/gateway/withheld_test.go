package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/registry"
)

// TestRequestIsNotWrittenToADomainEvacuatedSinceItsChoice guards against a request that was assigned to a
// server before an evacuation and is written after it, because its connection was slow or the process
// was frozen.
func TestRequestIsNotWrittenToADomainEvacuatedSinceItsChoice(t *testing.T) {
	g := NewWithT(t)
	gw := New("d0", nil, 0, quarantine.NewStore("r", zerolog.Nop()), zerolog.Nop())
	gw.SetServers([]registry.Entry{{Server: registry.Server{
		ID: "a", Pool: "p", Address: "127.0.0.1:1", Domain: "d0", Slots: 4, State: registry.StateReady,
	}}})
	lease, err := gw.pools.get("p", nil).acquire(t.Context(), placement.Request{}, 0, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lease.confirmSend(backend.ConnInfo{New: true})).To(Succeed())
	gw.SetEvacuated([]string{"d0"}, nil)
	g.Expect(lease.confirmSend(backend.ConnInfo{New: true})).To(MatchError(errEvacuated))
	gw.SetEvacuated(nil, nil)
	g.Expect(lease.confirmSend(backend.ConnInfo{New: true})).To(Succeed())
}
