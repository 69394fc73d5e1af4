package proxy

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/bytebudget"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/withdrawal"
)

const (
	// maxAnswerBytes bounds an answer, streamed or not.
	maxAnswerBytes = 16 << 20
	// answerMemoryBytes bounds the sum of the large answers that are in memory.
	answerMemoryBytes = maxAnswerBytes
	// initialChunkBytes and maxChunkBytes are the sizes of the first and the largest buffers that an answer
	// is read into.
	initialChunkBytes = 512
	maxChunkBytes     = 64 << 10
)

const (
	mediaTypeJSON        = "application/json"
	mediaTypeEventStream = "text/event-stream"
)

var errNoAnswerMemory = errors.New("the answers in progress exceed the memory limit")

// answer is a complete answer of a backend server.
type answer struct {
	ledger.Answer
	// outcome is the outcome that the server reported, or empty.
	outcome api.Outcome
}

func (a *answer) declined() bool { return a.outcome == api.OutcomeNotRun }

// write sends the answer to the caller.
func (a *answer) write(w http.ResponseWriter, outcome api.Outcome) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.Header().Set(api.HeaderOutcome, string(outcome))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// apiError returns the API error in the answer's body, or an error with the
// answer's status.
func (a *answer) apiError() *api.Error {
	body := &api.ErrorBody{}
	if err := json.Unmarshal(a.Body, body); err == nil && body.Error != nil {
		return body.Error
	}
	return api.Errorf(api.CodeBackendFailed, "the backend server answered with status %d", a.Status)
}

// receive reads a server's answer and passes it to the caller.
func (t *transfer) receive(ex *exchange, lease *dispatch.Lease) *failure {
	t.recordStatement(ex, lease)
	t.setAffinityHeader(ex, lease)
	if t.job.stream && ex.isStream() {
		return t.relayStream(ex, lease)
	}
	ex.recordFirstByte()
	ex.recordProgress()
	memory := t.proxy.answerMemory.Share()
	defer memory.Release()
	answer, err := readAnswer(ex, memory)
	if err != nil {
		return t.handleServerFailure(lease, ex.readError(err))
	}
	if failed := t.checkAnswer(answer, lease); failed != nil {
		return failed
	}
	return t.finishAnswer(answer)
}

// recordStatement records what the head of a server's answer says about further requests.
func (t *transfer) recordStatement(ex *exchange, lease *dispatch.Lease) {
	if lease.Remote {
		// Another router states nothing about its servers.
		return
	}
	leaving := ex.Header.Get(api.HeaderServerState) == string(api.ServerDraining)
	var pause time.Duration
	if api.Outcome(ex.Header.Get(api.HeaderOutcome)) == api.OutcomeNotRun {
		pause = withdrawal.ParseRetryAfter(ex.Header.Values(api.HeaderRetryAfter))
	}
	news := lease.RecordStatement(leaving, pause)
	perSecond, limited, stated := ratelimit.Parse(ex.Header.Values(api.HeaderRateLimit))
	rateIsNews := stated && lease.RecordRate(ratelimit.Statement{PerSecond: perSecond, Limited: limited})
	line := func() *zerolog.Event {
		return t.proxy.log.Info().Str("server", string(lease.Server)).Str("requestId", t.call.id).Str("source", "answer")
	}
	if news.Leaving {
		line().Msg("backend server is leaving")
	}
	if news.Paused {
		line().Time("until", time.Now().Add(pause)).Msg("backend server wants no requests")
	}
	if rateIsNews {
		line().Bool("limited", limited).Float64("requestsPerSecond", perSecond).Msg("backend server began or ceased to limit its request rate")
	}
}

func (t *transfer) setAffinityHeader(ex *exchange, lease *dispatch.Lease) {
	affinity := balance.FormatHint(lease.Server, lease.Incarnation)
	if lease.Remote {
		affinity = ex.Header.Get(api.HeaderAffinity)
	}
	if affinity != "" && !t.call.streamStarted() {
		t.w.Header().Set(api.HeaderAffinity, affinity)
	}
}

