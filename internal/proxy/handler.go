// Package proxy takes callers' requests and carries them to backend servers.
package proxy

import (
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// maxRequestBytes bounds the body of a caller's request.
const maxRequestBytes = 8 << 20

// Catalogs gives the newest configuration.
type Catalogs interface {
	Catalog() *catalog.Catalog
}

// Proxy is the callers' side of a router.
type Proxy struct {
	log        zerolog.Logger
	catalogs   Catalogs
	dispatcher *dispatch.Dispatcher
	claimer    ledger.Claimer
	upstream   *upstream
}

// New returns the callers' side of a router.
func New(s *settings.Settings, log zerolog.Logger, catalogs Catalogs, dispatcher *dispatch.Dispatcher, claimer ledger.Claimer) *Proxy {
	return &Proxy{
		log:        log,
		catalogs:   catalogs,
		dispatcher: dispatcher,
		claimer:    claimer,
		upstream:   newUpstream(s.Timeouts.Progress()),
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
	view     *catalog.Catalog
	customer *catalog.Customer
	body     []byte
}

type handler func(w http.ResponseWriter, r *http.Request, c *call) error

// serve admits a request, runs the handler and answers its error.
func (p *Proxy) serve(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := requestID(r)
		w.Header().Set(api.HeaderRequestID, id)
		c, err := p.admit(w, r, id)
		if err == nil {
			err = handle(w, r, c)
		}
		if err != nil {
			p.refuse(w, id, err)
		}
	}
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(api.HeaderRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, id string) (*call, error) {
	view := p.catalogs.Catalog()
	if view.Revision() == 0 {
		return nil, api.Errorf(api.CodeNotConfigured, "no configuration yet").NotRun()
	}
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil, api.FieldErrorf(api.CodeCustomerMissing, "Authorization", "no bearer token").NotRun()
	}
	customer := view.Customer(token)
	if customer == nil {
		return nil, api.FieldErrorf(api.CodeCustomerUnknown, "Authorization", "the token belongs to no customer").NotRun()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, api.Errorf(api.CodeRequestInvalid, "read the body: %v", err).NotRun()
	}
	return &call{id: id, view: view, customer: customer, body: body}, nil
}

func (p *Proxy) refuse(w http.ResponseWriter, id string, err error) {
	numbered := *api.AsError(err)
	numbered.RequestID = id
	p.log.Info().Int("code", int(numbered.Code)).Str("requestId", id).
		Str("outcome", string(numbered.Outcome)).Msg(numbered.Message)
	httpx.WriteError(w, &numbered)
}
