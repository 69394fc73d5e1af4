package proxy

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// servicePathParts is the number of parts of "/services/{pool}/{path...}": the
// empty one before the first slash, two names and the rest.
const servicePathParts = 4

// maxMintedKeys bounds the keys that one request mints.
const maxMintedKeys = 1000

// service carries a call of a plain service to a backend server.
func (p *Proxy) service(w http.ResponseWriter, r *http.Request, c *call) error {
	pool, ok := c.view.Pool(api.Ref(r.PathValue("pool")))
	if !ok || pool.Spec.Protocol != api.ProtocolService {
		return api.FieldErrorf(api.CodePoolUnknown, "pool", "%q", r.PathValue("pool"))
	}
	route := catalog.Route{Pool: pool, Class: api.ClassShort}
	return p.perform(w, r, c, job{
		route:      route,
		idempotent: isIdempotent(pool.Spec, r.Method),
		local:      outgoing{method: r.Method, path: servicePath(r.URL), body: c.body, header: backendHeader(r, c, route.Class)},
		remote:     outgoing{method: r.Method, path: r.URL.RequestURI(), body: c.body, header: hopHeader(r, c)},
		balance:    balanceRequest(r, c, route),
	})
}

// servicePath returns the path and query behind /services/{pool}, escaped as
// the caller wrote them.
func servicePath(u *url.URL) string {
	parts := strings.SplitN(u.EscapedPath(), "/", servicePathParts)
	path := "/" + parts[len(parts)-1]
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// mintRequest asks for keys that are bound to this failure domain.
type mintRequest struct {
	Count int `json:"count"`
}

// mintResponse carries minted keys.
type mintResponse struct {
	Keys []string `json:"keys"`
}

func (p *Proxy) mintKeys(w http.ResponseWriter, r *http.Request, c *call) error {
	request := mintRequest{}
	if err := json.Unmarshal(c.body, &request); err != nil {
		return api.Errorf(api.CodeRequestInvalid, "%v", err)
	}
	if request.Count < 1 || request.Count > maxMintedKeys {
		return api.FieldErrorf(api.CodeRequestInvalid, "count", "not within 1 to %d: %d", maxMintedKeys, request.Count)
	}
	keys, err := p.claimer.Mint(r.Context(), request.Count)
	if err != nil {
		return err
	}
	httpx.WriteJSON(w, http.StatusOK, &mintResponse{Keys: keys})
	return nil
}
