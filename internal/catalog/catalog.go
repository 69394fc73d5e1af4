// Package catalog holds a router's view of the configuration at a revision.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"peridotwinch.example/peridotwinch/api"
)

// Catalog is an immutable set of resources at a revision, which shares what has
// not changed with the catalogs of earlier revisions. It is safe for concurrent
// use.
type Catalog struct {
	revision  uint64
	resources *shardedMap[string, *entry]
	// names and bare find the resources that others or callers refer to; no
	// request names a customer.
	names  *shardedMap[nameKey, *entry]
	bare   *shardedMap[nameKey, []*entry]
	tokens *shardedMap[tokenDigest, *Customer]
}

type nameKey struct {
	kind api.Kind
	ref  api.Ref
}

// tokenDigest is the SHA-256 digest of a bearer token.
type tokenDigest [sha256.Size]byte

// Customer is a customer as requests see it.
type Customer struct {
	UID    string
	Weight int
}

// Pool is a pool with its specification.
type Pool struct {
	UID   string
	Spec  *api.PoolSpec
	fleet *api.FleetSpec
}

// Route is where requests under a name go.
type Route struct {
	Pool          Pool
	Model         string
	Class         api.Class
	Deterministic bool
	NonIdempotent bool
	DeadlineMS    int
}

// Empty returns a catalog without resources at revision 0.
func Empty() *Catalog { return New(0, nil) }

// New returns a catalog of the given resources by UID.
func New(revision uint64, resources map[string]*api.Resource) *Catalog {
	c := &Catalog{revision: revision}
	c.share(&Catalog{})
	for _, resource := range resources {
		c.add(resource)
	}
	return c
}

// share makes the catalog hold what another one does.
func (c *Catalog) share(other *Catalog) {
	c.resources = other.resources.clone()
	c.names = other.names.clone()
	c.bare = other.bare.clone()
	c.tokens = other.tokens.clone()
}

// Apply returns a catalog with the changes of a higher revision. A snapshot
// replaces all resources. Only the changed resources are decoded, and only the
// parts of the indexes that they stand in are copied.
func (c *Catalog) Apply(revision uint64, snapshot bool, changes []*api.Resource) *Catalog {
	if revision <= c.revision {
		return c
	}
	next := New(revision, nil)
	if !snapshot {
		next.share(c)
	}
	for _, change := range changes {
		next.remove(change.UID)
		if !change.Deleted {
			next.add(change)
		}
	}
	return next
}

// Resources returns all resources encoded as JSON, those changed first first.
func (c *Catalog) Resources() []json.RawMessage {
	entries := make([]*entry, 0, c.Len())
	for _, e := range c.resources.all {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	out := make([]json.RawMessage, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.encoded)
	}
	return out
}

// Revision returns the revision of the catalog.
func (c *Catalog) Revision() uint64 { return c.revision }

// Len returns the number of resources.
func (c *Catalog) Len() int { return c.resources.count }

func (c *Catalog) add(resource *api.Resource) {
	e := newEntry(resource)
	c.resources.set(resource.UID, e)
	spec, err := api.DecodeSpec(resource.Kind, resource.Spec)
	if err != nil {
		return
	}
	if customer, ok := spec.(*api.CustomerSpec); ok {
		c.addTokens(resource, customer)
		return
	}
	e.uid, e.spec = resource.UID, spec
	for scheme, name := range resource.Names {
		c.names.set(nameKey{resource.Kind, api.Ref(string(scheme) + ":" + name)}, e)
		bare := nameKey{resource.Kind, api.Ref(name)}
		c.bare.set(bare, append(slices.Clip(c.bare.get(bare)), e))
	}
}

// remove takes a resource out of the indexes. The lists of bare names are
// shared with earlier catalogs and therefore copied.
func (c *Catalog) remove(uid string) {
	e := c.resources.get(uid)
	if e == nil {
		return
	}
	c.resources.remove(uid)
	resource, err := e.decode()
	if err != nil {
		return
	}
	spec, err := api.DecodeSpec(resource.Kind, resource.Spec)
	if err != nil {
		return
	}
	if customer, ok := spec.(*api.CustomerSpec); ok {
		c.removeTokens(uid, customer)
		return
	}
	for scheme, name := range resource.Names {
		key := nameKey{resource.Kind, api.Ref(string(scheme) + ":" + name)}
		if c.names.get(key) == e {
			c.names.remove(key)
		}
		c.removeBare(nameKey{resource.Kind, api.Ref(name)}, e)
	}
}

