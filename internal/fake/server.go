// Package fake is a stand-in backend server: it announces itself to a router,
// answers chats and plain calls, and counts every execution.
package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Config describes a stand-in backend server.
type Config struct {
	// Listen is the IP address and port at which the server takes requests.
	Listen string
	// Announce lists the routers' addresses for announcements, tried in order.
	Announce []string
	Pool     api.Ref
	Models   []string
	Slots    int
	// TokenTime is the time between two tokens of one answer.
	TokenTime time.Duration
	// AnnounceEvery is the time between two announcements.
	AnnounceEvery time.Duration
}

// Defaults of Config.
const (
	DefaultSlots         = 16
	DefaultTokenTime     = 2 * time.Millisecond
	DefaultAnnounceEvery = time.Second
)

// Server is a stand-in backend server.
type Server struct {
	config      Config
	log         zerolog.Logger
	listener    net.Listener
	incarnation uint64
	sequence    uint64
	inFlight    atomic.Int64

	mu         sync.Mutex
	executions map[string]int
}

// New opens the server's listener.
func New(config Config, log zerolog.Logger) (*Server, error) {
	listener, err := httpx.Listen("listen", config.Listen)
	if err != nil {
		return nil, err
	}
	return &Server{
		config:      config,
		log:         log,
		listener:    listener,
		incarnation: uint64(time.Now().UnixNano()),
		executions:  make(map[string]int),
	}, nil
}

// Address returns the address at which the server takes requests.
func (s *Server) Address() string { return s.listener.Addr().String() }

// AddActors adds the server's actors to a group.
func (s *Server) AddActors(group *run.Group) {
	actor.Add(group, func(ctx context.Context) error {
		return httpx.Serve(ctx, s.listener, s.handler(), httpx.ReadHeaderTimeout)
	})
	actor.Add(group, s.announceAll)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("/", s.plain)
	return mux
}

// count records an execution under the request's key, or its request ID.
func (s *Server) count(r *http.Request) {
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if key == "" {
		key = r.Header.Get(api.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
}

func (s *Server) listExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpx.WriteJSON(w, http.StatusOK, s.executions)
}
