package dispatch

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// NewLease returns a lease on a server. Lease.Release calls release, Lease.RecordStatement
// calls statement unless it is nil. NewLease is meant for dispatchers outside this package.
func NewLease(server balance.ServerID, remote bool, release func(balance.Result), statement func(leaving bool, pause time.Duration) Statement) *Lease {
	return &Lease{Server: server, Remote: remote, release: release, statement: statement}
}
