package main

import "encoding/json"

type object = map[string]any

// route returns a route of the test's host.
func route(name, prefix, kind, service string, timeoutMS, sloMS, attempts int, resumable bool) object {
	out := object{
		"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMS, "SloMs": sloMS, "Priority": 1,
		"Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": kind == "streaming", "Resumable": resumable,
	}
	if kind == "streaming" {
		out["GapSloMs"] = 300
	}
	return out
}

// config returns a configuration with the routes: a pool of model workers, lugha, and one of plain
// workers, lango.
func config(version int, routes ...object) []byte {
	raw, _ := json.Marshal(object{
		"Version": version, "Routes": routes,
		"Services": []object{
			{"Name": "lugha", "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "Engine": object{
				"Slots": 64, "KvCapacity": 667397, "KvTokenBytes": 18432, "LinkMbps": 280000.0, "Moves": true, "Backups": true, "Stride": 5,
				"most": 2, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []object{{"Name": "m"}},
			}},
			{"Name": "lango", "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	return raw
}
