package fakebackend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
)

// client opens a new connection for each request: net/http retries a request with an
// idempotency key if a reused connection breaks, and the server would count the retry.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// testServer is a running server; done receives the error with which it stops.
type testServer struct {
	*Server
	g    *WithT
	stop context.CancelFunc
	done chan error
}

func start(t *testing.T, config Config) *testServer {
	config.Listen, config.Slots, config.AnnounceEvery = "127.0.0.1:0", 8, DefaultAnnounceEvery
	server, err := New(config, zerolog.Nop())
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	s := &testServer{Server: server, g: g, stop: cancel, done: make(chan error, 1)}
	go func() { s.done <- server.run(ctx) }()
	t.Cleanup(cancel)
	return s
}

func (s *testServer) send(ctx context.Context, path string, body any, headers map[string]string) (*http.Response, error) {
	raw, err := json.Marshal(body)
	s.g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+path, bytes.NewReader(raw))
	s.g.Expect(err).NotTo(HaveOccurred())
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return client.Do(req)
}

// postAndReadBody sends a request and returns the body of the answer as far as it was read,
// and the error that ended the request early.
func (s *testServer) postAndReadBody(path string, body any, headers map[string]string) (string, error) {
	resp, err := s.send(context.Background(), path, body, headers)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

func chatRequest(stream bool, tokens int) *api.ChatRequest {
	return &api.ChatRequest{
		Model: "m", Stream: stream, MaxTokens: tokens,
		Messages: []api.ChatMessage{{Role: "user", Content: "How many fish passed the weir?"}},
	}
}

func TestEarlyHeadIsSentBeforeFirstToken(t *testing.T) {
	s := start(t, Config{EarlyHead: true, TokenTime: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := s.send(ctx, "/v1/chat/completions", chatRequest(true, 5), nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func TestResumedStreamStartsAtOffset(t *testing.T) {
	s := start(t, Config{})
	headers := map[string]string{api.HeaderResumeOffset: "3", api.HeaderIdempotencyKey: "k"}
	resp, err := s.send(context.Background(), "/v1/chat/completions", chatRequest(true, 5), headers)
	s.g.Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.Header.Get(api.HeaderResumeOffset)).To(Equal("3"))
	s.g.Expect(strings.Count(string(raw), "data: {")).To(Equal(2))
	s.g.Expect(string(raw)).To(And(ContainSubstring("-3 "), Not(ContainSubstring("-2 "))))
	s.g.Expect(s.executions.list()).To(Equal([]Execution{{Key: "k", Resumed: 1, Answered: 1}}))
}

func TestServerWithoutResumeStartsFromBeginning(t *testing.T) {
	s := start(t, Config{NoResume: true})
	resp, err := s.send(context.Background(), "/v1/chat/completions", chatRequest(true, 5), map[string]string{api.HeaderResumeOffset: "3"})
	s.g.Expect(err).NotTo(HaveOccurred())
	raw, _ := io.ReadAll(resp.Body)
	s.g.Expect(resp.Header).NotTo(HaveKey(api.HeaderResumeOffset))
	s.g.Expect(strings.Count(string(raw), "data: {")).To(Equal(5))
}

func TestFaultsApplyUntilReplaced(t *testing.T) {
	s := start(t, Config{})
	headers := map[string]string{api.HeaderIdempotencyKey: "k"}
	setFaults := func(faults Faults) {
		_, err := s.postAndReadBody("/control", &faults, nil)
		s.g.Expect(err).NotTo(HaveOccurred())
	}
	setFaults(Faults{CloseAfterTokens: 2})
	body, err := s.postAndReadBody("/v1/chat/completions", chatRequest(true, 5), headers)
	s.g.Expect(err).To(HaveOccurred())
	s.g.Expect(strings.Count(body, "data: {")).To(Equal(2))
	setFaults(Faults{CloseBeforeAnswer: true})
	_, err = s.postAndReadBody("/charges/1", "x", headers)
	s.g.Expect(err).To(HaveOccurred())
	setFaults(Faults{Refuse: true})
	body, err = s.postAndReadBody("/charges/1", "x", headers)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(body).To(ContainSubstring(`"outcome":"not_run"`))
	s.g.Expect(s.executions.list()).To(Equal([]Execution{{Key: "k", Count: 2}}))
	setFaults(Faults{Stall: true})
	ended := make(chan error, 1)
	go func() {
		_, err := s.postAndReadBody("/charges/1", "x", headers)
		ended <- err
	}()
	s.g.Eventually(func() int { return s.executions.list()[0].Count }).Should(Equal(3))
	s.g.Expect(ended).NotTo(Receive())
	setFaults(Faults{})
	s.g.Eventually(ended).Should(Receive(BeNil()))
}

func TestEachAnswerEchoesTheSendID(t *testing.T) {
	s := start(t, Config{})
	expectEcho := func(path string, body any) {
		resp, err := s.send(context.Background(), path, body, map[string]string{api.HeaderSendID: "s1"})
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.Body.Close()).To(Succeed())
		s.g.Expect(resp.Header.Values(api.HeaderSendID)).To(Equal([]string{"s1"}), path)
	}
	expectAll := func() {
		expectEcho("/charges/1", "x")
		expectEcho("/v1/chat/completions", chatRequest(false, 2))
		expectEcho("/v1/chat/completions", chatRequest(true, 2))
	}
	expectAll()
	s.faults.set(Faults{Refuse: true})
	expectAll()
}

func TestCancelledRequestCancelsJob(t *testing.T) {
	s := start(t, Config{TokenTime: DefaultTokenTime})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := s.send(ctx, "/v1/chat/completions", chatRequest(true, 1_000_000), nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	_, err = resp.Body.Read(make([]byte, 1))
	s.g.Expect(err).NotTo(HaveOccurred())
	cancel()
	s.g.Eventually(func() Stats { return s.driver.stats() }, "10s").Should(HaveField("Cancelled", 1))
	s.g.Expect(s.driver.stats().Running).To(BeZero())
}

func TestDrainingServerFinishesStreams(t *testing.T) {
	s := start(t, Config{TokenTime: DefaultTokenTime})
	resp, err := s.send(context.Background(), "/v1/chat/completions", chatRequest(true, 100), nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.stop()
	s.g.Eventually(s.state).Should(Equal(api.ServerDraining))
	raw, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(string(raw)).To(HaveSuffix("data: [DONE]\n\n"))
	s.g.Eventually(s.done, "10s").Should(Receive(BeNil()))
}

func TestOldFencingTokenIsRejectedOnlyIfChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := start(t, Config{ChecksFencing: checks})
		_, err := s.postAndReadBody("/orders", &Order{Kind: OrderLoadModel, Model: "m2", FencingToken: 5}, nil)
		s.g.Expect(err).NotTo(HaveOccurred())
		body, err := s.postAndReadBody("/orders", &Order{Kind: OrderLoadModel, Model: "m1", FencingToken: 4}, nil)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(strings.Contains(body, "fencing_token_old")).To(Equal(checks))
		s.g.Expect(s.orders.loadedModels()).To(HaveLen(map[bool]int{true: 1, false: 2}[checks]))
	}
}
