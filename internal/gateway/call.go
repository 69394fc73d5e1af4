package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// call is a caller's request with what the router has found out about it.
type call struct {
	gateway  *Gateway
	w        http.ResponseWriter
	r        *http.Request
	in       Inbound
	begun    time.Time
	table    *routetable.Table
	route    *routetable.Route
	customer *routetable.Customer
	poolName string
	pool     *pool
	body     []byte
	ctx      context.Context
	deadline time.Time

	// attempts counts the servers that may have run the request.
	attempts int
	sends    int
	exclude  []string
	stream   *relay
	// mayHaveRun says that a server got the request and did not state that it
	// left it alone.
	mayHaveRun bool
}

// admit finds route, customer and pool, and reads the body.
func (c *call) admit() error {
	if c.table == nil {
		return api.Errorf(api.CodeNotConfigured, "no route table yet")
	}
	if c.route = c.table.Route(c.r.Host, pathOf(c.r)); c.route == nil {
		return api.FieldErrorf(api.CodeRouteUnknown, "path", "host %q, generation %d", c.r.Host, c.table.Generation)
	}
	if c.table.NeedsKey(c.route) {
		if c.customer = c.table.Customer(c.in.Key); c.customer == nil {
			return api.FieldErrorf(api.CodeKeyUnknown, "key", "route %q, generation %d", c.route.Name, c.table.Generation)
		}
	}
	limit := c.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	var err error
	if c.body, err = readBody(c.w, c.r, limit); err != nil {
		return err
	}
	c.deadline = c.begun.Add(c.route.Timeout)
	if c.in.Timeout > 0 && c.in.Timeout < c.route.Timeout {
		c.deadline = c.begun.Add(c.in.Timeout)
	}
	c.poolName = pick(c.route.Targets, rand.Float64())
	declared := c.table.Pool(c.poolName)
	c.pool = c.gateway.pools.get(c.poolName, declared != nil && declared.Engine)
	c.pool.countRequest()
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, api.Errorf(api.CodeTooLarge, "%d bytes, and %d are allowed", r.ContentLength, limit)
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > 0 {
		out := make([]byte, r.ContentLength)
		_, err := io.ReadFull(body, out)
		return out, bodyError(err, limit)
	}
	out, err := io.ReadAll(body)
	return out, bodyError(err, limit)
}

func bodyError(err error, limit int64) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return api.Errorf(api.CodeTooLarge, "more than %d bytes", limit)
	}
	if err != nil {
		return api.Errorf(api.CodeRequestInvalid, "read the body: %v", err)
	}
	return nil
}

// pathOf returns the path as the caller wrote it, without the query.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(targetOf(r), "?")
	return path
}

// targetOf returns the path and query as the caller wrote them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// pick returns the pool that a value in [0, 1) falls on by the targets' weights.
func pick(targets []routetable.Target, value float64) string {
	sum := 0.0
	for _, target := range targets {
		sum += target.Weight
	}
	value *= sum
	chosen := ""
	for _, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		chosen = target.Pool
		if value < target.Weight {
			break
		}
		value -= target.Weight
	}
	return chosen
}

// priority returns the request's rank; the customer's goes before the route's.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

func (c *call) placeRequest() placement.Request {
	return placement.Request{Parts: c.in.Parts, Exclude: c.exclude, Domain: c.gateway.domain, Repeatable: c.route.Repeatable()}
}

// kind names the kind of the call's route in metrics.
func (c *call) kind() string {
	if c.route == nil {
		return "none"
	}
	return string(c.route.Kind)
}

// log returns a log line with what identifies the call.
func (c *call) log(level zerolog.Level) *zerolog.Event {
	line := c.gateway.log.WithLevel(level).Str("requestId", c.in.ID)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("pool", c.poolName).Uint64("generation", c.table.Generation)
	}
	return line
}
