package dispatch

import "peridotwinch.example/peridotwinch/internal/balance"

// NewLease returns a lease on a server. Lease.Release calls release. NewLease is meant
// for dispatchers outside this package.
func NewLease(server balance.ServerID, remote bool, release func(balance.Result)) *Lease {
	return &Lease{Server: server, Remote: remote, release: release}
}
