package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

func orderCommand(domain string, evacuate bool, base uint64) *Command {
	command := newCommand(api.VerbEvacuate, "", "amina")
	command.Evacuation = &evacuation.Order{Domain: domain, Evacuate: evacuate, Base: base}
	return command
}

// newEvacuationControl runs a control group with one replica that knows two failure domains, and
// serves the evacuation API on the returned address.
func newEvacuationControl(t *testing.T, dir string) (*Control, string) {
	g := NewWithT(t)
	c := newControl(t, dir)
	c.settings.Domains = []string{"a", "b/ä ?"}
	g.Eventually(c.replica.CheckReady, waitTimeout).Should(Succeed())
	mux := http.NewServeMux()
	c.handleEvacuations(mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = httpx.Serve(ctx, listener, mux, time.Second)
	}()
	t.Cleanup(func() { c.close(); cancel(); <-served })
	return c, listener.Addr().String()
}

// TestRetryOfAnEvacuationReturnsTheFirstOutcome guards against a proposal that is committed twice,
// as after a change of the leader: the second time it must neither fail nor count as another order,
// also after a restore from a snapshot.
func TestRetryOfAnEvacuationReturnsTheFirstOutcome(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	command := orderCommand("a", true, 0)
	g.Expect(codeOf(apply(s, command))).To(Equal(api.CodeOK))
	for _, store := range []*Store{s, restoredFromSnapshot(g, s)} {
		g.Expect(codeOf(apply(store, command))).To(Equal(api.CodeOK))
		g.Expect(codeOf(apply(store, orderCommand("a", false, 0)))).To(Equal(api.CodeVersionConflict))
		g.Expect(store.Evacuations()).To(Equal(&evacuation.Set{Revision: 1, Domains: []string{"a"}}))
		g.Expect(store.evacuationOf("a").Orders).To(BeNumerically("==", 1))
		g.Expect(store.Revision()).To(BeZero(), "the revision of the resources is another one")
		other := *command
		other.Evacuation = &evacuation.Order{Domain: "b", Evacuate: true}
		g.Expect(codeOf(apply(store, &other))).To(Equal(api.CodeRequestIDReused), "the digest covers the order")
	}
}

// TestOrdersOfTwoOperators guards against an acknowledged order without effect while operators give
// contradicting orders concurrently: the state after all calls is that of the last change, every
// order succeeds, and the audit trail alternates.
func TestOrdersOfTwoOperators(t *testing.T) {
	g := NewWithT(t)
	c, address := newEvacuationControl(t, t.TempDir())
	var calls sync.WaitGroup
	for i := range 8 {
		calls.Go(func() {
			client := api.NewClient(address, fmt.Sprint("operator-", i))
			order := client.Evacuate
			if i%2 == 1 {
				order = client.Reinstate
			}
			for range 5 {
				if _, err := order(context.Background(), "b/ä ?", ""); err != nil {
					t.Error(err)
				}
			}
		})
	}
	calls.Wait()
	g.Expect(c.store.evacuationOf("b/ä ?").Orders).To(BeNumerically("==", 40))
	trail, err := api.NewClient(address, "amina").EvacuationTrail(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	for i, change := range trail.Items {
		want := api.VerbEvacuate
		if i%2 == 1 {
			want = api.VerbReinstate
		}
		g.Expect(change.Verb).To(Equal(want))
		g.Expect(change.Revision).To(BeNumerically("==", i+1))
	}
	list, err := api.NewClient(address, "amina").Evacuations(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Items).To(HaveLen(len(trail.Items) % 2))
}

// TestOrderOfACallerThatHasLeftIsDropped guards against an order that a replica handles after a
// pause, when its caller has abandoned it and a later order was acknowledged elsewhere. The
// context of a request may not be cancelled yet by then, so the connection itself is checked.
func TestOrderOfACallerThatHasLeftIsDropped(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	c.settings.Domains = []string{"a"}
	g.Eventually(c.replica.CheckReady, waitTimeout).Should(Succeed())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	result := make(chan error, 1)
	mux := http.NewServeMux()
	received, resumed := make(chan struct{}), make(chan struct{})
	mux.HandleFunc("POST /", func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-resumed
		result <- c.Evacuate(context.WithoutCancel(r.Context()), "amina", "a")
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = httpx.Serve(ctx, listener, mux, time.Second) }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = caller.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(received, waitTimeout).Should(BeClosed())
	g.Expect(caller.Close()).To(Succeed())
	time.Sleep(50 * time.Millisecond)
	close(resumed)
	g.Eventually(result, waitTimeout).Should(Receive(&err))
	g.Expect(err).To(MatchError(ContainSubstring("has left")))
	g.Expect(c.store.evacuationOf("a").Orders).To(BeZero())
}

// TestUnknownDomainNamesTheKnownOnes checks that an operator's typing error is refused with the
// names to choose from, and that an evacuated domain can be reinstated after it was removed from
// the settings.
func TestUnknownDomainNamesTheKnownOnes(t *testing.T) {
	g := NewWithT(t)
	c, address := newEvacuationControl(t, t.TempDir())
	client := api.NewClient(address, "amina")
	_, err := client.Evacuate(context.Background(), "c", "")
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeDomainUnknown))
	g.Expect(err).To(MatchError(ContainSubstring(`"c"; known are a, b/ä ?`)))
	g.Expect(api.CodeDomainUnknown.Info().HTTPStatus).To(Equal(404))
	_, err = client.Reinstate(context.Background(), "c", "")
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeDomainUnknown))
	_, err = client.Evacuate(context.Background(), "a", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.selfStatus().EvacuatedDomains).To(Equal([]string{"a"}))
	c.settings.Domains = []string{"d"}
	list, err := client.Reinstate(context.Background(), "a", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Items).To(BeEmpty())
}

