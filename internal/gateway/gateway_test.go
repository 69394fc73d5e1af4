package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// testDialect has short names for the headers.
type testDialect struct{}

func (testDialect) ParseRequest(r *http.Request) gateway.Inbound {
	in := gateway.Inbound{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEvent: r.Header.Get("Last")}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	return in
}

func (testDialect) Forward(header http.Header, out gateway.Outbound) http.Header {
	forward := http.Header{"Id": header["Id"], "Wait": {strconv.FormatInt(out.Timeout.Milliseconds(), 10)}, "Expect-Id": {out.Server}}
	if out.LastEvent != "" {
		forward.Set("Last", out.LastEvent)
	}
	return forward
}

func (testDialect) ParseAnswer(_ int, header http.Header) gateway.Answer {
	return gateway.Answer{Signed: header.Get("Stamp") != "", NotRun: header.Get("Not-Run") != ""}
}

func (testDialect) AnswersAttempt(id string, header http.Header) bool { return header.Get("Id") == id }

func (testDialect) MarkRouterAnswer(header http.Header, id string) { header.Set("Id", id) }

// worker is a backend server whose answers the test writes byte by byte.
type worker struct {
	id       string
	listener net.Listener
	mu       sync.Mutex
	ran      []string
}

// startWorker starts a server; handle gets each request with the number that it
// has on this server, and returns false to close the connection.
func startWorker(t *testing.T, id string, handle func(n int, conn net.Conn, r *http.Request) bool) *worker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &worker{id: id, listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn, handle)
		}
	}()
	return w
}

func (w *worker) serve(conn net.Conn, handle func(int, net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.mu.Lock()
		w.ran = append(w.ran, r.Header.Get("Id"))
		n := len(w.ran)
		w.mu.Unlock()
		if !handle(n, conn, r) {
			return
		}
	}
}

func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ran)
}

func reply(conn net.Conn, r *http.Request, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), header, len(body), body)
	return err == nil
}

func ok(_ int, conn net.Conn, r *http.Request) bool {
	return reply(conn, r, 200, "Stamp: s\r\n", "whole")
}

type fixedTable struct{ table *routetable.Table }

func (f fixedTable) Table() *routetable.Table { return f.table }

func newTable(t *testing.T) *routetable.Table {
	t.Helper()
	route := func(name string, kind routetable.Kind, servers int) routetable.Route {
		return routetable.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
			LongestPause: 100 * time.Millisecond, MaxServers: servers, Resumable: name == "resume",
			Targets: []routetable.Target{{Pool: "p", Weight: 1}},
		}
	}
	table := &routetable.Table{
		Generation: 1, Pools: []routetable.Pool{{Name: "p"}},
		Routes: []routetable.Route{
			route("safe", routetable.KindSafe, 2), route("unsafe", routetable.KindUnsafe, 2),
			route("stream", routetable.KindStream, 2), route("resume", routetable.KindStream, 3),
		},
		Customers: []routetable.Customer{{Name: "c", Keys: []string{"key"}}},
		Limits:    routetable.Limits{MaxBodyBytes: 1000},
	}
	if err := table.Validate(); err != nil {
		t.Fatal(err)
	}
	return table
}

// serve returns the address of a gateway before the workers.
func serve(t *testing.T, table *routetable.Table, workers ...*worker) string {
	t.Helper()
	g := gateway.New("zone", testDialect{}, zerolog.Nop())
	g.SetTableSource(fixedTable{table})
	var entries []registry.Entry
	for _, w := range workers {
		entries = append(entries, registry.Entry{Server: registry.Server{
			ID: w.id, Pool: "p", Address: w.listener.Addr().String(), Domain: "zone", Slots: 4, State: registry.StateReady,
		}})
	}
	g.SetServers(entries)
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = g.Run(ctx) }()
	return server.URL
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func ask(t *testing.T, url, path string, header ...string) result {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "attempt")
	r.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func TestAWholeAnswerIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	url := serve(t, newTable(t), startWorker(t, "a", ok))
	got := ask(t, url, "/unsafe/x")
	g.Expect(got.status).To(Equal(200))
	g.Expect(got.body).To(Equal("whole"))
	g.Expect(got.header.Get("Stamp")).To(Equal("s"))
}

