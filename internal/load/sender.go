package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fakebackend"
)

// requestTimeout bounds a request with its whole answer.
const requestTimeout = 2 * time.Minute

// idleConnections is how many idle connections are kept to each router.
const idleConnections = 512

// sender sends requests to routers and reads their answers.
type sender struct{ client *http.Client }

func newSender() *sender {
	return &sender{client: &http.Client{Transport: &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}}
}

// onceBody is a body that net/http cannot rewind, so that it never sends a
// request a second time by itself.
type onceBody struct{ io.Reader }

// result is what became of a request.
type result struct {
	// first, whole and gaps are times since the planned arrival, and between tokens.
	first, whole time.Duration
	gaps         []time.Duration
	answer       string
	usage        api.Usage
	affinity     string
	// failure is nil for a whole answer.
	failure *api.Error
}

// exchange is one request on its way.
type exchange struct {
	router  RouterTarget
	chat    *chat
	id      string
	planned time.Time
}

// send sends the chat's next turn, or a plain call, and reads the answer.
func (s *sender) send(ctx context.Context, e exchange) result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if e.chat.shape.Service != "" {
		return s.sendCall(ctx, e)
	}
	request := e.chat.ask()
	resp, failure := s.post(ctx, e, "/v1/chat/completions", request)
	if failure != nil {
		return result{failure: failure, whole: time.Since(e.planned)}
	}
	defer func() { _ = resp.Body.Close() }()
	out := result{affinity: resp.Header.Get(api.HeaderAffinity)}
	if request.Stream {
		out.readStream(resp.Body, e)
	} else {
		out.readWhole(resp.Body, e)
	}
	out.whole = time.Since(e.planned)
	out.judge(resp, e, request)
	return out
}

func (s *sender) post(ctx context.Context, e exchange, path string, body any) (*http.Response, *api.Error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "%v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.router.Callers+path, onceBody{bytes.NewReader(raw)})
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "%v", err)
	}
	req.ContentLength = int64(len(raw))
	e.setHeaders(req.Header)
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, api.Errorf(api.CodeUnreachable, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, api.DecodeError(resp)
	}
	return resp, nil
}

func (e exchange) setHeaders(header http.Header) {
	header.Set("Authorization", "Bearer "+e.chat.customer.Token)
	header.Set("Content-Type", "application/json")
	header.Set(api.HeaderRequestID, e.id)
	header.Set(api.HeaderChat, e.chat.name)
	if e.chat.affinity != "" {
		header.Set(api.HeaderAffinity, e.chat.affinity)
	}
	if e.chat.shape.Keyed {
		header.Set(api.HeaderIdempotencyKey, e.id)
	}
}

// readStream reads a stream up to its explicit end or error.
func (r *result) readStream(body io.Reader, e exchange) {
	var answer strings.Builder
	defer func() { r.answer = answer.String() }()
	last := e.planned
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			r.failure = api.Errorf(api.CodeLoadNotWhole, "the stream just stopped: %v", err)
			return
		}
		data, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if !found {
			continue
		}
		if data == api.StreamEnd {
			return
		}
		now := time.Now()
		r.note(now.Sub(last))
		last = now
		if r.failure = r.addChunk(&answer, data, e.id); r.failure != nil {
			return
		}
	}
}

func (r *result) note(gap time.Duration) {
	if r.first == 0 {
		r.first = gap
		return
	}
	r.gaps = append(r.gaps, gap)
}

// streamEvent is a chunk or an error of a stream.
type streamEvent struct {
	api.ChatChunk
	Error *api.Error `json:"error"`
}

func (r *result) addChunk(answer *strings.Builder, data, id string) *api.Error {
	event := streamEvent{}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return api.Errorf(api.CodeLoadNotWhole, "a chunk that is not JSON: %v", err)
	}
	if event.Error != nil {
		return event.Error
	}
	if event.ID != id {
		return api.Errorf(api.CodeLoadNotWhole, "a chunk of request %q in the answer to %q", event.ID, id)
	}
	for _, choice := range event.Choices {
		answer.WriteString(choice.Delta.Content)
	}
	if event.Usage != nil {
		r.usage = *event.Usage
	}
	return nil
}

func (r *result) readWhole(body io.Reader, e exchange) {
	answer := &api.ChatResponse{}
	if err := json.NewDecoder(body).Decode(answer); err != nil || len(answer.Choices) == 0 {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "the answer just stopped: %v", err)
		return
	}
	r.first = time.Since(e.planned)
	r.answer, r.usage = answer.Choices[0].Message.Content, answer.Usage
}

// judge checks that an answer is whole and the request's own.
func (r *result) judge(resp *http.Response, e exchange, request *api.ChatRequest) {
	if r.failure != nil {
		return
	}
	if id := resp.Header.Get(api.HeaderRequestID); id != e.id {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "the answer to request %q came to %q", id, e.id)
		return
	}
	if want := strings.Join(fakebackend.ExpectedAnswer(request), ""); r.answer != want {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "got %d bytes of an answer of %d", len(r.answer), len(want))
	}
}

// sendCall sends a call of a plain service.
func (s *sender) sendCall(ctx context.Context, e exchange) result {
	path := fmt.Sprintf("/services/%s/charges/%s", e.chat.shape.Service, e.id)
	body := text(e.id, e.chat.shape.PromptTokens)
	resp, failure := s.post(ctx, e, path, body)
	out := result{failure: failure}
	if failure == nil {
		defer func() { _ = resp.Body.Close() }()
		out.judgeCall(resp, body)
	}
	out.whole = time.Since(e.planned)
	out.first = out.whole
	return out
}

func (r *result) judgeCall(resp *http.Response, body string) {
	answer := &fakebackend.PlainAnswer{}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "the answer just stopped: %v", err)
		return
	}
	if want, _ := json.Marshal(body); answer.Body != string(want) {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "the answer to a call is not its own")
	}
}
