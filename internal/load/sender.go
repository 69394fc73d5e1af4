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

// requestTimeout bounds a request including its whole answer.
const requestTimeout = 2 * time.Minute

// maxIdleConnectionsPerRouter bounds the idle connections kept to each router.
const maxIdleConnectionsPerRouter = 512

// sender sends requests to routers and reads the answers.
type sender struct{ client *http.Client }

func newSender() *sender {
	return &sender{client: &http.Client{Transport: &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnectionsPerRouter,
		DisableCompression:  true,
	}}}
}

// singleUseBody hides the concrete reader from net/http. net/http cannot rewind it,
// and so never retries a request itself.
type singleUseBody struct{ io.Reader }

// result is the outcome of a request.
type result struct {
	// firstToken and whole are the times from the planned arrival to the first
	// token and to the end of the answer. They include a delay in sending.
	// tokenGaps holds the times between tokens.
	firstToken, whole time.Duration
	tokenGaps         []time.Duration
	answer            string
	usage             api.Usage
	affinity          string
	// failure is nil if the answer is complete and correct.
	failure *api.Error
}

// exchange is one request and its answer.
type exchange struct {
	router  RouterTarget
	chat    *chat
	id      string
	planned time.Time
}

// send sends the next turn of the chat, or a plain call, and verifies the answer.
func (s *sender) send(ctx context.Context, e exchange) result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if e.chat.shape.Service != "" {
		return s.sendCall(ctx, e)
	}
	request := e.chat.nextRequest()
	resp, failure := s.post(ctx, e, "/v1/chat/completions", request)
	if failure != nil {
		return result{failure: failure, whole: time.Since(e.planned)}
	}
	defer func() { _ = resp.Body.Close() }()
	out := result{affinity: resp.Header.Get(api.HeaderAffinity)}
	if request.Stream {
		out.readStream(resp.Body, e)
	} else {
		out.readResponse(resp.Body, e)
	}
	out.whole = time.Since(e.planned)
	out.verify(resp, e, request)
	return out
}

// post sends a request once. A status other than 200 is returned as the error in
// the response.
func (s *sender) post(ctx context.Context, e exchange, path string, body any) (*http.Response, *api.Error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "encode the request body: %v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.router.Callers+path, singleUseBody{bytes.NewReader(raw)})
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "create the request: %v", err)
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

// readStream reads a stream up to its end marker or error event.
func (r *result) readStream(body io.Reader, e exchange) {
	var answer strings.Builder
	defer func() { r.answer = answer.String() }()
	last := e.planned
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			r.failure = api.Errorf(api.CodeLoadNotWhole, "stream ended without an end marker or error event: %v", err)
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
		r.recordGap(now.Sub(last))
		last = now
		if r.failure = r.addChunk(&answer, data, e.id); r.failure != nil {
			return
		}
	}
}

// recordGap records the time to the first token, or the gap before a later one.
func (r *result) recordGap(gap time.Duration) {
	if r.firstToken == 0 {
		r.firstToken = gap
		return
	}
	r.tokenGaps = append(r.tokenGaps, gap)
}

// streamEvent is a chunk or an error event of a stream.
type streamEvent struct {
	api.ChatChunk
	Error *api.Error `json:"error"`
}

func (r *result) addChunk(answer *strings.Builder, data, id string) *api.Error {
	event := streamEvent{}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return api.Errorf(api.CodeLoadNotWhole, "decode stream chunk: %v", err)
	}
	if event.Error != nil {
		return event.Error
	}
	if event.ID != id {
		return api.Errorf(api.CodeLoadNotWhole, "stream chunk has request ID %q, want %q", event.ID, id)
	}
	for _, choice := range event.Choices {
		answer.WriteString(choice.Delta.Content)
	}
	if event.Usage != nil {
		r.usage = *event.Usage
	}
	return nil
}

// readResponse reads an answer that is not streamed.
func (r *result) readResponse(body io.Reader, e exchange) {
	answer := &api.ChatResponse{}
	if err := json.NewDecoder(body).Decode(answer); err != nil || len(answer.Choices) == 0 {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "answer is truncated or has no choices: %v", err)
		return
	}
	r.firstToken = time.Since(e.planned)
	r.answer, r.usage = answer.Choices[0].Message.Content, answer.Usage
}

// verify checks that the answer is complete and belongs to the request.
func (r *result) verify(resp *http.Response, e exchange, request *api.ChatRequest) {
	if r.failure != nil {
		return
	}
	if id := resp.Header.Get(api.HeaderRequestID); id != e.id {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "response has request ID %q, want %q", id, e.id)
		return
	}
	if want := strings.Join(fakebackend.ExpectedAnswer(request), ""); r.answer != want {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "answer of %d bytes differs from the expected answer of %d bytes", len(r.answer), len(want))
	}
}

// sendCall sends a call of a plain service. The time to the first token of a call
// is the time to its whole answer.
func (s *sender) sendCall(ctx context.Context, e exchange) result {
	path := fmt.Sprintf("/services/%s/charges/%s", e.chat.shape.Service, e.id)
	body := paddedText(e.id, e.chat.shape.PromptTokens)
	resp, failure := s.post(ctx, e, path, body)
	out := result{failure: failure}
	if failure == nil {
		defer func() { _ = resp.Body.Close() }()
		out.verifyCall(resp, body)
	}
	out.whole = time.Since(e.planned)
	out.firstToken = out.whole
	return out
}

// verifyCall checks that the answer echoes the body of the call.
func (r *result) verifyCall(resp *http.Response, body string) {
	answer := &fakebackend.PlainAnswer{}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "decode answer: %v", err)
		return
	}
	if want, _ := json.Marshal(body); answer.Body != string(want) {
		r.failure = api.Errorf(api.CodeLoadNotWhole, "answer does not echo the body of the call")
	}
}
