// Package proxy serves callers' requests and forwards them to backend servers.
// Each request moves through the state chart "request". The chart's state
// determines the outcome that an error reports: whether the request ran.
package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/bytebudget"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/statechart"
)

// maxRequestBytes bounds the body of a caller's request.
const maxRequestBytes = 8 << 20

// CatalogSource returns the latest configuration.
type CatalogSource interface {
	Catalog() *catalog.Catalog
}

// Dispatcher grants leases on backend servers.
type Dispatcher interface {
	Acquire(ctx context.Context, config *catalog.Catalog, pool catalog.Pool, model string, request balance.Request) (*dispatch.Lease, error)
}

// Proxy serves the callers' API of a router.
type Proxy struct {
	log             zerolog.Logger
	catalogSource   CatalogSource
	dispatcher      Dispatcher
	claimer         ledger.Claimer
	upstream        *upstream
	retryBudgets    *retryBudgets
	progressTimeout time.Duration
	activeCalls     *callSet
	// answerMemory bounds the memory for large answers and stream events.
	answerMemory *bytebudget.Budget
	// requestMemory bounds the memory for the bodies of requests.
	requestMemory *bytebudget.Budget

	// lastAdmission is until when requests are admitted; nil before a shutdown, during which each
	// answer closes its connection.
	lastAdmission atomic.Pointer[time.Time]
	// abortCtx is canceled to abort the requests in progress.
	abortCtx context.Context
	abort    context.CancelCauseFunc
}

// New returns a proxy that takes its progress timeout from the settings.
func New(s *settings.Settings, log zerolog.Logger, catalogSource CatalogSource, dispatcher Dispatcher, claimer ledger.Claimer) *Proxy {
	abortCtx, abort := context.WithCancelCause(context.Background())
	return &Proxy{
		log:             log,
		catalogSource:   catalogSource,
		dispatcher:      dispatcher,
		claimer:         claimer,
		upstream:        newUpstream(s.Timeouts.Progress(), log),
		retryBudgets:    newRetryBudgets(),
		progressTimeout: s.Timeouts.Progress(),
		activeCalls:     newCallSet(),
		answerMemory:    bytebudget.New(answerMemoryBytes),
		requestMemory:   bytebudget.NewStrict(s.RequestMemoryBytes()),
		abortCtx:        abortCtx,
		abort:           abort,
	}
}

// Run closes expired idle connections to backend servers until ctx ends. It returns nil.
func (p *Proxy) Run(ctx context.Context) error { return p.upstream.run(ctx) }

// Handler returns the handler of the callers' API.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", p.serve(p.chat))
	mux.HandleFunc("POST /v1/request-keys", p.serve(p.mintKeys))
	mux.HandleFunc("/services/{pool}/{path...}", p.serve(p.service))
	return mux
}

// call is a caller's request and its state.
type call struct {
	id       string
	state    *requestState
	config   *catalog.Catalog
	customer *catalog.Customer
	body     []byte
	// memory is the call's share of the memory for bodies.
	memory *bytebudget.Share
	// key is the request's idempotency key. It is cleared if the request is
	// idempotent and needs no claim.
	key string
	// callerStream is the caller's side of a streamed answer, or nil.
	callerStream *callerStream
}

type handler func(w http.ResponseWriter, r *http.Request, c *call) error

// serve admits a request, runs its handler and writes the error if one is
// returned.
func (p *Proxy) serve(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: requestID(r), state: newRequestState(), key: r.Header.Get(api.HeaderIdempotencyKey), memory: p.requestMemory.Share()}
		defer c.memory.Release()
		p.activeCalls.add(c)
		defer p.activeCalls.remove(c)
		w.Header().Set(api.HeaderRequestID, c.id)
		if sendID := r.Header.Get(api.HeaderSendID); sendID != "" {
			w.Header().Set(api.HeaderSendID, sendID)
		}
		if p.lastAdmission.Load() != nil {
			w.Header().Set("Connection", "close")
		}
		err := p.admit(w, r, c)
		if err == nil {
			err = handle(w, r, c)
		}
		if err != nil {
			p.refuse(w, r, c, err)
		}
	}
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(api.HeaderRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

// admit authenticates the caller, reads the body and fills in the call.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, c *call) error {
	if last := p.lastAdmission.Load(); p.abortCtx.Err() != nil || last != nil && time.Now().After(*last) {
		return api.Errorf(api.CodeDraining, "the router is shutting down")
	}
	c.config = p.catalogSource.Catalog()
	if c.config.Revision() == 0 {
		return api.Errorf(api.CodeNotConfigured, "the router has no configuration yet")
	}
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return api.FieldErrorf(api.CodeCustomerMissing, "Authorization", "the header has no bearer token")
	}
	if c.customer = c.config.Customer(token); c.customer == nil {
		return api.FieldErrorf(api.CodeCustomerUnknown, "Authorization", "the bearer token does not belong to a customer")
	}
	err := httpx.CheckHeaders(api.CodeRequestInvalid, r.Header, api.HeaderRequestID, api.HeaderChat)
	if err != nil {
		return err
	}
	c.body, err = c.memory.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.ContentLength)
	if errors.Is(err, bytebudget.ErrExhausted) {
		return api.Errorf(api.CodeMemoryExhausted, "the requests in progress hold %d bytes", p.requestMemory.UsedBytes())
	}
	if err != nil {
		return api.Errorf(api.CodeRequestInvalid, "read the request body: %v", err)
	}
	p.retryBudgets.earn()
	return nil
}

// refuse answers a call with an error. The call's state, not the error,
// determines the reported outcome.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, c *call, err error) {
	if stateErr := c.state.finishWithoutAnswer(c.key != ""); stateErr != nil {
		p.log.Error().Err(stateErr).Str("requestId", c.id).Msg("cannot move the request to a final state of its chart")
	}
	apiErr := *api.AsError(err)
	apiErr.Outcome = c.state.outcome()
	apiErr.RequestID = c.id
	p.log.Info().Int("code", int(apiErr.Code)).Str("requestId", c.id).
		Str("outcome", string(apiErr.Outcome)).Msg(apiErr.Message)
	if c.callerStream != nil && c.callerStream.started {
		c.callerStream.writeError(&apiErr)
		return
	}
	if apiErr.Code != api.CodeMemoryExhausted {
		httpx.WriteError(w, &apiErr)
	} else if err := httpx.AnswerUnread(w, r, time.Time{}, func() { httpx.WriteError(w, &apiErr) }); err != nil {
		p.log.Info().Str("requestId", c.id).Err(err).Msg("body of a refused request not read to its end")
	}
}

// fire applies an event to the call's request chart. An event that the current
// state does not accept is a programming error.
func (p *Proxy) fire(c *call, event statechart.Event) {
	if err := c.state.fire(event); err != nil {
		p.log.Error().Err(err).Str("requestId", c.id).Msg("the request chart does not accept the event in its current state")
	}
}
