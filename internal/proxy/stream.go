package proxy

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// callerWriteTimeout bounds the time that a caller takes to read an event.
const callerWriteTimeout = 30 * time.Second

// relay passes a stream on to the caller, up to its explicit end.
func (t *transfer) relay(ex *exchange, lease *dispatch.Lease) *failure {
	skip, failed := t.toSkip(ex)
	if failed != nil {
		return failed
	}
	events := newEventReader(ex.Body)
	for {
		data, err := events.next()
		if err != nil {
			return t.streamLost(lease, ex.failure(err))
		}
		if string(data) == api.StreamEnd {
			failed := t.endStream(lease, skip)
			ex.drain()
			return failed
		}
		chunk, refusal, err := decodeEvent(data)
		if err != nil {
			return t.streamLost(lease, err)
		}
		if refusal != nil {
			return t.streamRefused(lease, refusal)
		}
		if chunk.ID != t.call.id {
			lateAnswers.Inc()
			continue
		}
		ex.begin()
		// The time that the caller takes is not the server's.
		ex.pause()
		if skip, failed = t.pass(chunk, data, skip); failed != nil {
			return failed
		}
		ex.progressed()
	}
}

// toSkip returns how many tokens of the stream the caller has already.
func (t *transfer) toSkip(ex *exchange) (int, *failure) {
	offset := t.call.stream.offset()
	if offset == 0 || ex.Header.Get(api.HeaderResumeOffset) == strconv.Itoa(offset) {
		return 0, nil
	}
	if t.job.route.Deterministic {
		return offset, nil
	}
	return 0, t.broken("the backend server cannot resume the stream")
}

// pass sends a chunk to the caller, unless the caller has it already.
func (t *transfer) pass(chunk *api.ChatChunk, data []byte, skip int) (int, *failure) {
	if t.call.life.current() != stateStreaming {
		t.proxy.fire(t.call, eventAnswer)
	}
	text := chunkText(chunk)
	if skip == 0 {
		t.call.stream.send(data, text, isLast(chunk))
		return 0, nil
	}
	if text == "" {
		return skip, nil
	}
	if !t.call.stream.hasSent(t.call.stream.offset()-skip, text) {
		return skip, t.broken("the restarted stream differs from what the caller has")
	}
	return skip - 1, nil
}

// broken ends a stream that cannot go on anywhere.
func (t *transfer) broken(message string) *failure {
	t.proxy.fire(t.call, eventFail)
	return &failure{err: api.Errorf(api.CodeStreamBroken, "%s", message)}
}

// streamLost tells what follows from a stream that broke off. Where only the
// end was missing, the answer is whole.
func (t *transfer) streamLost(lease *dispatch.Lease, cause error) *failure {
	if t.call.stream.lastSent && t.running.Err() == nil {
		return t.endStream(lease, 0)
	}
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		cause = api.Errorf(api.CodeStreamBroken, "the stream stopped without an end")
	}
	return t.lost(lease, cause)
}

// streamRefused tells what follows from an error that a server sent in a stream.
func (t *transfer) streamRefused(lease *dispatch.Lease, refusal *api.Error) *failure {
	if refusal.Outcome == api.OutcomeNotRun && t.call.life.current() != stateStreaming {
		t.decline()
		t.exclude = append(t.exclude, lease.Server)
		return &failure{err: refusal, repeatable: true, blameless: true}
	}
	failed := t.lost(lease, refusal)
	if refusal.Code.Info().HTTPStatus < http.StatusInternalServerError {
		failed.repeatable = false
	}
	return failed
}

// endStream ends the caller's stream.
func (t *transfer) endStream(lease *dispatch.Lease, skip int) *failure {
	if skip > 0 {
		return t.broken("the restarted stream is shorter than what the caller has")
	}
	if t.call.life.current() != stateStreaming {
		t.proxy.fire(t.call, eventAnswer)
	}
	stream := t.call.stream
	t.complete(ledger.Answer{Status: http.StatusOK, ContentType: typeEventStream, Body: stream.whole()})
	t.proxy.fire(t.call, eventFinish)
	stream.end()
	return nil
}

// decodeEvent returns the chunk or the error that an event carries.
func decodeEvent(data []byte) (*api.ChatChunk, *api.Error, error) {
	event := struct {
		api.ChatChunk
		Error *api.Error `json:"error"`
	}{}
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, nil, errors.Wrap(err, "decode a chunk")
	}
	return &event.ChatChunk, event.Error, nil
}

func chunkText(chunk *api.ChatChunk) string {
	text := ""
	for _, choice := range chunk.Choices {
		text += choice.Delta.Content
	}
	return text
}

func isLast(chunk *api.ChatChunk) bool {
	for _, choice := range chunk.Choices {
		if choice.FinishReason != "" {
			return true
		}
	}
	return false
}

// callerStream is the caller's side of a streamed answer.
type callerStream struct {
	w       http.ResponseWriter
	started bool
	// tokens are the texts that the caller has.
	tokens []string
	// lastSent says that the chunk with the finish reason was sent.
	lastSent bool
	// stored collects the stream where it is to be stored, else it is nil.
	stored *bytes.Buffer
}

func newCallerStream(w http.ResponseWriter, store bool) *callerStream {
	s := &callerStream{w: w}
	if store {
		s.stored = &bytes.Buffer{}
	}
	return s
}

// offset returns how many tokens the caller has.
func (s *callerStream) offset() int {
	if s == nil {
		return 0
	}
	return len(s.tokens)
}

// hasSent reports whether text is the token at an offset.
func (s *callerStream) hasSent(offset int, text string) bool { return s.tokens[offset] == text }

// send passes a chunk on.
func (s *callerStream) send(data []byte, text string, last bool) {
	if text != "" {
		s.tokens = append(s.tokens, text)
	}
	s.lastSent = s.lastSent || last
	s.write(data)
}

// end writes the explicit end.
func (s *callerStream) end() { s.write([]byte(api.StreamEnd)) }

// fail writes an explicit error as the end.
func (s *callerStream) fail(err *api.Error) {
	raw, _ := json.Marshal(&api.ErrorBody{Error: err})
	s.write(raw)
}

// whole returns the stream with its end, as it is stored.
func (s *callerStream) whole() []byte {
	if s.stored == nil {
		return nil
	}
	return append(bytes.Clone(s.stored.Bytes()), eventOf([]byte(api.StreamEnd))...)
}

// write sends an event. A caller that has left is noticed by its context.
func (s *callerStream) write(data []byte) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", typeEventStream)
		s.w.WriteHeader(http.StatusOK)
	}
	event := eventOf(data)
	if s.stored != nil {
		_, _ = s.stored.Write(event)
	}
	controller := http.NewResponseController(s.w)
	_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, _ = s.w.Write(event)
	_ = controller.Flush()
}

func eventOf(data []byte) []byte {
	event := append([]byte("data: "), data...)
	return append(event, '\n', '\n')
}

func (c *call) streamStarted() bool { return c.stream != nil && c.stream.started }