func TestARouterWithoutATableRefusesWithAPromise(t *testing.T) {
	g := NewWithT(t)
	got := ask(t, serve(t, nil, startWorker(t, "a", ok)), "/safe/x", "Wait", "600")
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.body).To(ContainSubstring(`"outcome":"not_run"`))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(And(BeNumerically(">", 0), BeNumerically("<=", 0.2)), "a third of the time that the caller has")
}

func TestUnknownRoutesAndKeysAreRefused(t *testing.T) {
	g := NewWithT(t)
	url := serve(t, newTable(t), startWorker(t, "a", ok))
	g.Expect(ask(t, url, "/other/x").status).To(Equal(404))
	g.Expect(ask(t, url, "/safe/x", "Key", "no").status).To(Equal(401))
}

func TestAnUnsafeRequestIsNotSentAgainAfterItWasWritten(t *testing.T) {
	g := NewWithT(t)
	closes := func(int, net.Conn, *http.Request) bool { return false }
	a, b := startWorker(t, "a", closes), startWorker(t, "b", closes)
	got := ask(t, serve(t, newTable(t), a, b), "/unsafe/x")
	g.Expect(got.status).To(Equal(502), "503 would promise that it has not run")
	g.Expect(a.count() + b.count()).To(Equal(1))
	g.Expect(got.body).To(ContainSubstring(`"outcome":"may_have_run"`))
}

func TestASafeRequestIsSentToAnotherServer(t *testing.T) {
	g := NewWithT(t)
	first := func(_ int, conn net.Conn, r *http.Request) bool { return reply(conn, r, 500, "Stamp: s\r\n", "") }
	a, b := startWorker(t, "a", first), startWorker(t, "b", ok)
	url := serve(t, newTable(t), a, b)
	for range 3 {
		g.Expect(ask(t, url, "/safe/x").status).To(Equal(200))
	}
	g.Expect(b.count()).To(Equal(3))
}

func TestARefusedRequestGoesToAnotherServerWhateverItsKind(t *testing.T) {
	g := NewWithT(t)
	full := func(_ int, conn net.Conn, r *http.Request) bool { return reply(conn, r, 503, "Not-Run: 1\r\n", "") }
	a, b := startWorker(t, "a", full), startWorker(t, "b", ok)
	url := serve(t, newTable(t), a, b)
	g.Expect(ask(t, url, "/unsafe/x").status).To(Equal(200))
	url = serve(t, newTable(t), a)
	got := ask(t, url, "/unsafe/x")
	g.Expect(got.status).To(Equal(503), "no server has run it")
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestAnAnswerThatIsCutShortIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	cut := func(_ int, conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 100\r\n\r\npart", r.Header.Get("Id"))
		return false
	}
	url := serve(t, newTable(t), startWorker(t, "a", cut))
	g.Expect(ask(t, url, "/unsafe/x").status).To(Equal(502))
}

func TestAnUnsignedAnswerIsNotPassedOnAsSuccess(t *testing.T) {
	g := NewWithT(t)
	unsigned := func(_ int, conn net.Conn, r *http.Request) bool { return reply(conn, r, 200, "", "odd") }
	url := serve(t, newTable(t), startWorker(t, "a", unsigned))
	g.Expect(ask(t, url, "/unsafe/x").status).To(Equal(502))
}

func TestTheTimeLimitOfTheRouteEndsARequest(t *testing.T) {
	g := NewWithT(t)
	left := make(chan struct{})
	hang := func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(left)
		return false
	}
	url := serve(t, newTable(t), startWorker(t, "a", hang))
	begun := time.Now()
	got := ask(t, url, "/unsafe/x", "Wait", "300")
	g.Expect(got.status).To(Equal(504))
	g.Expect(time.Since(begun)).To(BeNumerically("<", 700*time.Millisecond))
	g.Eventually(left).Should(BeClosed(), "the server is told by the end of its connection")
}

func events(from, to int) string {
	var out strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return out.String()
}

