// Package routetable defines the route table: the configuration of all routes in one
// document. An operator replaces it as a whole, with a generation that only increases.
package routetable

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/flatepool"
)

// maxSourceBytes limits a decompressed table, as a guard against decompression bombs.
const maxSourceBytes = 64 << 20

// Document is a route table as the operator declared it, with its generation.
type Document struct {
	Generation uint64 `json:"generation"`
	// Source is the compressed declared form.
	Source []byte `json:"source"`
}

// NewDocument compresses a declared source into a document.
func NewDocument(generation uint64, source []byte) (*Document, error) {
	compressed, err := flatepool.Compress(source)
	if err != nil {
		return nil, errors.Wrap(err, "compress a route table")
	}
	return &Document{Generation: generation, Source: compressed}, nil
}

// DecodeSource returns the decompressed source, byte for byte as the operator sent it.
func (d *Document) DecodeSource() ([]byte, error) {
	out, err := flatepool.Expand(d.Source, maxSourceBytes)
	return out, errors.Wrap(err, "decompress a route table")
}

// Decoder decodes and validates the declared form of a table, whose format depends on the
// adapter.
type Decoder func(source []byte) (*Table, error)

// Kind classifies the requests of a route by whether they may be retried.
type Kind string

// Kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by an event stream; they run at most once
	// unless the route is resumable.
	KindStream Kind = "stream"
)

// Target is a pool with its weight among the targets of a route.
type Target struct {
	Pool   string
	Weight float64
}

// Route maps the requests of a host and path prefix to pools.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is how long a caller waits at most.
	Timeout time.Duration
	// LatencyObjective is the latency objective: a faster answer is on time.
	LatencyObjective time.Duration
	// PauseObjective is the objective for the longest pause within a stream; 0 means none.
	PauseObjective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxServers is the number of servers to which one request may be sent, at least 1.
	MaxServers int
	// Public is set if the route needs no key.
	Public bool
	// Resumable is set if another server may continue a stream of the route.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Pool is a group of interchangeable backend servers.
type Pool struct {
	Name string
	// Engine is set if the servers generate tokens and cache prompt parts.
	Engine bool
	// WarmupPerSecond is the rate of requests that a server accepts from all routers together
	// while it warms up, for WarmupTime after a start. At most 0 means no limit.
	WarmupPerSecond float64
	WarmupTime      time.Duration
}

// Customer is a customer with its API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
}

// Limits are the limits on a caller's requests.
type Limits struct {
	MaxBodyBytes int64
}

// Table is a decoded route table.
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

// Route returns the host's route with the longest prefix that matches the path, or nil.
// Host matches in any case, with or without a port.
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

// NeedsKey reports whether a request of the route must carry a customer's key.
func (t *Table) NeedsKey(route *Route) bool { return t.hasKeys && !route.Public }

// Customer returns the customer that has the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.byKey[key] }

// Pool returns the pool with the name, or nil.
func (t *Table) Pool(name string) *Pool { return t.byPool[name] }
