// Package fakebackend implements a fake backend server for tests: a model engine with
// continuous batching and a prefix cache, or a plain service. It announces itself to a
// router, injects faults on request, and counts the executions of each key.
package fakebackend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Server is a fake backend server.
type Server struct {
	config      Config
	log         zerolog.Logger
	listener    net.Listener
	incarnation uint64
	sequence    uint64
	inFlight    atomic.Int64
	// drainingSince is the Unix time in nanoseconds at which draining began, or zero.
	drainingSince atomic.Int64
	// announceNow triggers an announcement before the next interval.
	announceNow chan struct{}

	driver     *driver
	faults     *faultSwitch
	orders     orderExecutor
	executions executionLog
}

// New returns a server that listens on config.Listen. It returns an error if the address
// is invalid or in use.
func New(config Config, log zerolog.Logger) (*Server, error) {
	listener, err := httpx.Listen("listen", config.Listen)
	if err != nil {
		return nil, err
	}
	if config.RepeatAnswers {
		listener = repeatingListener{listener}
	}
	config = config.withDefaults()
	faults := &faultSwitch{}
	return &Server{
		config:      config,
		log:         log,
		listener:    listener,
		incarnation: uint64(time.Now().UnixNano()),
		announceNow: make(chan struct{}, 1),
		driver:      newDriver(config, faults),
		faults:      faults,
		orders:      orderExecutor{checksFencing: config.ChecksFencing, models: config.Models},
	}, nil
}

// Address returns the address on which the server accepts requests.
func (s *Server) Address() string { return s.listener.Addr().String() }

// AddActors adds the server to a group. When interrupted, the server announces that it is
// draining, finishes its requests and stops.
func (s *Server) AddActors(group *run.Group) { actor.Add(group, s.run) }

func (s *Server) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.driver.run(background) }()
	go s.runAnnouncements(background)
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	context.AfterFunc(ctx, func() {
		s.drain()
		actor.Sleep(background, s.config.DrainGrace)
		stopServing()
	})
	return httpx.Serve(serving, s.listener, s.handler(), DrainTimeout)
}

// drain sets the state to draining, once, and triggers an announcement of it.
func (s *Server) drain() {
	if !s.drainingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		return
	}
	s.log.Info().Int64("inFlight", s.inFlight.Load()).Msg("draining")
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

func (s *Server) state() api.ServerState {
	if s.drainingSince.Load() != 0 {
		return api.ServerDraining
	}
	return api.ServerServing
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.admit(s.chat))
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("GET /stats", s.showStats)
	mux.HandleFunc("GET /control", s.showFaults)
	mux.HandleFunc("POST /control", s.setFaults)
	mux.HandleFunc("POST /orders", s.executeOrder)
	mux.HandleFunc("/", s.admit(s.plain))
	return mux
}

// admit wraps a handler: it echoes the send ID, counts each request as load while it is
// handled, and rejects it if the Refuse fault is set.
func (s *Server) admit(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.recordRequestWhileDraining()
		w.Header().Set(api.HeaderServerState, string(s.state()))
		if sendID := r.Header.Get(api.HeaderSendID); sendID != "" {
			w.Header().Set(api.HeaderSendID, sendID)
		}
		if s.faults.refuses() {
			if pause := s.faults.get().RetryAfterMS; pause > 0 {
				w.Header().Set(api.HeaderRetryAfter, strconv.FormatFloat(float64(pause)/1000, 'f', -1, 64))
			}
			httpx.WriteError(w, api.Errorf(api.CodeOverloaded, "request rejected by an injected fault").NotRun())
			return
		}
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		handle(w, r)
	}
}

// recordRequestWhileDraining counts a request if it arrived after draining began.
func (s *Server) recordRequestWhileDraining() {
	since := s.drainingSince.Load()
	if since == 0 {
		return
	}
	s.driver.recordRequestWhileDraining(time.Since(time.Unix(0, since)))
}
