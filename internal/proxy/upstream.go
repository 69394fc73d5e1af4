package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
)

// Limits of the connections to backend servers.
const (
	connectTimeout = 2 * time.Second
	// idleCheckInterval is how often idle connections are closed that have expired.
	idleCheckInterval = time.Second
	// drainTimeout and maxDrainBytes bound the read of what follows a stream's
	// explicit end.
	drainTimeout  = time.Second
	maxDrainBytes = 4096
)

var (
	errNoProgress   = errors.New("no progress within the timeout")
	errExchangeDone = errors.New("the exchange has ended")
)

// upstream sends requests to backend servers and to other routers.
type upstream struct {
	progressTimeout time.Duration
	log             zerolog.Logger
	client          *backend.Client
}

func newUpstream(progressTimeout time.Duration, log zerolog.Logger) *upstream {
	client := backend.NewClientWithLimits(backend.Hooks{Opened: connectionsOpened.Inc, PassedOver: func() {}}, backend.Limits{Connect: connectTimeout})
	return &upstream{progressTimeout: progressTimeout, log: log, client: client}
}

// run closes expired idle connections until ctx ends. It returns nil.
func (u *upstream) run(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			u.client.CloseExpired(now)
		}
	}
}

// exchange is a request that a server has begun to answer.
type exchange struct {
	*backend.Exchange
	upstream *upstream
	address  string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	// echoed is set if the answer carries the send ID.
	echoed bool
	body   *endTracker
	// sentAt is when the request was sent. onFirstByte is called once with the time
	// to the first byte.
	sentAt      time.Time
	onFirstByte func(took time.Duration)
}

// endTracker is the body of an answer and records whether it was read to its end.
type endTracker struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (t *endTracker) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	t.ended = t.ended || err == io.EOF
	return n, err
}

// send sends a request once and waits up to firstByteTimeout for its answer to
// begin: for the first event of a stream, for the head of any other answer. It
// never repeats a request. Errors have the type *backend.SendError.
func (u *upstream) send(ctx context.Context, outbound outboundRequest, address string, firstByteTimeout time.Duration) (*exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	sendID := uuid.NewString()
	ex := &exchange{upstream: u, address: address, ctx: ctx, cancel: cancel, sentAt: time.Now()}
	ex.watchdog = time.AfterFunc(firstByteTimeout, func() { cancel(errNoProgress) })
	request := outbound.build(address, sendID)
	request.AcceptAnswer = func(answer *http.Response, connReused bool) bool {
		return u.acceptAnswer(answer, connReused, address, sendID)
	}
	var err error
	if ex.Exchange, err = u.client.Send(ctx, address, request); err != nil {
		ex.watchdog.Stop()
		err = u.sendError(ctx, address, err)
		cancel(errExchangeDone)
		return nil, err
	}
	ex.echoed = echoes(ex.Header, sendID)
	ex.body = &endTracker{ReadCloser: ex.Body}
	ex.Body = ex.body
	return ex, nil
}

// acceptAnswer reports whether an answer belongs to a send. Without the send ID, it does
// only if the connection has carried no earlier request, whose answer could come again.
func (u *upstream) acceptAnswer(answer *http.Response, connReused bool, address, sendID string) bool {
	if echoes(answer.Header, sendID) || !connReused && len(answer.Header.Values(api.HeaderSendID)) == 0 {
		return true
	}
	unmatchedAnswers.Inc()
	u.log.Warn().Str("server", address).Int("status", answer.StatusCode).
		Str("outcome", answer.Header.Get(api.HeaderOutcome)).
		Str("sendId", sendID).Str("answeredSendId", answer.Header.Get(api.HeaderSendID)).
		Msg("discarded an answer that belongs to another send")
	return false
}

// echoes reports whether an answer carries the send ID and no other. A server and what stands
// before it may both have echoed it.
func echoes(header http.Header, sendID string) bool {
	values := strings.Split(strings.Join(header.Values(api.HeaderSendID), ","), ",")
	return !slices.ContainsFunc(values, func(value string) bool { return strings.TrimSpace(value) != sendID })
}

// isStream reports whether the answer is a stream of server-sent events.
func (e *exchange) isStream() bool {
	return e.StatusCode == http.StatusOK && hasMediaType(e.Header.Get("Content-Type"), mediaTypeEventStream)
}

// recordFirstByte reports the time to the first byte on its first call.
func (e *exchange) recordFirstByte() {
	if e.onFirstByte == nil {
		return
	}
	e.onFirstByte(time.Since(e.sentAt))
	e.onFirstByte = nil
}

// sendError returns the error of a failed send with the cause for which ctx ended, if any.
func (u *upstream) sendError(ctx context.Context, address string, err error) error {
	out := backend.SendError{Cause: err}
	var sendErr *backend.SendError
	if errors.As(err, &sendErr) {
		out = *sendErr
	}
	out.Cause = u.failureCause(ctx, address, out.Cause)
	return &out
}

// failureCause returns why an exchange failed. After a progress timeout it also
// closes the idle connections to the server, which may be as unresponsive as the
// one that failed.
func (u *upstream) failureCause(ctx context.Context, address string, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	if errors.Is(cause, errNoProgress) {
		progressTimeouts.Inc()
		u.client.CloseIdle(address)
	}
	return cause
}

// recordProgress restarts the progress timeout.
func (e *exchange) recordProgress() { e.watchdog.Reset(e.upstream.progressTimeout) }

// pauseWatchdog stops the progress timeout until the next recordProgress.
func (e *exchange) pauseWatchdog() { e.watchdog.Stop() }

// readError returns why reading the answer failed.
func (e *exchange) readError(err error) error {
	return e.upstream.failureCause(e.ctx, e.address, err)
}

// drainBody reads what follows the explicit end of an answer, so that the
// connection can be reused.
func (e *exchange) drainBody() {
	e.watchdog.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, e.Body, maxDrainBytes)
}

// close ends the exchange. The request is canceled at the server unless the answer
// was read to its end. A connection is kept only if its server echoes send IDs.
func (e *exchange) close() {
	e.watchdog.Stop()
	e.Exchange.Close(e.body.ended && e.echoed)
	e.cancel(errExchangeDone)
}
