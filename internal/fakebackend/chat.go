package fakebackend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// DefaultTokens is the length of an answer whose request gives no max_tokens.
const DefaultTokens = 16

// ExpectedAnswer returns the tokens that every stand-in answers a request with.
func ExpectedAnswer(request *api.ChatRequest) []string {
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

// generation is one chat request on its way through the engine.
type generation struct {
	request *api.ChatRequest
	// offset is the number of tokens that the caller has already.
	offset int
	tokens []string
	job    *job
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	request := &api.ChatRequest{}
	if err := json.NewDecoder(r.Body).Decode(request); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeRequestInvalid, "%v", err).NotRun())
		return
	}
	if err := request.Validate(); err != nil {
		httpx.WriteError(w, err.NotRun())
		return
	}
	g, err := s.generation(r, request)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if g.offset > 0 {
		s.executions.resumed(r)
		w.Header().Set(api.HeaderResumeOffset, strconv.Itoa(g.offset))
	} else {
		s.executions.began(r)
	}
	s.driver.submit(g.job)
	if !s.generate(w, r, g) {
		s.driver.cancel(g.job)
		return
	}
	s.driver.complete(g.job, strings.Join(ExpectedAnswer(request), ""))
	s.executions.answered(r)
}

// generate writes the answer and reports whether it is whole. A fault that
// closes the connection counts as a cancelled job.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, g *generation) (whole bool) {
	defer func() {
		if fault := recover(); fault != nil {
			s.driver.cancel(g.job)
			panic(fault)
		}
	}()
	if g.request.Stream {
		return s.stream(w, r, g)
	}
	return s.answerWhole(w, r, g)
}

func (s *Server) generation(r *http.Request, request *api.ChatRequest) (*generation, error) {
	g := &generation{request: request, tokens: ExpectedAnswer(request)}
	header := r.Header.Get(api.HeaderResumeOffset)
	if header != "" && !s.config.NoResume {
		offset, err := strconv.Atoi(header)
		if err != nil || offset < 0 || offset > len(g.tokens) {
			return nil, api.FieldErrorf(api.CodeRequestInvalid, api.HeaderResumeOffset, "not within the answer: %q", header).NotRun()
		}
		g.offset = offset
	}
	g.tokens = g.tokens[g.offset:]
	prompt := segmentsOf(request.Messages)
	g.job = &job{
		chat: chatOf(r, prompt), class: api.Class(r.Header.Get(api.HeaderPriority)),
		prompt: prompt, tokensLeft: len(g.tokens),
	}
	return g, nil
}

// chatOf returns the chat's name, or the digest of its first message.
func chatOf(r *http.Request, prompt []segment) string {
	if chat := r.Header.Get(api.HeaderChat); chat != "" {
		return chat
	}
	return fmt.Sprintf("%016x", prompt[0].digest)
}

func (g *generation) usage() api.Usage {
	return api.Usage{
		PromptTokens: tokensOf(g.job.prompt), CachedTokens: g.job.cached,
		CompletionTokens: g.offset + len(g.tokens),
	}
}

// waitToken waits for the engine's next token; false where the caller left first.
func (g *generation) waitToken(r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-g.job.ready:
		return true
	}
}

func (s *Server) answerWhole(w http.ResponseWriter, r *http.Request, g *generation) bool {
	for range g.tokens {
		if !g.waitToken(r) {
			return false
		}
	}
	if !s.faults.beforeAnswer(r) {
		return false
	}
	httpx.WriteJSON(w, http.StatusOK, &api.ChatResponse{
		ID: r.Header.Get(api.HeaderRequestID), Model: g.request.Model,
		Choices: []api.ChatChoice{{
			Message:      api.ChatMessage{Role: "assistant", Content: strings.Join(g.tokens, "")},
			FinishReason: "stop",
		}},
		Usage: g.usage(),
	})
	return true
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, g *generation) bool {
	if !s.faults.beforeAnswer(r) {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	if s.config.EarlyHead {
		_ = controller.Flush()
	}
	for i, token := range g.tokens {
		if !s.faults.betweenTokens(r, i) || !g.waitToken(r) {
			return false
		}
		if !writeChunk(w, r, g.chunk(i, token)) {
			return false
		}
		_ = controller.Flush()
	}
	if !s.faults.betweenTokens(r, len(g.tokens)) {
		return false
	}
	_, err := fmt.Fprintf(w, "data: %s\n\n", api.StreamEnd)
	return err == nil
}

// chunk returns the event of a token; the last one carries the usage.
func (g *generation) chunk(i int, token string) *api.ChatChunk {
	chunk := &api.ChatChunk{
		Choices: []api.ChatChunkChoice{{Delta: api.ChatMessage{Role: "assistant", Content: token}}},
	}
	if i == len(g.tokens)-1 {
		usage := g.usage()
		chunk.Usage = &usage
		chunk.Choices[0].FinishReason = "stop"
	}
	return chunk
}

func writeChunk(w http.ResponseWriter, r *http.Request, chunk *api.ChatChunk) bool {
	chunk.ID = r.Header.Get(api.HeaderRequestID)
	raw, _ := json.Marshal(chunk)
	_, err := fmt.Fprintf(w, "data: %s\n\n", raw)
	return err == nil
}
