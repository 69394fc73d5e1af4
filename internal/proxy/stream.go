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
	"peridotwinch.example/peridotwinch/internal/bytebudget"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// callerWriteTimeout bounds the time that a caller takes to read an event.
const callerWriteTimeout = 30 * time.Second

// relayStream relays a stream to the caller, up to its explicit end.
func (t *transfer) relayStream(ex *exchange, lease *dispatch.Lease) *failure {
	skip, failed := t.tokensToSkip(ex)
	if failed != nil {
		return failed
	}
	memory := t.proxy.answerMemory.Share()
	defer memory.Release()
	events := newEventReader(ex.Body, memory)
	for {
		data, err := events.next()
		if err != nil {
			return t.handleStreamError(lease, ex.readError(err))
		}
		if string(data) == api.StreamEnd {
			// The end names no request. Before the first chunk it is that of another one.
			if !t.call.streamStarted() {
				lateAnswers.Inc()
				continue
			}
			failed := t.finishStream(lease, skip)
			ex.drainBody()
			return failed
		}
		chunk, apiErr, err := decodeEvent(data)
		if err != nil {
			return t.handleStreamError(lease, err)
		}
		if apiErr != nil && apiErr.RequestID != "" && apiErr.RequestID != t.call.id {
			lateAnswers.Inc()
			continue
		}
		if apiErr != nil {
			return t.handleErrorEvent(lease, apiErr)
		}
		if chunk.ID != t.call.id {
			lateAnswers.Inc()
			continue
		}
		ex.recordFirstByte()
		// The time that the caller takes to read does not count against the server.
		ex.pauseWatchdog()
		if skip, failed = t.relayChunk(chunk, data, skip); failed != nil {
			return failed
		}
		ex.recordProgress()
	}
}

// tokensToSkip returns how many tokens of the server's stream the caller already
// has. A server that cannot resume at the offset must restart a deterministic
// stream.
func (t *transfer) tokensToSkip(ex *exchange) (int, *failure) {
	offset := t.call.callerStream.offset()
	if offset == 0 || ex.Header.Get(api.HeaderResumeOffset) == strconv.Itoa(offset) {
		return 0, nil
	}
	if t.job.route.Deterministic {
		return offset, nil
	}
	return 0, t.failStream("the backend server cannot resume the stream")
}

// relayChunk sends a chunk to the caller, unless the caller already has it. It
// returns the number of tokens that are still to be skipped.
func (t *transfer) relayChunk(chunk *api.ChatChunk, data []byte, skip int) (int, *failure) {
	if t.call.state.current() != stateStreaming {
		t.proxy.fire(t.call, eventAnswer)
	}
	text := chunkText(chunk)
	if skip == 0 {
		if !t.call.callerStream.mayAdd(len(data)) {
			return 0, t.failStream("the stream exceeds the size limit")
		}
		t.call.callerStream.sendChunk(data, text, hasFinishReason(chunk))
		return 0, nil
	}
	if text == "" {
		return skip, nil
	}
	if !t.call.callerStream.hasToken(t.call.callerStream.offset()-skip, text) {
		return skip, t.failStream("the restarted stream differs from the tokens already sent")
	}
	return skip - 1, nil
}

// failStream fails a stream that no server can resume.
func (t *transfer) failStream(message string) *failure {
	t.proxy.fire(t.call, eventFail)
	return &failure{apiErr: api.Errorf(api.CodeStreamBroken, "%s", message)}
}

// handleStreamError handles a stream that broke. If only the explicit end is
// missing, the answer is complete.
func (t *transfer) handleStreamError(lease *dispatch.Lease, cause error) *failure {
	if t.call.callerStream.finishReasonSent && t.runCtx.Err() == nil {
		return t.finishStream(lease, 0)
	}
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		cause = api.Errorf(api.CodeStreamBroken, "the backend server's stream stopped before its explicit end")
	}
	return t.handleServerFailure(lease, cause)
}

// handleErrorEvent handles an error that a server sent in a stream.
func (t *transfer) handleErrorEvent(lease *dispatch.Lease, apiErr *api.Error) *failure {
	if apiErr.Outcome == api.OutcomeNotRun && t.call.state.current() != stateStreaming {
		t.recordDecline()
		t.excluded = append(t.excluded, lease.Server)
		return &failure{apiErr: apiErr, retryable: true, notServerFault: true}
	}
	failed := t.handleServerFailure(lease, apiErr)
	if apiErr.Code.Info().HTTPStatus < http.StatusInternalServerError {
		failed.retryable = false
	}
	return failed
}

