package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/bytebudget"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// call is a caller's request in progress, with its route, customer and pool.
type call struct {
	gateway    *Gateway
	w          http.ResponseWriter
	r          *http.Request
	in         Inbound
	receivedAt time.Time
	table      *routetable.Table
	route      *routetable.Route
	customer   *routetable.Customer
	poolName   string
	pool       *pool
	body       []byte
	// memory is the call's share of the memory for bodies.
	memory   *bytebudget.Share
	ctx      context.Context
	deadline time.Time

	// attempts counts the sends after which the server may have run the request;
	// sends counts all of them.
	attempts int
	sends    int
	exclude  []string
	stream   *streamState
	// forwarding is set once the head of an answer that is forwarded as it arrives was sent.
	forwarding bool
	// prompt holds the IDs of the prompt's parts that can be at fault if a server ends.
	prompt []uint64
	// lostServers counts the servers that closed the connection before they began to answer.
	lostServers int
	// lastServer is the incarnation of the server of the last send.
	lastServer uint64
	// isTrial is set if the request tests whether a part of its prompt still ends servers.
	isTrial bool
	// aloneReason is why the router chose the server of a pool whose slots are shared, or empty.
	aloneReason string
	// withheldUntil is until when the prompt is withheld, if the call is refused for that.
	withheldUntil time.Time
	// availableAt is when a server accepts requests again, if the call is refused because all
	// servers want none or limit their rate.
	availableAt time.Time
	// withheldSends counts the sends that were given up for a warm-up before anything was written.
	withheldSends int
	// mayHaveRun reports whether a server may have received the request and did not
	// state that it did not run it.
	mayHaveRun bool
}

// admit resolves route, customer and pool, and reads the body.
func (c *call) admit() error {
	if c.table == nil {
		return api.Errorf(api.CodeNotConfigured, "no route table yet")
	}
	if c.route = c.table.Route(c.r.Host, pathOf(c.r)); c.route == nil {
		return api.FieldErrorf(api.CodeRouteUnknown, "path", "no route matches the path on host %q in generation %d", c.r.Host, c.table.Generation)
	}
	if c.table.NeedsKey(c.route) {
		if c.customer = c.table.Customer(c.in.Key); c.customer == nil {
			return api.FieldErrorf(api.CodeKeyUnknown, "key", "route %q in generation %d requires a customer's key", c.route.Name, c.table.Generation)
		}
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.deadline = c.receivedAt.Add(c.route.Timeout)
	if c.in.Timeout > 0 && c.in.Timeout < c.route.Timeout {
		c.deadline = c.receivedAt.Add(c.in.Timeout)
	}
	if end := c.gateway.drainEnd.Load(); end != nil && c.deadline.After(*end) {
		return api.Errorf(api.CodeDraining, "the router stops in %v, before the request's deadline", time.Until(*end).Round(time.Millisecond))
	}
	c.poolName = pickPool(c.route.Targets, rand.Float64())
	c.pool = c.gateway.pools.get(c.poolName, c.table.Pool(c.poolName))
	c.prompt = promptPartsAtRisk(c.in.PromptParts)
	if err := c.checkPrompt(); err != nil {
		return err
	}
	c.pool.earnRetry()
	return nil
}

// pathOf returns the undecoded path as the caller sent it, without the query.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(targetOf(r), "?")
	return path
}

// targetOf returns the undecoded path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// pickPool maps a value in [0, 1) to a target's pool, in proportion to the targets' weights.
func pickPool(targets []routetable.Target, value float64) string {
	totalWeight := 0.0
	for _, target := range targets {
		totalWeight += target.Weight
	}
	value *= totalWeight
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

// priority returns the request's priority; lower values are served first. A customer's
// priority overrides the route's.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

func (c *call) placementRequest() placement.Request {
	return placement.Request{Parts: c.in.PromptParts, Exclude: c.exclude, Domain: c.gateway.domain, Retryable: c.route.Retryable()}
}

// kindLabel returns the metric label for the kind of the call's route.
func (c *call) kindLabel() string {
	if c.route == nil {
		return "none"
	}
	return string(c.route.Kind)
}

// log returns a log event with the fields that identify the call.
func (c *call) log(level zerolog.Level) *zerolog.Event {
	line := c.gateway.log.WithLevel(level).Str("requestId", c.in.ID)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("pool", c.poolName).Uint64("generation", c.table.Generation)
	}
	return line
}

func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