// TestRepeatedOrderOnADomainWithoutServers guards against a 404 for an order that took effect, but whose answer
// was lost, if the domain has no registered servers any more when the order is repeated.
func TestRepeatedOrderOnADomainWithoutServers(t *testing.T) {
	g := NewWithT(t)
	c, address := newEvacuationControl(t, t.TempDir())
	client := api.NewClient(address, "amina")
	_, err := client.Evacuate(context.Background(), "a", "")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Reinstate(context.Background(), "a", "")
	g.Expect(err).NotTo(HaveOccurred())
	c.settings.Domains = nil
	list, err := client.Reinstate(context.Background(), "a", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Items).To(BeEmpty())
	_, err = client.Reinstate(context.Background(), "c", "")
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeDomainUnknown), "without an order")
}

// TestOrderThatNoRouterWouldApplyIsRefused guards against an acknowledged order without effect on
// daemons that do not join by seeds.
func TestOrderThatNoRouterWouldApplyIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	c.settings.Domains = []string{"a"}
	client := newClient(t, c)
	_, err := client.Evacuate(context.Background(), "a", "")
	g.Expect(err).To(MatchError(ContainSubstring("join by seeds")))
	g.Expect(c.store.evacuationOf("a").Orders).To(BeZero())
}

// TestWatchOfEvacuations checks that a watch sends the current list, each later one and
// heartbeats.
func TestWatchOfEvacuations(t *testing.T) {
	g := NewWithT(t)
	_, address := newEvacuationControl(t, t.TempDir())
	client := api.NewClient(address, "amina")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := make(chan *api.EvacuationEvent, 64)
	go func() {
		_ = client.WatchEvacuations(ctx, func(event *api.EvacuationEvent) error {
			events <- event
			return nil
		})
	}()
	g.Eventually(events, waitTimeout).Should(Receive(HaveField("Type", api.EventChange)))
	g.Eventually(events, waitTimeout).Should(Receive(HaveField("Type", api.EventHeartbeat)))
	_, err := client.Evacuate(ctx, "a", "")
	g.Expect(err).NotTo(HaveOccurred())
	var event *api.EvacuationEvent
	g.Eventually(func() int {
		g.Eventually(events, waitTimeout).Should(Receive(&event))
		return len(event.Items)
	}, waitTimeout).Should(Equal(1))
	g.Expect(event.Items[0]).To(And(HaveField("Domain", "a"), HaveField("Operator", "amina")))
}
