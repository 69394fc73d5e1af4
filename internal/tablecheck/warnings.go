package tablecheck

import (
	"fmt"
	"strings"

	"peridotwinch.example/peridotwinch/internal/routetable"
)

// Characters that no Host header, and no path as routers match it, contains. Routers match
// the path as the caller sent it, without decoding, up to the first question mark.
const (
	neverInHost = "/\\*?#@ \t"
	neverInPath = "?# \t"
)

// warnings returns entries without an effect and limits that contradict each other.
func warnings(table *routetable.Table) []Finding {
	w := &warner{table: table}
	for i := range table.Routes {
		w.checkMatch(i)
		w.checkTargets(i)
		w.checkLimits(i)
	}
	w.checkPools()
	w.checkCustomers()
	if limit := table.Limits.MaxBodyBytes; limit <= 0 {
		w.add(routetable.ObjectTable, 0, "limits.maxBodyBytes", "a limit greater than 0", "limit %d has no effect: routers apply their default", limit)
	}
	return w.found
}

// warner collects the warnings about a table.
type warner struct {
	table *routetable.Table
	found []Finding
}

func (w *warner) add(kind routetable.ObjectKind, index int, field, expected, format string, args ...any) {
	w.found = append(w.found, Finding{
		Object: objectOf(w.table, kind, index), Field: field, Expected: expected, Message: fmt.Sprintf(format, args...),
	})
}

// addRoute adds a warning about a field of a route.
func (w *warner) addRoute(i int, field, expected, format string, args ...any) {
	w.add(routetable.ObjectRoute, i, fmt.Sprintf("routes[%d].%s", i, field), expected, format, args...)
}

func (w *warner) checkMatch(i int) {
	route := &w.table.Routes[i]
	if route.Host == "" || strings.ContainsAny(route.Host, neverInHost) {
		w.addRoute(i, "host", "a host name or address, with or without a port", "host %q matches no request", route.Host)
	}
	if strings.ContainsAny(route.Prefix, neverInPath) {
		w.addRoute(i, "prefix", "a path as callers send it, without a query", "prefix %q matches no path", route.Prefix)
	}
}

func (w *warner) checkTargets(i int) {
	sum := 0.0
	for _, target := range w.table.Routes[i].Targets {
		sum += target.Weight
	}
	if sum <= 0 {
		// The weights are an error.
		return
	}
	for j, target := range w.table.Routes[i].Targets {
		if target.Weight == 0 {
			w.addRoute(i, fmt.Sprintf("targets[%d].weight", j), "a weight greater than 0", "pool %q gets no request of the route", target.Pool)
		}
	}
}

func (w *warner) checkLimits(i int) {
	route := &w.table.Routes[i]
	if route.Timeout > 0 && route.Timeout < route.LatencyObjective {
		w.addRoute(i, "latencyObjective", "at most the timeout", "the timeout %v ends a request before the latency objective %v", route.Timeout, route.LatencyObjective)
	}
	if route.Timeout > 0 && route.PauseObjective > route.Timeout {
		w.addRoute(i, "pauseObjective", "at most the timeout", "the timeout %v ends a request before the pause objective %v", route.Timeout, route.PauseObjective)
	}
	isKindKnown := route.Kind == routetable.KindSafe || route.Kind == routetable.KindUnsafe || route.Kind == routetable.KindStream
	if isKindKnown && !route.Retryable() && route.MaxServers > 1 {
		w.addRoute(i, "maxServers", "1 server", "%d servers per request contradict the kind: a request of the route runs at most once", route.MaxServers)
	}
}

func (w *warner) checkPools() {
	used := make(map[string]bool)
	for _, route := range w.table.Routes {
		for _, target := range route.Targets {
			used[target.Pool] = true
		}
	}
	for i, pool := range w.table.Pools {
		field := func(name string) string { return fmt.Sprintf("pools[%d].%s", i, name) }
		if !used[pool.Name] {
			w.add(routetable.ObjectPool, i, field("name"), "a pool that a route uses", "no route uses the pool")
		}
		switch {
		case pool.WarmupPerSecond > 0 && pool.WarmupTime <= 0:
			w.add(routetable.ObjectPool, i, field("warmupTime"), "a time greater than 0", "the rate of %v requests per second while servers warm up has no effect without a time", pool.WarmupPerSecond)
		case pool.WarmupPerSecond <= 0 && pool.WarmupTime > 0:
			w.add(routetable.ObjectPool, i, field("warmupPerSecond"), "a rate greater than 0", "the time of %v in which servers warm up has no effect without a rate", pool.WarmupTime)
		}
	}
}

func (w *warner) checkCustomers() {
	hasPublic, needsKey := false, false
	for i := range w.table.Routes {
		hasPublic = hasPublic || w.table.Routes[i].Public
		needsKey = needsKey || !w.table.Routes[i].Public
	}
	for i, customer := range w.table.Customers {
		field := fmt.Sprintf("customers[%d].keys", i)
		if len(customer.Keys) == 0 && !hasPublic {
			w.add(routetable.ObjectCustomer, i, field, "at least one key, or a public route", "the customer has no key and no route is public")
		}
		if len(customer.Keys) > 0 && !needsKey {
			w.add(routetable.ObjectCustomer, i, field, "at least one route that is not public", "no route looks up the customer's keys")
		}
		seen := make(map[string]bool)
		for j, key := range customer.Keys {
			switch {
			case key == "":
				w.add(routetable.ObjectCustomer, i, fmt.Sprintf("%s[%d]", field, j), "a key that is not empty", "requests without a key are taken for the customer's")
			case seen[key]:
				w.add(routetable.ObjectCustomer, i, fmt.Sprintf("%s[%d]", field, j), "a key that occurs once", "key %s occurs twice", maskKey(key))
			}
			seen[key] = true
		}
	}
}
