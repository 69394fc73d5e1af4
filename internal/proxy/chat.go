package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
)

const chatPath = "/v1/chat/completions"

// chat carries a chat completion request to a backend server.
func (p *Proxy) chat(w http.ResponseWriter, r *http.Request, c *call) error {
	request := &api.ChatRequest{}
	if err := json.Unmarshal(c.body, request); err != nil {
		return api.Errorf(api.CodeRequestInvalid, "%v", err)
	}
	if err := request.Validate(); err != nil {
		return err
	}
	route, ok := c.view.Route(api.Ref(request.Model))
	if !ok {
		return api.FieldErrorf(api.CodeModelUnknown, "model", "%q", request.Model)
	}
	if route.Model != "" {
		request.Model = route.Model
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return p.perform(w, r, c, job{
		route:      route,
		idempotent: !route.NonIdempotent,
		chat:       true,
		stream:     request.Stream,
		local: outgoing{
			method: http.MethodPost, path: chatPath, body: body, header: backendHeader(r, c, route.Class),
		},
		remote:  outgoing{method: http.MethodPost, path: chatPath, body: c.body, header: hopHeader(r, c)},
		balance: balanceRequest(r, c, route),
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
		NoOverflow:      r.Header.Get(api.HeaderHop) != "",
	}
}
