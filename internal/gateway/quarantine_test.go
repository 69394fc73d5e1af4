package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/quarantine"
)

const (
	commonPart  = "a1"
	subjectPart = "b2"
	deadlyPart  = "dead"
	// contactTime is ContactMs of the users' platform: the time from the fifth end of a server
	// from which at most three requests with the part may reach servers.
	contactTime = 3 * time.Second
)

// fragileServers are servers that end when they begin to answer a prompt with the deadly part.
type fragileServers struct {
	mu       sync.Mutex
	alive    []*testServer
	ended    int
	received int
	// onEnd is called with the remaining servers after each end.
	onEnd func(alive []*testServer)
}

func startFragileServers(t *testing.T, count int) *fragileServers {
	f := &fragileServers{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range count {
		var s *testServer
		s = startTestServer(t, fmt.Sprint("s-", i), func(_ int, conn net.Conn, r *http.Request) bool {
			writeStreamHead(conn, r)
			if strings.Contains(r.Header.Get("Parts"), deadlyPart) {
				time.Sleep(10 * time.Millisecond)
				f.end(s)
				return false
			}
			writeChunk(conn, eventText(1, 10))
			writeChunk(conn, "")
			return true
		})
		f.alive = append(f.alive, s)
	}
	return f
}

// end ends a server that has received a request with the deadly part.
func (f *fragileServers) end(s *testServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received++
	s.end()
	if i := slices.Index(f.alive, s); i >= 0 {
		f.ended++
		f.alive = slices.Delete(f.alive, i, i+1)
		f.onEnd(f.alive)
	}
}

// counts returns the numbers of servers that ended and of requests with the deadly part.
func (f *fragileServers) counts() (ended, received int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended, f.received
}

// startFragileGateway starts a gateway for fragile servers, and returns a function that sends a prompt.
func startFragileGateway(t *testing.T, count int) (servers *fragileServers, sendParts func(parts ...string) answer) {
	servers = startFragileServers(t, count)
	gw, url := startUpdatableGateway(t, newTable(t), servers.alive...)
	servers.onEnd = func(alive []*testServer) { gw.SetServers(entriesOf(alive)) }
	return servers, func(parts ...string) answer { return send(t, url, "/resume/x", "Parts", strings.Join(parts, " ")) }
}

// TestRequestsWithPromptPartThatEndsServersAreWithheld guards against requests with one prompt
// part that end one server after the other: every new request is sent to a sound server.
func TestRequestsWithPromptPartThatEndsServersAreWithheld(t *testing.T) {
	g := NewWithT(t)
	servers, sendParts := startFragileGateway(t, 200)
	fifthEnd := time.Time{}
	for i := 0; fifthEnd.IsZero() || time.Since(fifthEnd) < contactTime; i++ {
		sendParts(commonPart, subjectPart, deadlyPart, fmt.Sprint("e", i))
		sendParts(commonPart, subjectPart, fmt.Sprint("f", i))
		time.Sleep(50 * time.Millisecond)
		if ended, _ := servers.counts(); fifthEnd.IsZero() && (ended >= 5 || i == 60) {
			fifthEnd = time.Now()
		}
	}
	_, before := servers.counts()
	soundAnswers := 0
	for i := range 20 {
		got := sendParts(commonPart, subjectPart, deadlyPart, fmt.Sprint("1e", i))
		g.Expect(got.status).To(Or(Equal(503), Equal(502)))
		if sendParts(commonPart, subjectPart, fmt.Sprint("1f", i)).body == eventText(1, 10) {
			soundAnswers++
		}
	}
	_, after := servers.counts()
	g.Expect(after-before).To(BeNumerically("<=", 3), "requests with the part after five others")
	g.Expect(soundAnswers).To(BeNumerically(">=", 10), "answers to sound prompts with the same other parts")
	got := sendParts(commonPart, subjectPart, deadlyPart, "2e")
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.body).To(ContainSubstring(`"outcome":"not_run"`))
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestRepeatedPromptThatEndsServersIsWithheld guards against a prompt that is sent again whole and ends one
// server after the other, while sound prompts share all of its parts but the last one.
func TestRepeatedPromptThatEndsServersIsWithheld(t *testing.T) {
	g := NewWithT(t)
	servers, sendParts := startFragileGateway(t, 30)
	soundAnswers := 0
	for i := range 12 {
		sendParts(commonPart, subjectPart, deadlyPart)
		if sendParts(commonPart, subjectPart, fmt.Sprint("f", i)).body == eventText(1, 10) {
			soundAnswers++
		}
		time.Sleep(350 * time.Millisecond)
	}
	ended, _ := servers.counts()
	g.Expect(ended).To(BeNumerically("<=", 6), "three ends one after the other, and three more")
	g.Expect(soundAnswers).To(Equal(12))
	got := sendParts(commonPart, subjectPart, deadlyPart)
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.body).To(ContainSubstring(`"outcome":"not_run"`))
}

// TestPartIsSentAgainAfterItsHoldTime guards against a part that is withheld for good although
// nothing ends servers any more.
func TestPartIsSentAgainAfterItsHoldTime(t *testing.T) {
	g := NewWithT(t)
	store := quarantine.NewStore("router", zerolog.Nop())
	now := time.Now()
	for i := range uint64(3) {
		lostAt := now.Add(-16*time.Hour - 30*time.Minute + time.Duration(i)*time.Minute)
		store.Merge([]quarantine.Loss{{Server: i, Pool: "p", Parts: []uint64{0xdead, 0x100 + i}, SentAt: lostAt.Add(-time.Second), LostAt: lostAt, Contrasted: 1}}, now)
	}
	g.Expect(store.Verdicts()).To(HaveLen(1))
	gw := gateway.New("zone", testDialect{}, 0, store, zerolog.Nop())
	gw.SetTableSource(staticTable{newTable(t)})
	gw.SetServers(entriesOf([]*testServer{startTestServer(t, "a", answerOK)}))
	server := httptest.NewServer(gw)
	defer server.Close()
	g.Expect(send(t, server.URL, "/safe/x", "Parts", deadlyPart+" 1").body).To(Equal("whole"))
	g.Expect(store.Verdicts()).To(BeEmpty(), "the answer releases the part")
}
