package control

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// handleEvacuations adds the operators' interface to the evacuations.
func (c *Control) handleEvacuations(mux *http.ServeMux) {
	mux.HandleFunc("GET /apis/v1/evacuations", c.listEvacuations)
	mux.HandleFunc("PUT /apis/v1/evacuations/{domain}", c.orderHandler(true))
	mux.HandleFunc("DELETE /apis/v1/evacuations/{domain}", c.orderHandler(false))
	mux.HandleFunc("GET /apis/v1/audit/evacuations", c.auditEvacuations)
}

// refuseEvacuations adds handlers that refuse all calls, for daemons that do not join by seeds: their
// routers would not apply an order.
func refuseEvacuations(mux *http.ServeMux) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteError(w, api.FieldErrorf(api.CodeKindUnknown, "kind", "evacuations require daemons that join by seeds"))
	}
	for _, pattern := range []string{
		"GET /apis/v1/evacuations", "PUT /apis/v1/evacuations/{domain}", "DELETE /apis/v1/evacuations/{domain}", "GET /apis/v1/audit/evacuations",
	} {
		mux.HandleFunc(pattern, refuse)
	}
}

// evacuationList returns the evacuated failure domains.
func (s *Store) evacuationList() *api.EvacuationList {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.evacuations.Set()
	out := &api.EvacuationList{Revision: set.Revision, Items: []api.EvacuatedDomain{}}
	for _, name := range set.Domains {
		domain := s.evacuations.Domains[name]
		out.Items = append(out.Items, api.EvacuatedDomain{Domain: name, Since: domain.Since, Operator: domain.Operator})
	}
	return out
}

func (c *Control) listEvacuations(w http.ResponseWriter, r *http.Request) {
	if err := c.readBarrier(r.Context()); err != nil {
		httpx.WriteError(w, err)
		return
	}
	if r.URL.Query().Has("watch") {
		c.watchEvacuations(w, r)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, c.store.evacuationList())
}

func (c *Control) orderHandler(evacuate bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := c.order(r.Context(), r.Header.Get(api.HeaderOperator), r.Header.Get(api.HeaderRequestID), r.PathValue("domain"), evacuate)
		if err != nil {
			httpx.WriteError(w, err)
			return
		}
		httpx.WriteJSON(w, http.StatusOK, c.store.evacuationList())
	}
}

func (c *Control) auditEvacuations(w http.ResponseWriter, r *http.Request) {
	if err := c.readBarrier(r.Context()); err != nil {
		httpx.WriteError(w, err)
		return
	}
	out := &api.EvacuationTrail{Items: []api.EvacuationChange{}}
	for _, change := range c.store.evacuationChanges() {
		verb := api.VerbReinstate
		if change.Evacuate {
			verb = api.VerbEvacuate
		}
		out.Items = append(out.Items, api.EvacuationChange{
			Revision: change.Revision, Time: change.Time, Operator: change.Operator, RequestID: change.RequestID,
			Verb: verb, Domain: change.Domain,
		})
	}
	httpx.WriteJSON(w, http.StatusOK, out)
}

// watchEvacuations streams the list, first the current one and then each later one, and heartbeats
// as JSON lines. The watch ends while the replica has no active leader, so that the client watches
// another replica.
func (c *Control) watchEvacuations(w http.ResponseWriter, r *http.Request) {
	changed, cancel := c.store.Subscribe()
	defer cancel()
	ticker := time.NewTicker(c.settings.Timeouts.Heartbeat())
	defer ticker.Stop()
	w.Header().Set("Content-Type", "application/jsonl")
	out, controller := json.NewEncoder(w), http.NewResponseController(w)
	send := func(event *api.EvacuationEvent) bool { return out.Encode(event) == nil && controller.Flush() == nil }
	isFirst, isHeartbeatDue := true, false
	for revision := uint64(0); ; {
		list := c.store.evacuationList()
		var event *api.EvacuationEvent
		switch {
		case c.closing.Err() != nil:
			send(&api.EvacuationEvent{Type: api.EventError, Revision: revision, Error: api.Errorf(api.CodeDraining, "the control instance is shutting down")})
			return
		case !c.replica.Status().HasActiveLeader:
			send(&api.EvacuationEvent{Type: api.EventError, Revision: revision, Error: noLeaderError()})
			return
		case isFirst || list.Revision != revision:
			event = &api.EvacuationEvent{Type: api.EventChange, Revision: list.Revision, Items: list.Items}
		case isHeartbeatDue:
			event = &api.EvacuationEvent{Type: api.EventHeartbeat, Revision: revision}
		}
		if event != nil && !send(event) {
			return
		}
		isFirst, isHeartbeatDue, revision = false, false, list.Revision
		select {
		case <-r.Context().Done():
			return
		case <-c.closing.Done():
		case <-changed:
		case <-ticker.C:
			isHeartbeatDue = true
		}
	}
}
