package dispatch

import "peridotwinch.example/peridotwinch/internal/balance"

// NewLease returns a lease on a server that calls release when it is given
// back. Dispatchers other than this package's use it.
func NewLease(server balance.ServerID, remote bool, release func(balance.Result)) *Lease {
	return &Lease{Server: server, Remote: remote, release: release}
}
