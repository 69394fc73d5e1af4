package proxy

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/jsonx"
)

const chatPath = "/v1/chat/completions"

// chat executes a chat completion request.
func (p *Proxy) chat(w http.ResponseWriter, r *http.Request, c *call) error {
	request := &api.ChatRequest{}
	if err := jsonx.Decode(bytes.NewReader(c.body), request); err != nil {
		return api.TextError(api.CodeRequestInvalid, "", err)
	}
	if err := request.Validate(); err != nil {
		return err
	}
	route, ok := c.config.Route(api.Ref(request.Model))
	if !ok {
		return api.FieldErrorf(api.CodeModelUnknown, "model", "no intent, model version or pool has the name %q", request.Model)
	}
	if route.Model != "" {
		request.Model = route.Model
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return p.execute(w, r, c, job{
		route:      route,
		idempotent: !route.NonIdempotent,
		chat:       true,
		stream:     request.Stream,
		backendRequest: outboundRequest{
			method: http.MethodPost, path: chatPath, body: body, header: backendHeader(r, c, route.Class),
		},
		forwardedRequest: outboundRequest{method: http.MethodPost, path: chatPath, body: c.body, header: forwardedHeader(r, c)},
		placement:        placementRequest(r, c, route),
	})
}

func placementRequest(r *http.Request, c *call, route catalog.Route) balance.Request {
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
