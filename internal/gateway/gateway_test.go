package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// testDialect implements gateway.Dialect with short header names.
type testDialect struct{}

func (testDialect) ParseRequest(r *http.Request) gateway.Inbound {
	in := gateway.Inbound{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last")}
	for field := range strings.FieldsSeq(r.Header.Get("Parts")) {
		id, _ := strconv.ParseUint(field, 16, 64)
		in.PromptParts = append(in.PromptParts, placement.PromptPart{ID: id, Tokens: 100})
	}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	return in
}

func (testDialect) Forward(header http.Header, out gateway.Outbound) http.Header {
	forward := http.Header{"Id": header["Id"], "Parts": header["Parts"], "Router": header["Router"], "Wait": {strconv.FormatInt(out.Timeout.Milliseconds(), 10)}, "Expect-Id": {out.ServerID}}
	if out.LastEventID != "" {
		forward.Set("Last", out.LastEventID)
	}
	return forward
}

func (testDialect) ParseAnswer(_ int, header http.Header) gateway.Answer {
	pause, _ := time.ParseDuration(header.Get("Pause"))
	warming, _ := time.ParseDuration(header.Get("Warming"))
	perSecond, limited, stated := ratelimit.Parse(header.Values("Rate"))
	return gateway.Answer{
		Warming: warming,
		Rate:    ratelimit.Statement{PerSecond: perSecond, Limited: limited}, RateStated: stated,
		Signed: header.Get("Stamp") != "", NotRun: header.Get("Not-Run") != "", Leaving: header.Get("Leaving") != "", Pause: pause,
	}
}

func (testDialect) ForwardAnswer(header http.Header) {
	header.Del("Leaving")
	header.Del("Pause")
	header.Del("Rate")
}

func (testDialect) AnswersAttempt(id string, header http.Header, mustEcho bool) bool {
	echo := header.Get("Id")
	return echo == id || echo == "" && !mustEcho
}

func (testDialect) MarkRouterAnswer(header http.Header, id string) { header.Set("Id", id) }

// testServer is a backend server whose answers the test writes to the connection.
type testServer struct {
	id          string
	listener    net.Listener
	mu          sync.Mutex
	receivedIDs []string
	conns       []net.Conn
}

// end closes the listener and all connections, as the end of the server's process does.
func (s *testServer) end() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

// startTestServer starts a server. handle receives each request with its sequence number on
// this server, and returns false to close the connection.
func startTestServer(t *testing.T, id string, handle func(n int, conn net.Conn, r *http.Request) bool) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{id: id, listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.serve(conn, handle)
		}
	}()
	return s
}

func (s *testServer) serve(conn net.Conn, handle func(int, net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.receivedIDs = append(s.receivedIDs, r.Header.Get("Id"))
		n := len(s.receivedIDs)
		s.mu.Unlock()
		if !handle(n, conn, r) {
			return
		}
	}
}

func (s *testServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.receivedIDs)
}

func writeAnswer(conn net.Conn, r *http.Request, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), header, len(body), body)
	return err == nil
}

func answerOK(_ int, conn net.Conn, r *http.Request) bool {
	return writeAnswer(conn, r, 200, "Stamp: s\r\n", "whole")
}

type staticTable struct{ table *routetable.Table }

func (s staticTable) Table() *routetable.Table { return s.table }

