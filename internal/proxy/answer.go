package proxy

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 16 << 20

const (
	typeJSON        = "application/json"
	typeEventStream = "text/event-stream"
)

// answer is a whole answer of a backend server.
type answer struct {
	ledger.Answer
	// outcome is what the server itself says, or empty.
	outcome api.Outcome
}

func (a *answer) refusedAsNotRun() bool { return a.outcome == api.OutcomeNotRun }

// write sends the answer to the caller.
func (a *answer) write(w http.ResponseWriter, outcome api.Outcome) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.Header().Set(api.HeaderOutcome, string(outcome))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// err returns the numbered error that a refusal carries.
func (a *answer) err() *api.Error {
	body := &api.ErrorBody{}
	if err := json.Unmarshal(a.Body, body); err == nil && body.Error != nil {
		return body.Error
	}
	return api.Errorf(api.CodeBackendFailed, "the backend server answered with status %d", a.Status)
}

// receive takes a server's answer and passes it to the caller.
func (t *transfer) receive(ex *exchange, lease *dispatch.Lease) *failure {
	t.setAffinity(ex, lease)
	if t.job.stream && ex.isStream() {
		return t.relay(ex, lease)
	}
	ex.begin()
	ex.progressed()
	answer, err := readAnswer(ex)
	if err != nil {
		return t.lost(lease, ex.failure(err))
	}
	if failed := t.judge(answer, lease); failed != nil {
		return failed
	}
	return t.answerWhole(answer)
}

func (t *transfer) setAffinity(ex *exchange, lease *dispatch.Lease) {
	affinity := balance.FormatHint(lease.Server, lease.Incarnation)
	if lease.Remote {
		affinity = ex.Header.Get(api.HeaderAffinity)
	}
	if affinity != "" && !t.call.streamStarted() {
		t.w.Header().Set(api.HeaderAffinity, affinity)
	}
}

// judge returns why an answer is not passed on, or nil.
func (t *transfer) judge(a *answer, lease *dispatch.Lease) *failure {
	if a.refusedAsNotRun() {
		t.decline()
		t.exclude = append(t.exclude, lease.Server)
		err := a.err()
		// The request has waited here and there; a third place would make it late.
		overloaded := lease.Remote && err.Code == api.CodeOverloaded
		return &failure{err: err, answer: a, repeatable: !overloaded, blameless: true}
	}
	if err := t.check(a); err != nil {
		return t.lost(lease, err)
	}
	if a.Status >= http.StatusInternalServerError && t.job.idempotent || t.call.streamStarted() {
		failed := t.lost(lease, a.err())
		failed.answer = a
		return failed
	}
	return nil
}

// check returns an error unless the answer is whole and the request's own.
func (t *transfer) check(a *answer) error {
	if t.job.local.method == http.MethodHead || !isType(a.ContentType, typeJSON) {
		return nil
	}
	if !json.Valid(a.Body) {
		return errors.New("the answer is cut short")
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

// answerWhole stores the answer under the call's key and sends it to the caller.
func (t *transfer) answerWhole(a *answer) *failure {
	t.proxy.fire(t.call, eventAnswer)
	t.complete(a.Answer)
	if a.Status >= http.StatusInternalServerError {
		// A server that failed by itself does not tell whether it ran the request.
		t.proxy.fire(t.call, eventFail)
	} else {
		t.proxy.fire(t.call, eventFinish)
	}
	a.write(t.w, t.call.life.outcome())
	return nil
}

// readAnswer reads an answer to its end.
func readAnswer(ex *exchange) (*answer, error) {
	body, err := io.ReadAll(io.LimitReader(&progressReader{ex}, maxAnswerBytes+1))
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

// progressReader reads an answer and tells the exchange of each progress.
type progressReader struct{ ex *exchange }

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.ex.Body.Read(b)
	if n > 0 {
		r.ex.progressed()
	}
	return n, err
}

func isType(contentType, want string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && strings.EqualFold(media, want)
}
