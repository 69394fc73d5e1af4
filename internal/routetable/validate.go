package routetable

import (
	"fmt"
	"strings"

	"peridotwinch.example/peridotwinch/api"
)

// ObjectKind is the kind of object of a table to which a violation belongs.
type ObjectKind string

// Kinds of objects.
const (
	ObjectTable    ObjectKind = "table"
	ObjectRoute    ObjectKind = "route"
	ObjectPool     ObjectKind = "pool"
	ObjectCustomer ObjectKind = "customer"
)

// Violation is an invalid field of a table.
type Violation struct {
	Kind ObjectKind
	// Index is the object's index in the table's list of objects of this kind.
	Index int
	// Expected describes the valid values.
	Expected string
	// Err has CodeRouteTable and names the field.
	Err *api.Error
}

// Violations are the invalid fields of a table, in the order in which they are checked.
type Violations []Violation

// First returns the first violation as an error, or nil if there is none.
func (v Violations) First() error {
	if len(v) == 0 {
		return nil
	}
	return v[0].Err
}

// Has reports whether a violation of the object's field is in the list.
func (v Violations) Has(kind ObjectKind, index int, field string) bool {
	for _, violation := range v {
		if violation.Kind == kind && violation.Index == index && violation.Err.Field == field {
			return true
		}
	}
	return false
}

// Validate returns the first invalid field of the table as CodeRouteTable. It also
// builds the lookup indexes, so it must be called before any lookup.
func (t *Table) Validate() error { return t.ValidateAll().First() }

// ValidateAll returns all invalid fields of the table and builds the lookup indexes. Invalid
// objects are indexed as well, so a table with violations must not be used for lookups.
func (t *Table) ValidateAll() Violations {
	v := &validation{}
	t.byPool = make(map[string]*Pool, len(t.Pools))
	for i := range t.Pools {
		pool := &t.Pools[i]
		if pool.Name == "" || t.byPool[pool.Name] != nil {
			v.add(ObjectPool, i, fmt.Sprintf("pools[%d].name", i), "a name that no other pool has", "name %q is empty or duplicate", pool.Name)
			continue
		}
		t.byPool[pool.Name] = pool
	}
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		t.addRoute(v, i)
	}
	t.indexKeys(v)
	return v.found
}

// validation collects violations.
type validation struct{ found Violations }

func (v *validation) add(kind ObjectKind, index int, field, expected, format string, args ...any) {
	v.found = append(v.found, Violation{
		Kind: kind, Index: index, Expected: expected, Err: api.FieldErrorf(api.CodeRouteTable, field, format, args...),
	})
}

func (t *Table) addRoute(v *validation, i int) {
	route := &t.Routes[i]
	invalid := func(field, expected, format string, args ...any) {
		v.add(ObjectRoute, i, fmt.Sprintf("routes[%d].%s", i, field), expected, format, args...)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		invalid("prefix", "a path that begins and ends with a slash", "prefix %q does not begin and end with a slash", route.Prefix)
	}
	if route.Timeout <= 0 {
		invalid("limit", "a timeout greater than 0", "timeout %v is not greater than 0", route.Timeout)
	}
	switch route.Kind {
	case KindSafe, KindUnsafe, KindStream:
	default:
		invalid("kind", "a known kind of route", "unknown kind %q", route.Kind)
	}
	sum, hasNegative := 0.0, false
	for j, target := range route.Targets {
		if t.byPool[target.Pool] == nil {
			invalid(fmt.Sprintf("targets[%d].pool", j), "the name of a pool of the table", "pool %q does not exist", target.Pool)
		}
		if target.Weight < 0 {
			hasNegative = true
			invalid(fmt.Sprintf("targets[%d].weight", j), "a weight of at least 0", "weight %v is negative", target.Weight)
		}
		sum += target.Weight
	}
	// The sum says nothing more about a route whose negative weight is reported already.
	if sum <= 0 && !hasNegative {
		invalid("targets", "at least one target with a weight greater than 0", "sum of the weights is 0")
	}
	host := strings.ToLower(route.Host)
	for _, other := range t.byHost[host] {
		if other.Prefix == route.Prefix {
			invalid("prefix", "a host and prefix that no other route has", "host %q and prefix %q are used by two routes", route.Host, route.Prefix)
			break
		}
	}
	t.byHost[host] = append(t.byHost[host], route)
}

func (t *Table) indexKeys(v *validation) {
	t.hasKeys = len(t.Customers) > 0
	t.byKey = make(map[string]*Customer)
	for i := range t.Customers {
		customer := &t.Customers[i]
		for j, key := range customer.Keys {
			if other := t.byKey[key]; other != nil && other != customer {
				v.add(ObjectCustomer, i, fmt.Sprintf("customers[%d].keys[%d]", i, j), "a key that no other customer has", "key belongs to two customers")
				continue
			}
			t.byKey[key] = customer
		}
	}
}