func (c *Catalog) removeBare(key nameKey, gone *entry) {
	rest := slices.DeleteFunc(slices.Clone(c.bare.get(key)), func(e *entry) bool { return e == gone })
	if len(rest) == 0 {
		c.bare.remove(key)
		return
	}
	c.bare.set(key, rest)
}

func (c *Catalog) removeTokens(uid string, spec *api.CustomerSpec) {
	for _, digest := range digestsOf(spec) {
		if known := c.tokens.get(digest); known != nil && known.UID == uid {
			c.tokens.remove(digest)
		}
	}
}

func (c *Catalog) addTokens(resource *api.Resource, spec *api.CustomerSpec) {
	customer := &Customer{UID: resource.UID, Weight: max(spec.Weight, 1)}
	for _, digest := range digestsOf(spec) {
		c.tokens.set(digest, customer)
	}
}

// digestsOf returns the digests of a customer's tokens; what is none is left out.
func digestsOf(spec *api.CustomerSpec) []tokenDigest {
	out := make([]tokenDigest, 0, len(spec.TokenDigests))
	for _, encoded := range spec.TokenDigests {
		var digest tokenDigest
		n, err := hex.Decode(digest[:], []byte(encoded[:min(len(encoded), 2*len(digest))]))
		if err == nil && n == len(digest) {
			out = append(out, digest)
		}
	}
	return out
}

// lookup returns the resource that ref names, or nil where none or several do.
func (c *Catalog) lookup(kind api.Kind, ref api.Ref) *entry {
	if e := c.names.get(nameKey{kind, ref}); e != nil {
		return e
	}
	var found *entry
	for _, e := range c.bare.get(nameKey{kind, ref}) {
		if found != nil && found != e {
			return nil
		}
		found = e
	}
	return found
}

// Customer returns the customer that holds the bearer token, or nil.
func (c *Catalog) Customer(token string) *Customer {
	return c.tokens.get(sha256.Sum256([]byte(token)))
}

// Pool returns the pool that ref names under any scheme.
func (c *Catalog) Pool(ref api.Ref) (Pool, bool) {
	e := c.lookup(api.KindPools, ref)
	if e == nil {
		return Pool{}, false
	}
	pool := Pool{UID: e.uid, Spec: e.spec.(*api.PoolSpec)}
	if pool.Spec.Fleet == "" {
		return pool, true
	}
	if fleet := c.lookup(api.KindFleets, pool.Spec.Fleet); fleet != nil {
		pool.fleet = fleet.spec.(*api.FleetSpec)
	}
	return pool, true
}

// LoadBound returns the pool's own bound or that of its fleet; zero means the
// default.
func (p Pool) LoadBound() float64 {
	if p.Spec.LoadBound != 0 || p.fleet == nil {
		return p.Spec.LoadBound
	}
	return p.fleet.LoadBound
}

// Route resolves the name that a caller asks for: an intent, else a model
// version, else a pool.
func (c *Catalog) Route(ref api.Ref) (Route, bool) {
	if e := c.lookup(api.KindIntents, ref); e != nil {
		return c.routeIntent(e.spec.(*api.IntentSpec))
	}
	if e := c.lookup(api.KindModelVersions, ref); e != nil {
		return c.routeModelVersion(e.spec.(*api.ModelVersionSpec))
	}
	pool, ok := c.Pool(ref)
	return Route{Pool: pool, Class: api.ClassShort}, ok
}

func (c *Catalog) routeIntent(spec *api.IntentSpec) (Route, bool) {
	route, ok := c.routeTarget(spec)
	if !ok {
		return Route{}, false
	}
	if spec.Class != "" {
		route.Class = spec.Class
	}
	route.NonIdempotent = spec.NonIdempotent
	route.DeadlineMS = spec.DeadlineMS
	return route, true
}

func (c *Catalog) routeTarget(spec *api.IntentSpec) (Route, bool) {
	if spec.ModelVersion == "" {
		pool, ok := c.Pool(spec.Pool)
		return Route{Pool: pool, Class: api.ClassShort}, ok
	}
	e := c.lookup(api.KindModelVersions, spec.ModelVersion)
	if e == nil {
		return Route{}, false
	}
	return c.routeModelVersion(e.spec.(*api.ModelVersionSpec))
}

func (c *Catalog) routeModelVersion(spec *api.ModelVersionSpec) (Route, bool) {
	pool, ok := c.Pool(spec.Pool)
	return Route{Pool: pool, Model: spec.Model, Class: api.ClassShort, Deterministic: spec.Deterministic}, ok
}
