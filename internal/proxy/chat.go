package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
)

// chat carries a chat completion request to a backend server.
func (p *Proxy) chat(w http.ResponseWriter, r *http.Request, c *call) error {
	request := &api.ChatRequest{}
	if err := json.Unmarshal(c.body, request); err != nil {
		return api.Errorf(api.CodeRequestInvalid, "%v", err).NotRun()
	}
	if err := request.Validate(); err != nil {
		return err.NotRun()
	}
	route, ok := c.view.Route(api.Ref(request.Model))
	if !ok {
		return api.FieldErrorf(api.CodeModelUnknown, "model", "%q", request.Model).NotRun()
	}
	lease, err := p.dispatcher.Acquire(r.Context(), c.view, route.Pool, route.Model, balanceRequest(r, c, route))
	if err != nil {
		return err
	}
	if route.Model != "" {
		request.Model = route.Model
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	w.Header().Set(api.HeaderAffinity, balance.FormatHint(lease.Server, lease.Incarnation))
	return p.forward(w, r, lease, outgoing{
		method: http.MethodPost, path: "/v1/chat/completions", body: body,
		requestID: c.id, class: route.Class,
	})
}

func balanceRequest(r *http.Request, c *call, route catalog.Route) balance.Request {
	hint, incarnation := balance.ParseHint(r.Header.Get(api.HeaderAffinity))
	return balance.Request{
		Chat:            r.Header.Get(api.HeaderChat),
		Hint:            hint,
		HintIncarnation: incarnation,
		Customer:        c.customer.UID,
		Weight:          c.customer.Weight,
		Class:           route.Class,
		FirstByteWithin: time.Duration(route.DeadlineMS) * time.Millisecond,
	}
}
