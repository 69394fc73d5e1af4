package proxy

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/jsonx"
)

// servicePathParts is the number of parts of "/services/{pool}/{path...}" split
// at slashes: the empty part before the first slash, "services", the pool and
// the rest.
const servicePathParts = 4

// maxMintedKeys bounds the idempotency keys that one request mints.
const maxMintedKeys = 1000

// service executes a request to a plain service.
func (p *Proxy) service(w http.ResponseWriter, r *http.Request, c *call) error {
	pool, ok := c.config.Pool(api.Ref(r.PathValue("pool")))
	if !ok || pool.Spec.Protocol != api.ProtocolService {
		return api.FieldErrorf(api.CodePoolUnknown, "pool", "pool %q does not exist or is not a plain service", r.PathValue("pool"))
	}
	route := catalog.Route{Pool: pool, Class: api.ClassShort}
	return p.execute(w, r, c, job{
		route:            route,
		idempotent:       isIdempotent(pool.Spec, r.Method),
		backendRequest:   outboundRequest{method: r.Method, path: servicePath(r.URL), body: c.body, header: backendHeader(r, c, route.Class)},
		forwardedRequest: outboundRequest{method: r.Method, path: r.URL.RequestURI(), body: c.body, header: forwardedHeader(r, c)},
		placement:        placementRequest(r, c, route),
	})
}

// servicePath returns the path and query that follow /services/{pool}, with the
// caller's escaping preserved.
func servicePath(u *url.URL) string {
	parts := strings.SplitN(u.EscapedPath(), "/", servicePathParts)
	path := "/" + parts[len(parts)-1]
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// mintRequest requests keys that are bound to this failure domain.
type mintRequest struct {
	Count int `json:"count"`
}

// mintResponse carries the minted keys.
type mintResponse struct {
	Keys []string `json:"keys"`
}

func (p *Proxy) mintKeys(w http.ResponseWriter, r *http.Request, c *call) error {
	request := mintRequest{}
	if err := jsonx.Decode(bytes.NewReader(c.body), &request); err != nil {
		return api.TextError(api.CodeRequestInvalid, "", err)
	}
	if request.Count < 1 || request.Count > maxMintedKeys {
		return api.FieldErrorf(api.CodeRequestInvalid, "count", "must be within 1 to %d, is %d", maxMintedKeys, request.Count)
	}
	keys, err := p.claimer.Mint(r.Context(), request.Count)
	if err != nil {
		return err
	}
	httpx.WriteJSON(w, http.StatusOK, &mintResponse{Keys: keys})
	return nil
}
