// Package fakebackend is a stand-in backend server: a model engine with continuous
// batching and a prefix cache, or a plain service. It announces itself to a
// router, fails on command, and counts every execution by key.
package fakebackend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Server is a stand-in backend server.
type Server struct {
	config      Config
	log         zerolog.Logger
	listener    net.Listener
	incarnation uint64
	sequence    uint64
	inFlight    atomic.Int64
	// drainingSince is the time in nanoseconds at which draining began, or zero.
	drainingSince atomic.Int64
	announceNow   chan struct{}

	driver     *driver
	faults     *faultSwitch
	orders     orderBook
	executions executionLog
}

// New opens the server's listener.
func New(config Config, log zerolog.Logger) (*Server, error) {
	listener, err := httpx.Listen("listen", config.Listen)
	if err != nil {
		return nil, err
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
		orders:      orderBook{checks: config.ChecksFencing, models: config.Models},
	}, nil
}

// Address returns the address at which the server takes requests.
func (s *Server) Address() string { return s.listener.Addr().String() }

// AddActors adds the server to a group. When it is interrupted it announces that
// it is draining, finishes its requests and ends.
func (s *Server) AddActors(group *run.Group) { actor.Add(group, s.run) }

func (s *Server) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.driver.run(background) }()
	go s.announceAll(background)
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	context.AfterFunc(ctx, func() {
		s.drain()
		actor.Sleep(background, s.config.DrainGrace)
		stopServing()
	})
	return httpx.Serve(serving, s.listener, s.handler(), DrainLimit)
}

// drain announces that the server takes no new work.
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
	mux.HandleFunc("POST /v1/chat/completions", s.enter(s.chat))
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("GET /stats", s.showStats)
	mux.HandleFunc("GET /control", s.showFaults)
	mux.HandleFunc("POST /control", s.setFaults)
	mux.HandleFunc("POST /orders", s.takeOrder)
	mux.HandleFunc("/", s.enter(s.plain))
	return mux
}

// enter counts a request as load, and refuses it where a fault asks for that.
func (s *Server) enter(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.noteLate()
		if s.faults.refuses() {
			httpx.WriteError(w, api.Errorf(api.CodeOverloaded, "refused on command").NotRun())
			return
		}
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		handle(w, r)
	}
}

// noteLate counts a request that came after the server had announced that it is
// draining.
func (s *Server) noteLate() {
	since := s.drainingSince.Load()
	if since == 0 {
		return
	}
	s.driver.noteLate(time.Since(time.Unix(0, since)))
}
