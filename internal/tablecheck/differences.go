package tablecheck

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/jsonx"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// Change is what happened to an object.
type Change string

// Changes of objects.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeUpdated Change = "changed"
)

// FieldChange is a changed field. Before is empty for an added key, After for a removed one.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Difference is an object that differs between two tables.
type Difference struct {
	Object Object `json:"object"`
	Change Change `json:"change"`
	// Fields are the changed fields of an object in both tables.
	Fields []FieldChange `json:"fields,omitempty"`
}

// Comparison has the differences of a table from a base.
type Comparison struct {
	// Base names the base.
	Base string `json:"base"`
	// BaseGeneration is nil if there is no table in force yet.
	BaseGeneration *uint64      `json:"baseGeneration"`
	Differences    []Difference `json:"differences"`
	// OnlyUnused is set if the versions are equal and the sources differ only in fields that the
	// product does not use.
	OnlyUnused bool `json:"onlyUnused"`
}

// Base is the table with which another one is compared.
type Base struct {
	// Name names the base in the report.
	Name string
	// Table is nil if there is no table in force yet.
	Table *routetable.Table
	// SameSource is set if both sources have the same JSON value.
	SameSource bool
}

// SameValue reports whether two sources have the same JSON value. A source that jsonx.Decode refuses
// has the same value as an equal one only.
func SameValue(a, b []byte) bool {
	var valueA, valueB any
	return bytes.Equal(a, b) || jsonx.Decode(bytes.NewReader(a), &valueA) == nil &&
		jsonx.Decode(bytes.NewReader(b), &valueB) == nil && reflect.DeepEqual(valueA, valueB)
}

// Compare adds the differences of the table from a base to the report. It adds an error if the table
// differs and its version is not higher: control then answers with success and changes nothing.
func (r *Report) Compare(table *routetable.Table, base Base) {
	if table == nil {
		return
	}
	comparison := &Comparison{Base: base.Name, Differences: []Difference{}}
	r.Comparison = comparison
	before := base.Table
	if before == nil {
		before = &routetable.Table{Limits: table.Limits}
	} else {
		comparison.BaseGeneration = &before.Generation
	}
	comparison.Differences = append(comparison.Differences, differences(before, table)...)
	comparison.OnlyUnused = len(comparison.Differences) == 0 && base.Table != nil &&
		!base.SameSource && before.Generation == table.Generation
	differs := len(comparison.Differences) > 0 || !base.SameSource
	if base.Table != nil && differs && table.Generation <= before.Generation {
		r.Errors = append(r.Errors, Finding{
			Code: api.CodeRouteTable, CodeName: api.CodeRouteTable.String(), Object: Object{Kind: routetable.ObjectTable},
			Field: "generation", Expected: fmt.Sprintf("a version higher than %d", before.Generation),
			Message: fmt.Sprintf("version %d is not higher: control would answer with success and change nothing", table.Generation),
		})
	}
}

func differences(before, after *routetable.Table) []Difference {
	out := differ(routetable.ObjectRoute, before.Routes, after.Routes, func(r routetable.Route) string { return r.Name }, routeFields)
	out = append(out, differ(routetable.ObjectPool, before.Pools, after.Pools, func(p routetable.Pool) string { return p.Name }, poolFields)...)
	out = append(out, differ(routetable.ObjectCustomer, before.Customers, after.Customers, func(c routetable.Customer) string { return c.Name }, customerFields)...)
	limits := changed("limits.maxBodyBytes", before.Limits.MaxBodyBytes, after.Limits.MaxBodyBytes)
	if len(limits) > 0 {
		out = append(out, Difference{Object: Object{Kind: routetable.ObjectTable}, Change: ChangeUpdated, Fields: limits})
	}
	return out
}

// identity is the name of an object and its position among the objects of that name: the names of
// routes and customers need not differ.
type identity struct {
	name       string
	occurrence int
}

func identities[T any](list []T, nameOf func(T) string) ([]identity, map[identity]int) {
	ids, indexes := make([]identity, len(list)), make(map[identity]int, len(list))
	counts := make(map[string]int)
	for i, object := range list {
		name := nameOf(object)
		ids[i] = identity{name, counts[name]}
		indexes[ids[i]] = i
		counts[name]++
	}
	return ids, indexes
}

