package fakebackend

import (
	"io"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// PlainAnswer is what a stand-in of a plain service answers.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// plain answers a call of a plain service with its method, path and body.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.executions.began(r)
	if !actor.Sleep(r.Context(), time.Duration(s.faults.slowFactor()*float64(s.config.ServiceTime))) {
		return
	}
	if !s.faults.beforeAnswer(r) {
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &PlainAnswer{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
	s.executions.answered(r)
}
