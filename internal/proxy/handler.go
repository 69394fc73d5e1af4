// Package proxy takes callers' requests and carries them to backend servers.
// Every request moves through the state chart "request", whose state decides
// what a refusal says about the request having run.
package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/statechart"
)

// maxRequestBytes bounds the body of a caller's request.
const maxRequestBytes = 8 << 20

// Catalogs gives the newest configuration.
type Catalogs interface {
	Catalog() *catalog.Catalog
}

// Dispatcher gives out leases on backend servers.
type Dispatcher interface {
	Acquire(ctx context.Context, view *catalog.Catalog, pool catalog.Pool, model string, request balance.Request) (*dispatch.Lease, error)
}

// Proxy is the callers' side of a router.
type Proxy struct {
	log        zerolog.Logger
	catalogs   Catalogs
	dispatcher Dispatcher
	claimer    ledger.Claimer
	upstream   *upstream
	budgets    *budgets
	progress   time.Duration
	inProgress *callSet

	// lastAnswers says that each answer closes its connection.
	lastAnswers atomic.Bool
	// cut ends when the requests in progress are to be cut off.
	cut    context.Context
	cutOff context.CancelCauseFunc
}

// New returns the callers' side of a router.
func New(s *settings.Settings, log zerolog.Logger, catalogs Catalogs, dispatcher Dispatcher, claimer ledger.Claimer) *Proxy {
	cut, cutOff := context.WithCancelCause(context.Background())
	return &Proxy{
		log:        log,
		catalogs:   catalogs,
		dispatcher: dispatcher,
		claimer:    claimer,
		upstream:   newUpstream(s.Timeouts.Progress()),
		budgets:    newBudgets(),
		progress:   s.Timeouts.Progress(),
		inProgress: newCallSet(),
		cut:        cut,
		cutOff:     cutOff,
	}
}

// Handler returns the callers' API.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", p.serve(p.chat))
	mux.HandleFunc("POST /v1/request-keys", p.serve(p.mintKeys))
	mux.HandleFunc("/services/{pool}/{path...}", p.serve(p.service))
	return mux
}

// call is one caller's request with what the router knows of it.
type call struct {
	id       string
	life     *life
	view     *catalog.Catalog
	customer *catalog.Customer
	body     []byte
	// key is the request's idempotency key until the request turns out to need none.
	key string
	// stream is the caller's side of a streamed answer, or nil.
	stream *callerStream
}

type handler func(w http.ResponseWriter, r *http.Request, c *call) error

// serve admits a request, runs the handler and answers its error.
func (p *Proxy) serve(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: requestID(r), life: newLife(), key: r.Header.Get(api.HeaderIdempotencyKey)}
		p.inProgress.add(c)
		defer p.inProgress.remove(c)
		w.Header().Set(api.HeaderRequestID, c.id)
		if p.lastAnswers.Load() {
			w.Header().Set("Connection", "close")
		}
		err := p.admit(w, r, c)
		if err == nil {
			err = handle(w, r, c)
		}
		if err != nil {
			p.refuse(w, c, err)
		}
	}
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(api.HeaderRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

// admit checks the request and fills in the call.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, c *call) error {
	if p.cut.Err() != nil {
		return api.Errorf(api.CodeDraining, "the router shuts down")
	}
	c.view = p.catalogs.Catalog()
	if c.view.Revision() == 0 {
		return api.Errorf(api.CodeNotConfigured, "no configuration yet")
	}
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return api.FieldErrorf(api.CodeCustomerMissing, "Authorization", "no bearer token")
	}
	if c.customer = c.view.Customer(token); c.customer == nil {
		return api.FieldErrorf(api.CodeCustomerUnknown, "Authorization", "the token belongs to no customer")
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes)); err != nil {
		return api.Errorf(api.CodeRequestInvalid, "read the body: %v", err)
	}
	p.budgets.earn()
	return nil
}

// refuse ends a call without an answer. The state of the call, not the error,
// decides whether the request counts as not run.
func (p *Proxy) refuse(w http.ResponseWriter, c *call, err error) {
	if endErr := c.life.end(c.key != ""); endErr != nil {
		p.log.Error().Err(endErr).Str("requestId", c.id).Msg("the request chart has no end from here")
	}
	numbered := *api.AsError(err)
	numbered.Outcome = c.life.outcome()
	numbered.RequestID = c.id
	p.log.Info().Int("code", int(numbered.Code)).Str("requestId", c.id).
		Str("outcome", string(numbered.Outcome)).Msg(numbered.Message)
	if c.stream != nil && c.stream.started {
		c.stream.fail(&numbered)
		return
	}
	httpx.WriteError(w, &numbered)
}

// fire moves the call on in the request chart. An event that the chart does
// not have from here is a fault of the program.
func (p *Proxy) fire(c *call, event statechart.Event) {
	if err := c.life.fire(event); err != nil {
		p.log.Error().Err(err).Str("requestId", c.id).Msg("unexpected event in the request chart")
	}
}