// checkAnswer returns the failure that an answer stands for, or nil if it is to be passed on.
func (t *transfer) checkAnswer(a *answer, lease *dispatch.Lease) *failure {
	if a.declined() {
		t.recordDecline()
		t.excluded = append(t.excluded, lease.Server)
		err := a.apiError()
		// The request has queued at two routers; a third would delay the refusal.
		overloaded := lease.Remote && err.Code == api.CodeOverloaded
		return &failure{apiErr: err, answer: a, retryable: !overloaded, notServerFault: true}
	}
	if err := t.validateAnswer(a); err != nil {
		return t.handleServerFailure(lease, err)
	}
	if a.Status >= http.StatusInternalServerError && t.job.idempotent || t.call.streamStarted() {
		failed := t.handleServerFailure(lease, a.apiError())
		failed.answer = a
		return failed
	}
	return nil
}

// validateAnswer returns an error unless the answer is complete and belongs to the call.
func (t *transfer) validateAnswer(a *answer) error {
	if t.job.backendRequest.method == http.MethodHead || !hasMediaType(a.ContentType, mediaTypeJSON) {
		return nil
	}
	if !json.Valid(a.Body) {
		return errors.New("the answer is not valid JSON; it may be truncated")
	}
	if !t.job.chat || a.Status != http.StatusOK {
		return nil
	}
	response := &api.ChatResponse{}
	if err := json.Unmarshal(a.Body, response); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	if response.ID != t.call.id {
		lateAnswers.Inc()
		return errors.Errorf("the answer belongs to request %q", response.ID)
	}
	return nil
}

// finishAnswer stores the answer under the call's key and sends it to the caller.
func (t *transfer) finishAnswer(a *answer) *failure {
	t.proxy.fire(t.call, eventAnswer)
	t.storeAnswer(a.Answer)
	if a.Status >= http.StatusInternalServerError {
		// A server error does not show whether the server ran the request.
		t.proxy.fire(t.call, eventFail)
	} else {
		t.proxy.fire(t.call, eventFinish)
	}
	a.write(t.w, t.call.state.outcome())
	return nil
}

// readAnswer reads an answer to its end into memory that it draws from the share.
func readAnswer(ex *exchange, memory *bytebudget.Share) (*answer, error) {
	body, err := readChunks(io.LimitReader(&progressReader{ex: ex, memory: memory}, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, api.Errorf(api.CodeBackendFailed, "the answer is larger than %d bytes", maxAnswerBytes)
	}
	return &answer{
		Answer:  ledger.Answer{Status: ex.StatusCode, ContentType: ex.Header.Get("Content-Type"), Body: body},
		outcome: api.Outcome(ex.Header.Get(api.HeaderOutcome)),
	}, nil
}

// readChunks reads to the end of r. Unlike io.ReadAll, it allocates no more than maxChunkBytes ahead, and
// joins the chunks only after a read without an error: when the memory for answers is used up, many reads
// fail at once.
func readChunks(r io.Reader) ([]byte, error) {
	var full [][]byte
	chunk := make([]byte, 0, initialChunkBytes)
	for {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err == io.EOF {
			return slices.Concat(append(full, chunk)...), nil
		}
		if err != nil {
			return nil, err
		}
		if len(chunk) == cap(chunk) {
			full = append(full, chunk)
			chunk = make([]byte, 0, min(2*cap(chunk), maxChunkBytes))
		}
	}
}

// progressReader reads an answer and restarts the progress timeout whenever a read
// returns data. It fails if the answer exceeds the memory that is left for answers.
type progressReader struct {
	ex        *exchange
	memory    *bytebudget.Share
	readBytes int
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.ex.Body.Read(b)
	if n > 0 {
		r.ex.recordProgress()
	}
	if r.readBytes += n; !r.memory.Resize(r.readBytes) {
		return n, errNoAnswerMemory
	}
	return n, err
}

func hasMediaType(contentType, mediaType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && strings.EqualFold(media, mediaType)
}
