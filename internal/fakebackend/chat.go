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

// DefaultTokens is the length in tokens of an answer to a request without max_tokens.
const DefaultTokens = 16

// ExpectedAnswer returns the tokens with which every fake backend answers the request. They
// depend only on its messages and max_tokens.
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

// generation is the processing of one chat request by the engine.
type generation struct {
	request *api.ChatRequest
	// offset is the number of tokens that the caller has received already.
	offset int
	// tokens are the tokens of the answer after offset.
	tokens []string
	job    *job
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	request := &api.ChatRequest{}
	if err := json.NewDecoder(r.Body).Decode(request); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeRequestInvalid, "decode the request body: %v", err).NotRun())
		return
	}
	if err := request.Validate(); err != nil {
		httpx.WriteError(w, err.NotRun())
		return
	}
	g, err := s.newGeneration(r, request)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if g.offset > 0 {
		s.executions.recordResume(r)
		w.Header().Set(api.HeaderResumeOffset, strconv.Itoa(g.offset))
	} else {
		s.executions.recordStart(r)
	}
	s.driver.submit(g.job)
	if !s.writeGeneration(w, r, g) {
		s.driver.cancel(g.job)
		return
	}
	s.driver.complete(g.job, strings.Join(ExpectedAnswer(request), ""))
	s.executions.recordAnswer(r)
}

// writeGeneration writes the answer and reports whether it is complete. If a fault closes
// the connection (by a panic), it cancels the job and panics again.
func (s *Server) writeGeneration(w http.ResponseWriter, r *http.Request, g *generation) (complete bool) {
	defer func() {
		if panicked := recover(); panicked != nil {
			s.driver.cancel(g.job)
			panic(panicked)
		}
	}()
	if g.request.Stream {
		return s.writeStream(w, r, g)
	}
	return s.writeAnswer(w, r, g)
}

// newGeneration returns the generation of a valid request. It returns a not-run error if
// the resume offset is outside the answer.
func (s *Server) newGeneration(r *http.Request, request *api.ChatRequest) (*generation, error) {
	g := &generation{request: request, tokens: ExpectedAnswer(request)}
	header := r.Header.Get(api.HeaderResumeOffset)
	if header != "" && !s.config.NoResume {
		offset, err := strconv.Atoi(header)
		if err != nil || offset < 0 || offset > len(g.tokens) {
			return nil, api.FieldErrorf(api.CodeRequestInvalid, api.HeaderResumeOffset, "%q is not an offset within the answer", header).NotRun()
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

// chatOf returns the chat's name from the request's header, or the digest of the first
// message if there is none.
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

// waitToken waits for the engine's next token. It returns false if the request is
// cancelled first.
func (g *generation) waitToken(r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-g.job.ready:
		return true
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, g *generation) bool {
	for range g.tokens {
		if !g.waitToken(r) {
			return false
		}
	}
	if !s.faults.applyBeforeAnswer(r) {
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

func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, g *generation) bool {
	if !s.faults.applyBeforeAnswer(r) {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	if s.config.EarlyHead {
		_ = controller.Flush()
	}
	for i, token := range g.tokens {
		if !s.faults.applyBetweenTokens(r, i) || !g.waitToken(r) {
			return false
		}
		if !writeChunk(w, r, g.chunk(i, token)) {
			return false
		}
		_ = controller.Flush()
	}
	if !s.faults.applyBetweenTokens(r, len(g.tokens)) {
		return false
	}
	_, err := fmt.Fprintf(w, "data: %s\n\n", api.StreamEnd)
	return err == nil
}

// chunk returns the stream event of token i; the last one includes the usage.
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
