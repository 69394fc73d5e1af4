// Package catalog holds the configuration of a router at a revision, with indexes by
// name and by bearer token.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"peridotwinch.example/peridotwinch/api"
)

// Catalog is an immutable set of resources at a revision. It shares unchanged parts
// with the catalogs of earlier revisions (copy on write). It is safe for concurrent
// use.
type Catalog struct {
	revision  uint64
	resources *shardedMap[string, *entry]
	// qualifiedNames and unqualifiedNames index resources by name with and without
	// a scheme. Customers are left out: neither requests nor resources refer to
	// them by name.
	qualifiedNames   *shardedMap[nameKey, *entry]
	unqualifiedNames *shardedMap[nameKey, []*entry]
	// tokens indexes customers by the digests of their bearer tokens.
	tokens *shardedMap[tokenDigest, *Customer]
}

// nameKey is the key of a name index.
type nameKey struct {
	kind api.Kind
	ref  api.Ref
}

// tokenDigest is the SHA-256 digest of a bearer token.
type tokenDigest [sha256.Size]byte

// Customer holds the fields of a customer that requests need. Weight is at least 1.
type Customer struct {
	UID    string
	Weight int
}

// Pool is a pool with its specification and that of its fleet, if it has one.
type Pool struct {
	UID   string
	Spec  *api.PoolSpec
	fleet *api.FleetSpec
}

// Route holds the pool that serves the requests for a name, and how to serve them.
// DeadlineMS is in milliseconds.
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

// New returns a catalog with the given resources, which are keyed by UID.
func New(revision uint64, resources map[string]*api.Resource) *Catalog {
	c := &Catalog{revision: revision}
	c.shareWith(&Catalog{})
	for _, resource := range resources {
		c.add(resource)
	}
	return c
}

// shareWith makes the catalog hold the contents of another one without copying them.
func (c *Catalog) shareWith(other *Catalog) {
	c.resources = other.resources.clone()
	c.qualifiedNames = other.qualifiedNames.clone()
	c.unqualifiedNames = other.unqualifiedNames.clone()
	c.tokens = other.tokens.clone()
}

// Apply returns a catalog with the changes of a higher revision. It returns c
// itself if the revision is not higher, so that a catalog never reverts. A snapshot
// replaces all resources. Only the changed resources are decoded, and only the
// parts of the indexes that contain them are copied.
func (c *Catalog) Apply(revision uint64, snapshot bool, changes []*api.Resource) *Catalog {
	if revision <= c.revision {
		return c
	}
	next := New(revision, nil)
	if !snapshot {
		next.shareWith(c)
	}
	for _, change := range changes {
		next.remove(change.UID)
		if !change.Deleted {
			next.add(change)
		}
	}
	return next
}

// Resources returns all resources encoded as JSON, in ascending order of their
// resource versions.
func (c *Catalog) Resources() []json.RawMessage {
	entries := make([]*entry, 0, c.Len())
	for _, e := range c.resources.iterate {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	resources := make([]json.RawMessage, 0, len(entries))
	for _, e := range entries {
		resources = append(resources, e.encoded)
	}
	return resources
}

// Revision returns the revision of the catalog.
func (c *Catalog) Revision() uint64 { return c.revision }

// Len returns the number of resources.
func (c *Catalog) Len() int { return c.resources.count }

// add adds a resource to the indexes. A resource whose specification cannot be
// decoded is kept, but cannot be found by name or token.
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
		c.qualifiedNames.set(nameKey{resource.Kind, api.Ref(string(scheme) + ":" + name)}, e)
		unqualified := nameKey{resource.Kind, api.Ref(name)}
		c.unqualifiedNames.set(unqualified, append(slices.Clip(c.unqualifiedNames.get(unqualified)), e))
	}
}

// remove removes a resource from the indexes. The lists of unqualified names are
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
		if c.qualifiedNames.get(key) == e {
			c.qualifiedNames.remove(key)
		}
		c.removeUnqualified(nameKey{resource.Kind, api.Ref(name)}, e)
	}
}

func (c *Catalog) removeUnqualified(key nameKey, removed *entry) {
	remaining := slices.DeleteFunc(slices.Clone(c.unqualifiedNames.get(key)), func(e *entry) bool { return e == removed })
	if len(remaining) == 0 {
		c.unqualifiedNames.remove(key)
		return
	}
	c.unqualifiedNames.set(key, remaining)
}

// removeTokens removes a customer's tokens, except those that another customer has
// by now.
func (c *Catalog) removeTokens(uid string, spec *api.CustomerSpec) {
	for _, digest := range decodeDigests(spec) {
		if holder := c.tokens.get(digest); holder != nil && holder.UID == uid {
			c.tokens.remove(digest)
		}
	}
}

func (c *Catalog) addTokens(resource *api.Resource, spec *api.CustomerSpec) {
	customer := &Customer{UID: resource.UID, Weight: max(spec.Weight, 1)}
	for _, digest := range decodeDigests(spec) {
		c.tokens.set(digest, customer)
	}
}

// decodeDigests returns the digests of a customer's tokens. It skips values that are
// not valid digests.
func decodeDigests(spec *api.CustomerSpec) []tokenDigest {
	digests := make([]tokenDigest, 0, len(spec.TokenDigests))
	for _, encoded := range spec.TokenDigests {
		var digest tokenDigest
		n, err := hex.Decode(digest[:], []byte(encoded[:min(len(encoded), 2*len(digest))]))
		if err == nil && n == len(digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// lookup returns the resource that ref names. It returns nil if there is none, or if
// ref has no scheme and names several resources.
func (c *Catalog) lookup(kind api.Kind, ref api.Ref) *entry {
	if e := c.qualifiedNames.get(nameKey{kind, ref}); e != nil {
		return e
	}
	var found *entry
	for _, e := range c.unqualifiedNames.get(nameKey{kind, ref}) {
		if found != nil && found != e {
			return nil
		}
		found = e
	}
	return found
}

// Customer returns the customer with the bearer token, or nil if there is none.
func (c *Catalog) Customer(token string) *Customer {
	return c.tokens.get(sha256.Sum256([]byte(token)))
}

// Pool returns the pool that ref names, with or without a scheme. It reports false
// if there is none or the name is ambiguous.
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

// LoadBound returns the load bound of the pool, or that of its fleet if the pool has
// none. Zero means the default.
func (p Pool) LoadBound() float64 {
	if p.Spec.LoadBound != 0 || p.fleet == nil {
		return p.Spec.LoadBound
	}
	return p.fleet.LoadBound
}

// Route resolves the name that a caller requests: first as an intent, then as a
// model version, then as a pool. It reports false if the name leads to no pool.
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