func streamHead(conn net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func chunk(conn net.Conn, text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// breaksAfter streams five events and stops inside the sixth, or goes on after
// the last event that the request names.
func breaksAfter(last int) func(int, net.Conn, *http.Request) bool {
	return func(_ int, conn net.Conn, r *http.Request) bool {
		streamHead(conn, r)
		if from, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			chunk(conn, events(from+1, 10))
			chunk(conn, "")
			return true
		}
		chunk(conn, events(1, last)+"id: 99\nda")
		return false
	}
}

func TestAStreamGoesOnAtAnotherServer(t *testing.T) {
	g := NewWithT(t)
	url := serve(t, newTable(t), startWorker(t, "a", breaksAfter(5)), startWorker(t, "b", breaksAfter(5)))
	got := ask(t, url, "/resume/x")
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.body).To(Equal(events(1, 10)), "each event once, none in part")
}

func TestAStreamThatMayNotGoOnDoesNotLookComplete(t *testing.T) {
	g := NewWithT(t)
	a, b := startWorker(t, "a", breaksAfter(5)), startWorker(t, "b", breaksAfter(5))
	got := ask(t, serve(t, newTable(t), a, b), "/stream/x")
	g.Expect(got.err).To(HaveOccurred())
	g.Expect(a.count() + b.count()).To(Equal(1))
}

func TestACallerThatLeavesEndsItsRequestAtTheServer(t *testing.T) {
	g := NewWithT(t)
	left := make(chan struct{})
	hang := func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(left)
		return false
	}
	w := startWorker(t, "a", hang)
	url := serve(t, newTable(t), w)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/safe/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Key", "key")
	go func() {
		for w.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(r)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(left).Should(BeClosed())
}

func TestALeavingServerGetsNoFurtherRequest(t *testing.T) {
	g := NewWithT(t)
	a, b := startWorker(t, "a", ok), startWorker(t, "b", ok)
	gw := gateway.New("zone", testDialect{}, zerolog.Nop())
	gw.SetTableSource(fixedTable{newTable(t)})
	entry := func(w *worker, state registry.State) registry.Entry {
		return registry.Entry{Server: registry.Server{
			ID: w.id, Pool: "p", Address: w.listener.Addr().String(), Slots: 4, State: state,
		}}
	}
	server := httptest.NewServer(gw)
	defer server.Close()
	gw.SetServers([]registry.Entry{entry(a, registry.StateDraining), entry(b, registry.StateReady)})
	for range 5 {
		g.Expect(ask(t, server.URL, "/safe/x").status).To(Equal(200))
	}
	g.Expect(a.count()).To(BeZero())
	gw.SetServers([]registry.Entry{entry(b, registry.StateGone)})
	g.Expect(ask(t, server.URL, "/safe/x").status).To(Equal(503))
}

// TestServersOutOfReachCostNoRepeats spends the pool's repeats on refusals first. A
// server that cannot be reached has received nothing, so it needs none of them.
func TestServersOutOfReachCostNoRepeats(t *testing.T) {
	g := NewWithT(t)
	full := func(_ int, conn net.Conn, r *http.Request) bool { return reply(conn, r, 503, "Not-Run: 1\r\n", "") }
	refusing, gone, sound := startWorker(t, "r", full), startWorker(t, "a", ok), startWorker(t, "c", ok)
	_ = gone.listener.Close()
	gw := gateway.New("zone", testDialect{}, zerolog.Nop())
	gw.SetTableSource(fixedTable{newTable(t)})
	server := httptest.NewServer(gw)
	defer server.Close()
	use := func(workers ...*worker) {
		var entries []registry.Entry
		for _, w := range workers {
			entries = append(entries, registry.Entry{Server: registry.Server{
				ID: w.id, Pool: "p", Address: w.listener.Addr().String(), Domain: w.id, Slots: 4, State: registry.StateReady,
			}})
		}
		gw.SetServers(entries)
	}
	use(refusing)
	for range 5 {
		g.Expect(ask(t, server.URL, "/unsafe/x").status).To(Equal(503))
	}
	use(gone, sound)
	g.Expect(ask(t, server.URL, "/unsafe/x").status).To(Equal(200))
	g.Expect(sound.count()).To(Equal(1))
}
