package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// DefaultTokens is the length of an answer whose request gives no max_tokens.
const DefaultTokens = 16

// Answer returns the tokens that every stand-in answers a request with.
func Answer(request *api.ChatRequest) []string {
	count := request.MaxTokens
	if count == 0 {
		count = DefaultTokens
	}
	digest := xxhash.New()
	for _, message := range request.Messages {
		_, _ = digest.WriteString(message.Role + "\x00" + message.Content + "\x00")
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%08x-%d ", uint32(digest.Sum64()), i)
	}
	return tokens
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	request := &api.ChatRequest{}
	if err := json.NewDecoder(r.Body).Decode(request); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeRequestInvalid, "%v", err).NotRun())
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.count(r)
	if request.Stream {
		s.stream(w, r, request)
		return
	}
	s.answerWhole(w, r, request)
}

func (s *Server) answerWhole(w http.ResponseWriter, r *http.Request, request *api.ChatRequest) {
	tokens := Answer(request)
	if !sleep(r, time.Duration(len(tokens))*s.config.TokenTime) {
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &api.ChatResponse{
		ID: r.Header.Get(api.HeaderRequestID), Model: request.Model,
		Choices: []api.ChatChoice{{
			Message:      api.ChatMessage{Role: "assistant", Content: strings.Join(tokens, "")},
			FinishReason: "stop",
		}},
		Usage: api.Usage{CompletionTokens: len(tokens)},
	})
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, request *api.ChatRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for _, token := range Answer(request) {
		if !sleep(r, s.config.TokenTime) {
			return
		}
		chunk := api.ChatChunk{
			ID:      r.Header.Get(api.HeaderRequestID),
			Choices: []api.ChatChunkChoice{{Delta: api.ChatMessage{Role: "assistant", Content: token}}},
		}
		raw, _ := json.Marshal(chunk)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
			return
		}
		_ = controller.Flush()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", api.StreamEnd)
}

// sleep waits for d and reports false where the caller left first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// plain answers a call of a plain service with its method, path and body.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.count(r)
	httpx.WriteJSON(w, http.StatusOK, &PlainAnswer{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
}

// PlainAnswer is what a stand-in of a plain service answers.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}