// finishStream stores the stream if the call has a key and ends the caller's stream.
func (t *transfer) finishStream(lease *dispatch.Lease, skip int) *failure {
	if skip > 0 {
		return t.failStream("the restarted stream is shorter than the tokens already sent")
	}
	if t.call.state.current() != stateStreaming {
		t.proxy.fire(t.call, eventAnswer)
	}
	stream := t.call.callerStream
	t.storeAnswer(ledger.Answer{Status: http.StatusOK, ContentType: mediaTypeEventStream, Body: stream.bodyToStore()})
	t.proxy.fire(t.call, eventFinish)
	stream.writeEnd()
	return nil
}

// decodeEvent returns the chunk or the error that an event carries.
func decodeEvent(data []byte) (*api.ChatChunk, *api.Error, error) {
	event := struct {
		api.ChatChunk
		Error *api.Error `json:"error"`
	}{}
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, nil, errors.Wrap(err, "decode a stream event")
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

func hasFinishReason(chunk *api.ChatChunk) bool {
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
	// tokens are the texts that were sent to the caller.
	tokens []string
	// finishReasonSent is set once the chunk with the finish reason was sent.
	finishReasonSent bool
	// storedBody collects the events if the stream is to be stored, else it is nil.
	storedBody *bytes.Buffer
	// sentBytes is the size of the events, and memory what tokens and storedBody draw on.
	sentBytes int
	memory    *bytebudget.Share
}

func newCallerStream(w http.ResponseWriter, store bool, memory *bytebudget.Share) *callerStream {
	s := &callerStream{w: w, memory: memory}
	if store {
		s.storedBody = &bytes.Buffer{}
	}
	return s
}

// offset returns how many tokens were sent to the caller; zero for a nil stream.
func (s *callerStream) offset() int {
	if s == nil {
		return 0
	}
	return len(s.tokens)
}

// hasToken reports whether text is the token at an offset.
func (s *callerStream) hasToken(offset int, text string) bool { return s.tokens[offset] == text }

// mayAdd reports whether an event of the given size fits the limits of a stream.
func (s *callerStream) mayAdd(eventBytes int) bool {
	s.sentBytes += eventBytes
	return s.sentBytes <= maxAnswerBytes && s.memory.Resize(s.sentBytes)
}

// sendChunk sends a chunk to the caller.
func (s *callerStream) sendChunk(data []byte, text string, isFinal bool) {
	if text != "" {
		s.tokens = append(s.tokens, text)
	}
	s.finishReasonSent = s.finishReasonSent || isFinal
	s.writeEvent(data)
}

// writeEnd writes the event that explicitly ends the stream.
func (s *callerStream) writeEnd() { s.writeEvent([]byte(api.StreamEnd)) }

// writeError ends the stream with an error event.
func (s *callerStream) writeError(err *api.Error) {
	raw, _ := json.Marshal(&api.ErrorBody{Error: err})
	s.writeEvent(raw)
}

// bodyToStore returns the stream with its explicit end, or nil if it is not to be
// stored.
func (s *callerStream) bodyToStore() []byte {
	if s.storedBody == nil {
		return nil
	}
	return append(bytes.Clone(s.storedBody.Bytes()), formatEvent([]byte(api.StreamEnd))...)
}

// writeEvent writes an event. Write errors are ignored: the request's context ends
// when the caller disconnects.
func (s *callerStream) writeEvent(data []byte) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", mediaTypeEventStream)
		s.w.WriteHeader(http.StatusOK)
	}
	event := formatEvent(data)
	if s.storedBody != nil {
		_, _ = s.storedBody.Write(event)
	}
	controller := http.NewResponseController(s.w)
	_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, _ = s.w.Write(event)
	_ = controller.Flush()
}

func formatEvent(data []byte) []byte {
	event := append([]byte("data: "), data...)
	return append(event, '\n', '\n')
}

func (c *call) streamStarted() bool { return c.callerStream != nil && c.callerStream.started }
