// Package ratelimit divides the rate of requests that a backend server takes from all routers
// together among the routers. It does no I/O, starts no goroutine and reads no clock.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxPerSecond is the rate in requests per second above which a server's limit has no effect.
const maxPerSecond = 10_000

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

// Position is the place of a router among all routers: Index is unique and from 0 to Count-1. The
// zero value means that the place is unknown.
type Position struct{ Index, Count int }

// Parse returns the rate that the values of a header name, in requests per second. No value and
// rates above 10,000/s name no limit. Of several values the lowest counts. A value that is not a
// finite decimal number from 0 on is ignored; ok is false if all are, so that nothing is stated.
func Parse(values []string) (perSecond float64, limited, ok bool) {
	lowest := math.Inf(1)
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && rate >= 0 && !math.IsInf(rate, 0) {
			lowest = min(lowest, rate)
		}
	}
	if math.IsInf(lowest, 0) {
		return 0, false, len(values) == 0
	}
	if lowest > maxPerSecond {
		return 0, false, true
	}
	return lowest, true, true
}
