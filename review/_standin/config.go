package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of a configuration, in the names of the wire.
type route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, SloMs, Priority   int
	Service                      string
	MaxAttempts                  int
	Public, Sticky, Resumable    bool
	GapSloMs                     int
}

type service struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	Tls              bool
	Engine           map[string]any `json:",omitempty"`
}

type tenant struct {
	Name     string
	ApiKeys  []string
	Priority int
}

type config struct {
	Version  int
	Routes   []route
	Services []service
	Limits   map[string]int
	Tenants  []tenant
}

// newConfig returns a configuration with the routes of three kinds of requests of the small
// Kilindi site: /clerk/ (resumable streams), /debit/ (unsafe) and /check/ (safe).
func newConfig(version int) *config {
	engine := map[string]any{
		"Slots": 64, "KvCapacity": 667397, "KvTokenBytes": 327680, "LinkMbps": 740000.0, "Moves": true, "Backups": true,
		"Stride": 5, "most": 2, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []map[string]string{{"Name": "m"}},
	}
	return &config{
		Version: version,
		Routes: []route{
			{Name: "clerk-query", Host: host, PathPrefix: "/clerk/", Kind: "streaming", TimeoutMs: 12000, SloMs: 400, Service: "lugha", MaxAttempts: 2, Sticky: true, Resumable: true, GapSloMs: 300},
			{Name: "toll-debit", Host: host, PathPrefix: "/debit/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 120, Priority: 2, Service: "lango", MaxAttempts: 1},
			{Name: "pass-check", Host: host, PathPrefix: "/check/", Kind: "safe", TimeoutMs: 3000, SloMs: 120, Priority: 2, Service: "lango", MaxAttempts: 2},
		},
		Services: []service{
			{Name: "lugha", HealthPath: "/health", MaxConns: 360, Protocol: "h1", Engine: engine},
			{Name: "lango", HealthPath: "/health", MaxConns: 100, Protocol: "h1"},
		},
		Limits:  map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Tenants: []tenant{{Name: "hule930", ApiKeys: []string{apiKey}, Priority: 1}},
	}
}

func (c *config) json() string {
	raw, err := json.Marshal(c)
	if err != nil {
		cannotRun("%v", err)
	}
	return string(raw)
}

// event returns the event with an ID as workers send it.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", id, id) }
