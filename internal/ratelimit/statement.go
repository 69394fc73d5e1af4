// Package ratelimit accounts for the rates of requests that backend servers take from all
// routers together. It does no I/O, starts no goroutine and reads no clock.
package ratelimit

import "time"

// Statement is what a server stated about the rate of requests that it takes from all routers
// together.
type Statement struct {
	// PerSecond is the rate in requests per second; it means nothing unless Limited is set.
	PerSecond float64
	// Limited is false if the server's answer named no limit, which ends an earlier one.
	Limited bool
	// StatedAt is when the answer with the statement was received.
	StatedAt time.Time
}

// Position is the place of a router among all routers: Index is unique and from 0 to Count-1.
type Position struct{ Index, Count int }