// differ returns the objects that differ between two lists: first those of the list after, in its
// order, then those removed. The index of an object is that in the list that has it.
func differ[T any](kind routetable.ObjectKind, before, after []T, nameOf func(T) string, fields func(before, after T) []FieldChange) []Difference {
	var out []Difference
	beforeIDs, beforeIndexes := identities(before, nameOf)
	afterIDs, afterIndexes := identities(after, nameOf)
	for i, id := range afterIDs {
		object := Object{Kind: kind, Index: i, Name: id.name}
		j, ok := beforeIndexes[id]
		if !ok {
			out = append(out, Difference{Object: object, Change: ChangeAdded})
		} else if changes := fields(before[j], after[i]); len(changes) > 0 {
			out = append(out, Difference{Object: object, Change: ChangeUpdated, Fields: changes})
		}
	}
	for i, id := range beforeIDs {
		if _, ok := afterIndexes[id]; !ok {
			out = append(out, Difference{Object: Object{Kind: kind, Index: i, Name: id.name}, Change: ChangeRemoved})
		}
	}
	return out
}

// changed returns the change of a field, or none if both values print the same.
func changed(field string, before, after any) []FieldChange {
	b, a := formatValue(before), formatValue(after)
	if b == a {
		return nil
	}
	return []FieldChange{{Field: field, Before: b, After: a}}
}

// formatValue prints an empty value as quotes, because an empty FieldChange.Before or After stands
// for an absent key.
func formatValue(value any) string {
	if text := fmt.Sprint(value); text != "" {
		return text
	}
	return `""`
}

func routeFields(b, a routetable.Route) []FieldChange {
	return slices.Concat(
		changed("host", b.Host, a.Host), changed("prefix", b.Prefix, a.Prefix), changed("kind", b.Kind, a.Kind),
		changed("limit", b.Timeout, a.Timeout), changed("latencyObjective", b.LatencyObjective, a.LatencyObjective),
		changed("pauseObjective", b.PauseObjective, a.PauseObjective), changed("priority", b.Priority, a.Priority),
		changed("targets", formatTargets(b.Targets), formatTargets(a.Targets)), changed("maxServers", b.MaxServers, a.MaxServers),
		changed("public", b.Public, a.Public), changed("resumable", b.Resumable, a.Resumable),
	)
}

func formatTargets(targets []routetable.Target) string {
	parts := make([]string, len(targets))
	for i, target := range targets {
		parts[i] = fmt.Sprintf("%s:%v", target.Pool, target.Weight)
	}
	return strings.Join(parts, " ")
}

func poolFields(b, a routetable.Pool) []FieldChange {
	return slices.Concat(
		changed("engine", b.Engine, a.Engine), changed("warmupPerSecond", b.WarmupPerSecond, a.WarmupPerSecond),
		changed("warmupTime", b.WarmupTime, a.WarmupTime),
	)
}

func customerFields(b, a routetable.Customer) []FieldChange {
	out := changed("priority", formatPriority(b.Priority), formatPriority(a.Priority))
	for _, key := range b.Keys {
		if !slices.Contains(a.Keys, key) {
			out = append(out, FieldChange{Field: "keys", Before: maskKey(key)})
		}
	}
	for _, key := range a.Keys {
		if !slices.Contains(b.Keys, key) {
			out = append(out, FieldChange{Field: "keys", After: maskKey(key)})
		}
	}
	return out
}

func formatPriority(priority *int) string {
	if priority == nil {
		return "that of the route"
	}
	return strconv.Itoa(*priority)
}

const (
	// shownKeyLength is the number of characters of a key that are printed.
	shownKeyLength = 4
	// minShownKeyLength is the length below which no character is printed: the rest would be
	// short enough to guess.
	minShownKeyLength = 16
)

// maskKey returns a key's first characters, or none of a short key's, and its length.
func maskKey(key string) string {
	if len(key) < minShownKeyLength {
		return fmt.Sprintf("*** (%d bytes)", len(key))
	}
	return fmt.Sprintf("%q*** (%d bytes)", key[:shownKeyLength], len(key))
}