func newTable(t *testing.T) *routetable.Table {
	t.Helper()
	route := func(name string, kind routetable.Kind, servers int) routetable.Route {
		return routetable.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, LatencyObjective: 200 * time.Millisecond,
			PauseObjective: 100 * time.Millisecond, MaxServers: servers, Resumable: name == "resume",
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

// startGateway starts a gateway for the servers and returns its URL.
func startGateway(t *testing.T, table *routetable.Table, servers ...*testServer) string {
	t.Helper()
	_, url := startUpdatableGateway(t, table, servers...)
	return url
}

// startUpdatableGateway starts a gateway for the servers and returns it with its URL.
func startUpdatableGateway(t *testing.T, table *routetable.Table, servers ...*testServer) (*gateway.Gateway, string) {
	t.Helper()
	g := gateway.New("zone", testDialect{}, 0, quarantine.NewStore("router", zerolog.Nop()), zerolog.Nop())
	g.SetTableSource(staticTable{table})
	g.SetServers(entriesOf(servers))
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = g.Run(ctx) }()
	return g, server.URL
}

func entriesOf(servers []*testServer) []registry.Entry {
	var entries []registry.Entry
	for _, s := range servers {
		entries = append(entries, registry.Entry{Server: registry.Server{
			ID: s.id, Pool: "p", Address: s.listener.Addr().String(), Domain: "zone", Slots: 4, State: registry.StateReady,
		}})
	}
	return entries
}

type answer struct {
	status int
	header http.Header
	body   string
	// closes reports whether the answer announces the close of its connection.
	closes bool
	err    error
}

func send(t *testing.T, url, path string, header ...string) answer {
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
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

func TestCompleteAnswerIsForwarded(t *testing.T) {
	g := NewWithT(t)
	url := startGateway(t, newTable(t), startTestServer(t, "a", answerOK))
	got := send(t, url, "/unsafe/x")
	g.Expect(got.status).To(Equal(200))
	g.Expect(got.body).To(Equal("whole"))
	g.Expect(got.header.Get("Stamp")).To(Equal("s"))
}

// TestRouterWithoutTableRefusesAsNotRun guards against a refusal that leaves open whether
// the request ran, or whose Retry-After exceeds the time that the caller has left.
func TestRouterWithoutTableRefusesAsNotRun(t *testing.T) {
	g := NewWithT(t)
	got := send(t, startGateway(t, nil, startTestServer(t, "a", answerOK)), "/safe/x", "Wait", "600")
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.body).To(ContainSubstring(`"outcome":"not_run"`))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(And(BeNumerically(">", 0), BeNumerically("<=", 0.2)), "at most 0.3 of the caller's timeout")
}

func TestUnknownRoutesAndKeysAreRefused(t *testing.T) {
	g := NewWithT(t)
	url := startGateway(t, newTable(t), startTestServer(t, "a", answerOK))
	g.Expect(send(t, url, "/other/x").status).To(Equal(404))
	g.Expect(send(t, url, "/safe/x", "Key", "no").status).To(Equal(401))
}

// TestUnsafeRequestIsNotRetriedAfterWrite guards against running a non-idempotent request
// twice: a server that closes the connection after the request may have run it.
func TestUnsafeRequestIsNotRetriedAfterWrite(t *testing.T) {
	g := NewWithT(t)
	closeConn := func(int, net.Conn, *http.Request) bool { return false }
	a, b := startTestServer(t, "a", closeConn), startTestServer(t, "b", closeConn)
	got := send(t, startGateway(t, newTable(t), a, b), "/unsafe/x")
	g.Expect(got.status).To(Equal(502), "503 would report that no server ran it")
	g.Expect(a.requestCount() + b.requestCount()).To(Equal(1))
	g.Expect(got.body).To(ContainSubstring(`"outcome":"may_have_run"`))
}

func TestSafeRequestIsRetriedAfterServerError(t *testing.T) {
	g := NewWithT(t)
	failRequest := func(_ int, conn net.Conn, r *http.Request) bool { return writeAnswer(conn, r, 500, "Stamp: s\r\n", "") }
	a, b := startTestServer(t, "a", failRequest), startTestServer(t, "b", answerOK)
	url := startGateway(t, newTable(t), a, b)
	for range 3 {
		g.Expect(send(t, url, "/safe/x").status).To(Equal(200))
	}
	g.Expect(b.requestCount()).To(Equal(3))
}

// TestRefusedRequestIsRetriedForAnyRouteKind guards against failing a non-idempotent request
// that a server certainly did not run.
func TestRefusedRequestIsRetriedForAnyRouteKind(t *testing.T) {
	g := NewWithT(t)
	refuse := func(_ int, conn net.Conn, r *http.Request) bool {
		return writeAnswer(conn, r, 503, "Not-Run: 1\r\n", "")
	}
	a, b := startTestServer(t, "a", refuse), startTestServer(t, "b", answerOK)
	url := startGateway(t, newTable(t), a, b)
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(200))
	url = startGateway(t, newTable(t), a)
	got := send(t, url, "/unsafe/x")
	g.Expect(got.status).To(Equal(503), "no server ran it")
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestDeclaredBodiesTakeNoMemory guards against callers that end one router after the other by
// declaring large bodies without sending them.
func TestDeclaredBodiesTakeNoMemory(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t)
	table.Limits.MaxBodyBytes = 4 << 20
	address := strings.TrimPrefix(startGateway(t, table, startTestServer(t, "a", answerOK)), "http://")
	heap := func() int {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	before := heap()
	for range 50 {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: i\r\nKey: key\r\nContent-Length: 4194304\r\n\r\nstart")
		g.Expect(err).NotTo(HaveOccurred())
	}
	time.Sleep(200 * time.Millisecond)
	g.Expect(heap()-before).To(BeNumerically("<", 20<<20), "bytes for 50 requests of 5 bytes")
}

// TestTruncatedAnswerIsNotForwarded guards against a partial body that looks complete: the
// server closes the connection before Content-Length bytes.
func TestTruncatedAnswerIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	truncate := func(_ int, conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 100\r\n\r\npart", r.Header.Get("Id"))
		return false
	}
	url := startGateway(t, newTable(t), startTestServer(t, "a", truncate))
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(502))
}

