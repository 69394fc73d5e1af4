// Package routetable holds the whole configuration of the routes in one piece:
// an operator replaces it at once, under a generation that only rises.
package routetable

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/flatepool"
)

// maxSourceBytes bounds a declared table, against a compressed one that expands
// without end.
const maxSourceBytes = 64 << 20

// Document is a route table as it was declared, with its generation.
type Document struct {
	Generation uint64 `json:"generation"`
	// Source is the declared form, compressed.
	Source []byte `json:"source"`
}

// NewDocument returns the document of a declared source.
func NewDocument(generation uint64, source []byte) (*Document, error) {
	compressed, err := flatepool.Compress(source)
	if err != nil {
		return nil, errors.Wrap(err, "compress a route table")
	}
	return &Document{Generation: generation, Source: compressed}, nil
}

// DecodeSource returns the source as the operator sent it.
func (d *Document) DecodeSource() ([]byte, error) {
	out, err := flatepool.Expand(d.Source, maxSourceBytes)
	return out, errors.Wrap(err, "expand a route table")
}

// Decoder reads the declared form of a table, whatever the operators speak.
type Decoder func(source []byte) (*Table, error)

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run once at most.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by events; they run once at most unless
	// the route is resumable.
	KindStream Kind = "stream"
)

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool   string
	Weight float64
}

// Route sends the requests of a host and path prefix to pools.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is on time.
	Objective time.Duration
	// LongestPause is the longest pause of a stream that is on time; 0 sets none.
	LongestPause time.Duration
	// Priority ranks the route; 0 is first.
	Priority int
	Targets  []Target
	// MaxServers is how many servers one request may be sent to, 1 at least.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Pool is a group of equal backend servers.
type Pool struct {
	Name string
	// Engine says that the servers generate tokens and keep the parts of prompts.
	Engine bool
}

// Customer is a caller with its keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the route's where it is set.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Table is a whole route table.
type Table struct {
	Generation uint64
	Routes     []Route
	Pools      []Pool
	Customers  []Customer
	Limits     Limits

	byHost  map[string][]*Route
	byKey   map[string]*Customer
	byPool  map[string]*Pool
	hasKeys bool
}

// Validate returns the first fault of the table as CodeRouteTable, and prepares
// the look-ups.
func (t *Table) Validate() error {
	t.byPool = make(map[string]*Pool, len(t.Pools))
	for i := range t.Pools {
		pool := &t.Pools[i]
		if pool.Name == "" || t.byPool[pool.Name] != nil {
			return invalid(fmt.Sprintf("pools[%d].name", i), "%q is empty or stands twice", pool.Name)
		}
		t.byPool[pool.Name] = pool
	}
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		if err := t.addRoute(i); err != nil {
			return err
		}
	}
	return t.indexKeys()
}

func (t *Table) addRoute(i int) error {
	route := &t.Routes[i]
	field := func(name string) string { return fmt.Sprintf("routes[%d].%s", i, name) }
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return invalid(field("prefix"), "%q does not begin and end with a slash", route.Prefix)
	}
	if route.Timeout <= 0 {
		return invalid(field("limit"), "%v is not above 0", route.Timeout)
	}
	switch route.Kind {
	case KindSafe, KindUnsafe, KindStream:
	default:
		return invalid(field("kind"), "%q is unknown", route.Kind)
	}
	sum := 0.0
	for j, target := range route.Targets {
		if t.byPool[target.Pool] == nil {
			return invalid(field(fmt.Sprintf("targets[%d].pool", j)), "there is no pool %q", target.Pool)
		}
		if target.Weight < 0 {
			return invalid(field(fmt.Sprintf("targets[%d].weight", j)), "%v is below 0", target.Weight)
		}
		sum += target.Weight
	}
	if sum <= 0 {
		return invalid(field("targets"), "the weights add up to 0")
	}
	host := strings.ToLower(route.Host)
	for _, other := range t.byHost[host] {
		if other.Prefix == route.Prefix {
			return invalid(field("prefix"), "host %q and prefix %q stand twice", route.Host, route.Prefix)
		}
	}
	t.byHost[host] = append(t.byHost[host], route)
	return nil
}

func (t *Table) indexKeys() error {
	t.hasKeys = len(t.Customers) > 0
	t.byKey = make(map[string]*Customer)
	for i := range t.Customers {
		customer := &t.Customers[i]
		for j, key := range customer.Keys {
			if other := t.byKey[key]; other != nil && other != customer {
				return invalid(fmt.Sprintf("customers[%d].keys[%d]", i, j), "the key belongs to two customers")
			}
			t.byKey[key] = customer
		}
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return api.FieldErrorf(api.CodeRouteTable, field, format, args...)
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.byHost[host[:i]]
		}
	}
	var best *Route
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// NeedsKey reports whether a request on the route has to carry a customer's key.
func (t *Table) NeedsKey(route *Route) bool { return t.hasKeys && !route.Public }

// Customer returns the customer that holds the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.byKey[key] }

// Pool returns the pool with the name, or nil.
func (t *Table) Pool(name string) *Pool { return t.byPool[name] }
