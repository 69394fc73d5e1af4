package fakebackend

import (
	"io"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// plain answers a call to a plain service with the method, path and body of the call.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.executions.recordStart(r)
	if !actor.Sleep(r.Context(), time.Duration(s.faults.slowFactor()*float64(s.config.ServiceTime))) {
		return
	}
	if !s.faults.applyBeforeAnswer(r) {
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &PlainAnswer{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
	s.executions.recordAnswer(r)
}