// TestAnswerThatEndsAfterItsHeadIsNotForwarded guards against an empty answer that looks complete:
// the server closes the connection after a head without a length.
func TestAnswerThatEndsAfterItsHeadIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	url := startGateway(t, newTable(t), startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n", r.Header.Get("Id"))
		return false
	}))
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(502))
}

func TestUnsignedAnswerIsNotForwardedAsSuccess(t *testing.T) {
	g := NewWithT(t)
	unsigned := func(_ int, conn net.Conn, r *http.Request) bool { return writeAnswer(conn, r, 200, "", "odd") }
	url := startGateway(t, newTable(t), startTestServer(t, "a", unsigned))
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(502))
}

func TestDeadlineCancelsRequestAtServer(t *testing.T) {
	g := NewWithT(t)
	disconnected := make(chan struct{})
	hang := func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(disconnected)
		return false
	}
	url := startGateway(t, newTable(t), startTestServer(t, "a", hang))
	start := time.Now()
	got := send(t, url, "/unsafe/x", "Wait", "300")
	g.Expect(got.status).To(Equal(504))
	g.Expect(time.Since(start)).To(BeNumerically("<", 700*time.Millisecond))
	g.Eventually(disconnected).Should(BeClosed(), "the gateway closes the connection to the server")
}

func eventText(from, to int) string {
	var out strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return out.String()
}

func writeStreamHead(conn net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func writeChunk(conn net.Conn, text string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}

// breakStreamAfter streams events up to last and closes the connection inside the next one. A
// request with a last event ID is answered with the events after it, up to 10.
func breakStreamAfter(last int) func(int, net.Conn, *http.Request) bool {
	return func(_ int, conn net.Conn, r *http.Request) bool {
		writeStreamHead(conn, r)
		if from, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			writeChunk(conn, eventText(from+1, 10))
			writeChunk(conn, "")
			return true
		}
		writeChunk(conn, eventText(1, last)+"id: 99\nda")
		return false
	}
}

// TestStreamResumesOnAnotherServer guards against lost, repeated or partial events when a
// server closes the connection in the middle of an event.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	g := NewWithT(t)
	url := startGateway(t, newTable(t), startTestServer(t, "a", breakStreamAfter(5)), startTestServer(t, "b", breakStreamAfter(5)))
	got := send(t, url, "/resume/x")
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.body).To(Equal(eventText(1, 10)), "each event exactly once and complete")
}

// TestStreamIsAbortedIfNotResumable guards against a broken stream that looks complete to
// the caller, and against sending it to a second server.
func TestStreamIsAbortedIfNotResumable(t *testing.T) {
	g := NewWithT(t)
	a, b := startTestServer(t, "a", breakStreamAfter(5)), startTestServer(t, "b", breakStreamAfter(5))
	got := send(t, startGateway(t, newTable(t), a, b), "/stream/x")
	g.Expect(got.err).To(HaveOccurred())
	g.Expect(a.requestCount() + b.requestCount()).To(Equal(1))
}

