package fakebackend

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Execution counts the executions of the requests with one key.
type Execution struct {
	// Key is the idempotency key, or the request ID of a request without one.
	Key string `json:"key"`
	// Count is how often a request with the key was started from its beginning.
	Count int `json:"count"`
	// Resumed is how often a stream was resumed at a token offset.
	Resumed int `json:"resumed,omitempty"`
	// Answered is how often the complete answer was written.
	Answered int `json:"answered"`
}

// executionLog counts executions by key. It is safe for concurrent use.
type executionLog struct {
	mu    sync.Mutex
	byKey map[string]*Execution
}

// update applies change to the counts of the request's key.
func (l *executionLog) update(r *http.Request, change func(*Execution)) {
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if key == "" {
		key = r.Header.Get(api.HeaderRequestID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey = make(map[string]*Execution)
	}
	execution := l.byKey[key]
	if execution == nil {
		execution = &Execution{Key: key}
		l.byKey[key] = execution
	}
	change(execution)
}

func (l *executionLog) recordStart(r *http.Request) { l.update(r, func(e *Execution) { e.Count++ }) }

func (l *executionLog) recordResume(r *http.Request) { l.update(r, func(e *Execution) { e.Resumed++ }) }

func (l *executionLog) recordAnswer(r *http.Request) {
	l.update(r, func(e *Execution) { e.Answered++ })
}

// list returns the counts, sorted by key.
func (l *executionLog) list() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Execution, 0, len(l.byKey))
	for _, execution := range l.byKey {
		out = append(out, *execution)
	}
	slices.SortFunc(out, func(a, b Execution) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (s *Server) listExecutions(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, s.executions.list())
}
