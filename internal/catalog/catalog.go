// Package catalog holds a router's view of the configuration at a revision.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"peridotwinch.example/peridotwinch/api"
)

// Catalog is an immutable set of resources at a revision. It is safe for
// concurrent use.
type Catalog struct {
	revision  uint64
	resources map[string]*entry
	names     map[nameKey]*entry
	bare      map[nameKey][]*entry
	tokens    map[string]*Customer
}

type nameKey struct {
	kind api.Kind
	ref  api.Ref
}

type entry struct {
	resource *api.Resource
	spec     api.Spec
}

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
	c := &Catalog{
		revision:  revision,
		resources: make(map[string]*entry, len(resources)),
		names:     make(map[nameKey]*entry),
		bare:      make(map[nameKey][]*entry),
		tokens:    make(map[string]*Customer),
	}
	for _, resource := range resources {
		c.add(resource)
	}
	return c
}

// Apply returns a catalog with the changes of a higher revision. A snapshot
// replaces all resources. The cost of a change is a copy of the indexes; only
// the changed resources are decoded.
func (c *Catalog) Apply(revision uint64, snapshot bool, changes []*api.Resource) *Catalog {
	if revision <= c.revision {
		return c
	}
	next := New(revision, nil)
	if !snapshot {
		next.resources = maps.Clone(c.resources)
		next.names = maps.Clone(c.names)
		next.bare = maps.Clone(c.bare)
		next.tokens = maps.Clone(c.tokens)
	}
	for _, change := range changes {
		next.remove(change.UID)
		if !change.Deleted {
			next.add(change)
		}
	}
	return next
}

// Resources returns all resources, those changed first first.
func (c *Catalog) Resources() []*api.Resource {
	out := make([]*api.Resource, 0, len(c.resources))
	for _, e := range c.resources {
		out = append(out, e.resource)
	}
	slices.SortFunc(out, func(a, b *api.Resource) int { return cmp.Compare(a.ResourceVersion, b.ResourceVersion) })
	return out
}

// Revision returns the revision of the catalog.
func (c *Catalog) Revision() uint64 { return c.revision }

// Len returns the number of resources.
func (c *Catalog) Len() int { return len(c.resources) }

func (c *Catalog) add(resource *api.Resource) {
	e := &entry{resource: resource}
	c.resources[resource.UID] = e
	spec, err := api.DecodeSpec(resource.Kind, resource.Spec)
	if err != nil {
		return
	}
	e.spec = spec
	for scheme, name := range resource.Names {
		c.names[nameKey{resource.Kind, api.Ref(string(scheme) + ":" + name)}] = e
		bare := nameKey{resource.Kind, api.Ref(name)}
		c.bare[bare] = append(slices.Clip(c.bare[bare]), e)
	}
	if customer, ok := spec.(*api.CustomerSpec); ok {
		c.indexTokens(resource, customer)
	}
}

// remove takes a resource out of the indexes. The lists of bare names are
// shared with earlier catalogs and therefore copied.
func (c *Catalog) remove(uid string) {
	e := c.resources[uid]
	if e == nil {
		return
	}
	delete(c.resources, uid)
	for scheme, name := range e.resource.Names {
		key := nameKey{e.resource.Kind, api.Ref(string(scheme) + ":" + name)}
		if c.names[key] == e {
			delete(c.names, key)
		}
		c.removeBare(nameKey{e.resource.Kind, api.Ref(name)}, e)
	}
	if customer, ok := e.spec.(*api.CustomerSpec); ok {
		c.removeTokens(uid, customer)
	}
}

func (c *Catalog) removeBare(key nameKey, gone *entry) {
	rest := slices.DeleteFunc(slices.Clone(c.bare[key]), func(e *entry) bool { return e == gone })
	if len(rest) == 0 {
		delete(c.bare, key)
		return
	}
	c.bare[key] = rest
}

func (c *Catalog) removeTokens(uid string, spec *api.CustomerSpec) {
	for _, digest := range spec.TokenDigests {
		if c.tokens[digest] != nil && c.tokens[digest].UID == uid {
			delete(c.tokens, digest)
		}
	}
}

func (c *Catalog) indexTokens(resource *api.Resource, spec *api.CustomerSpec) {
	customer := &Customer{UID: resource.UID, Weight: max(spec.Weight, 1)}
	for _, digest := range spec.TokenDigests {
		c.tokens[digest] = customer
	}
}

// lookup returns the resource that ref names, or nil where none or several do.
func (c *Catalog) lookup(kind api.Kind, ref api.Ref) *entry {
	if e := c.names[nameKey{kind, ref}]; e != nil {
		return e
	}
	var found *entry
	for _, e := range c.bare[nameKey{kind, ref}] {
		if found != nil && found != e {
			return nil
		}
		found = e
	}
	return found
}

// Customer returns the customer that holds the bearer token, or nil.
func (c *Catalog) Customer(token string) *Customer {
	digest := sha256.Sum256([]byte(token))
	return c.tokens[hex.EncodeToString(digest[:])]
}

// Pool returns the pool that ref names under any scheme.
func (c *Catalog) Pool(ref api.Ref) (Pool, bool) {
	e := c.lookup(api.KindPools, ref)
	if e == nil {
		return Pool{}, false
	}
	pool := Pool{UID: e.resource.UID, Spec: e.spec.(*api.PoolSpec)}
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