func TestCallerDisconnectCancelsRequestAtServer(t *testing.T) {
	g := NewWithT(t)
	disconnected := make(chan struct{})
	hang := func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(disconnected)
		return false
	}
	s := startTestServer(t, "a", hang)
	url := startGateway(t, newTable(t), s)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/safe/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Key", "key")
	go func() {
		for s.requestCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(r)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(disconnected).Should(BeClosed())
}

func TestDrainingServerReceivesNoNewRequest(t *testing.T) {
	g := NewWithT(t)
	a, b := startTestServer(t, "a", answerOK), startTestServer(t, "b", answerOK)
	gw := gateway.New("zone", testDialect{}, 0, quarantine.NewStore("router", zerolog.Nop()), zerolog.Nop())
	gw.SetTableSource(staticTable{newTable(t)})
	entry := func(s *testServer, state registry.State) registry.Entry {
		return registry.Entry{Server: registry.Server{
			ID: s.id, Pool: "p", Address: s.listener.Addr().String(), Slots: 4, State: state,
		}}
	}
	server := httptest.NewServer(gw)
	defer server.Close()
	gw.SetServers([]registry.Entry{entry(a, registry.StateDraining), entry(b, registry.StateReady)})
	for range 5 {
		g.Expect(send(t, server.URL, "/safe/x").status).To(Equal(200))
	}
	g.Expect(a.requestCount()).To(BeZero())
	gw.SetServers([]registry.Entry{entry(b, registry.StateGone)})
	g.Expect(send(t, server.URL, "/safe/x").status).To(Equal(503))
}

// TestUnreachableServersCostNoRetryBudget guards against refusing a request because one
// server is unreachable while the retry budget is spent. Refusals spend the budget first.
// A failed connection attempt sends nothing, so that the next send costs no budget.
func TestUnreachableServersCostNoRetryBudget(t *testing.T) {
	g := NewWithT(t)
	refuse := func(_ int, conn net.Conn, r *http.Request) bool {
		return writeAnswer(conn, r, 503, "Not-Run: 1\r\n", "")
	}
	refusing, unreachable, healthy := startTestServer(t, "r", refuse), startTestServer(t, "a", answerOK), startTestServer(t, "c", answerOK)
	_ = unreachable.listener.Close()
	gw := gateway.New("zone", testDialect{}, 0, quarantine.NewStore("router", zerolog.Nop()), zerolog.Nop())
	gw.SetTableSource(staticTable{newTable(t)})
	server := httptest.NewServer(gw)
	defer server.Close()
	setServers := func(servers ...*testServer) {
		var entries []registry.Entry
		for _, s := range servers {
			entries = append(entries, registry.Entry{Server: registry.Server{
				ID: s.id, Pool: "p", Address: s.listener.Addr().String(), Domain: s.id, Slots: 4, State: registry.StateReady,
			}})
		}
		gw.SetServers(entries)
	}
	setServers(refusing)
	for range 5 {
		g.Expect(send(t, server.URL, "/unsafe/x").status).To(Equal(503))
	}
	setServers(unreachable, healthy)
	g.Expect(send(t, server.URL, "/unsafe/x").status).To(Equal(200))
	g.Expect(healthy.requestCount()).To(Equal(1))
}

// breakThenAnswer streams events up to last and closes the connection inside the next one, and
// answers a resumed request with the given function.
func breakThenAnswer(last int, resumed func(net.Conn, *http.Request) bool) func(int, net.Conn, *http.Request) bool {
	return func(_ int, conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Last") != "" {
			return resumed(conn, r)
		}
		writeStreamHead(conn, r)
		writeChunk(conn, eventText(1, last)+"id: 99\nda")
		return false
	}
}

// TestOtherAnswerDoesNotContinueStream guards against the text or the head of an error in the
// middle of a caller's stream, and against a broken stream that looks complete: the server that
// should resume the stream answers otherwise.
func TestOtherAnswerDoesNotContinueStream(t *testing.T) {
	for name, resumed := range map[string]func(net.Conn, *http.Request) bool{
		"server error": func(conn net.Conn, r *http.Request) bool { return writeAnswer(conn, r, 500, "Stamp: s\r\n", "failed") },
		"client error": func(conn net.Conn, r *http.Request) bool {
			return writeAnswer(conn, r, 409, "Stamp: s\r\n", "conflict")
		},
		"no stream": func(conn net.Conn, r *http.Request) bool { return writeAnswer(conn, r, 200, "Stamp: s\r\n", "whole") },
		"error stream": func(conn net.Conn, r *http.Request) bool {
			return writeAnswer(conn, r, 404, "Stamp: s\r\nContent-Type: text/event-stream\r\n", eventText(6, 10))
		},
		"empty stream without length": func(conn net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
			return false
		},
	} {
		g := NewWithT(t)
		a, b := startTestServer(t, "a", breakThenAnswer(5, resumed)), startTestServer(t, "b", breakThenAnswer(5, resumed))
		got := send(t, startGateway(t, newTable(t), a, b), "/resume/x")
		g.Expect(got.err).To(HaveOccurred(), "%s: the stream is aborted", name)
		g.Expect(got.body).To(Equal(eventText(1, 5)), name)
	}
}

// TestStreamWithoutLengthEndsWithItsConnection guards against treating a stream that has neither
// a length nor chunks as broken, and one that ends before its first event as complete.
func TestStreamWithoutLengthEndsWithItsConnection(t *testing.T) {
	g := NewWithT(t)
	stream := func(events string) func(int, net.Conn, *http.Request) bool {
		return func(_ int, conn net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), events)
			return false
		}
	}
	got := send(t, startGateway(t, newTable(t), startTestServer(t, "a", stream(eventText(1, 10)))), "/stream/x")
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.body).To(Equal(eventText(1, 10)))
	got = send(t, startGateway(t, newTable(t), startTestServer(t, "a", stream(""))), "/stream/x")
	g.Expect(got.status).To(Equal(502))
}

// TestRepeatedRefusalDoesNotAnswerNextRequest guards against telling a caller "not run" about a
// request that runs: a faulty server writes the refusal of an earlier request once more, with and
// without that request's ID, when the next one arrives on the connection.
func TestRepeatedRefusalDoesNotAnswerNextRequest(t *testing.T) {
	for _, withID := range []bool{true, false} {
		g := NewWithT(t)
		refusal := func(id string) string {
			if !withID {
				return "HTTP/1.1 503 X\r\nNot-Run: 1\r\nLeaving: 1\r\nPause: 1m\r\nContent-Length: 0\r\n\r\n"
			}
			return "HTTP/1.1 503 X\r\nId: " + id + "\r\nNot-Run: 1\r\nLeaving: 1\r\nPause: 1m\r\nContent-Length: 0\r\n\r\n"
		}
		s := startTestServer(t, "a", func(n int, conn net.Conn, r *http.Request) bool {
			if n == 1 {
				return writeAnswer(conn, r, 503, "Not-Run: 1\r\n", "")
			}
			_, _ = io.WriteString(conn, refusal("first"))
			time.Sleep(20 * time.Millisecond)
			return answerOK(n, conn, r)
		})
		url := startGateway(t, newTable(t), s)
		g.Expect(send(t, url, "/unsafe/x", "Id", "first").status).To(Or(Equal(503), Equal(502)))
		got := send(t, url, "/unsafe/x", "Id", "second")
		g.Expect(got.body).To(Equal("whole"), "with ID: %v", withID)
		g.Expect(send(t, url, "/unsafe/x", "Id", "third").body).To(Equal("whole"), "the copy says nothing about the server")
	}
}

// TestDrainingGatewayAdmitsOnlyWhatItCanFinish guards against a request that a stopping router
// admits late and aborts: a kept connection delivers the next request as soon as its answer ends.
func TestDrainingGatewayAdmitsOnlyWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	server := startTestServer(t, "a", answerOK)
	gateway, url := startUpdatableGateway(t, newTable(t), server)
	gateway.AnnounceDrain(time.Now().Add(time.Second))
	answered := send(t, url, "/unsafe/x", "Wait", "700")
	g.Expect(answered.status).To(Equal(200))
	g.Expect(answered.closes).To(BeTrue())
	for _, wait := range []string{"1100", ""} {
		refused := send(t, url, "/unsafe/x", "Wait", wait)
		g.Expect(refused.status).To(Equal(503))
		g.Expect(refused.closes).To(BeTrue())
		g.Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(BeNumerically("<", 0.01))
		g.Expect(refused.body).To(ContainSubstring("not_run"))
	}
	g.Expect(server.requestCount()).To(Equal(1))
}
