// Package membership keeps the backend servers of a failure domain, as they
// announce themselves to its routers. The table is a pure structure: it takes
// the time as an argument, does no I/O and starts no goroutine.
package membership

import (
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Server is a backend server as a router knows it.
type Server struct {
	api.Announcement
	// ReceivedAt is the local time of the newest announcement.
	ReceivedAt time.Time
}

// Table holds the newest announcement of each backend server. It is not safe
// for concurrent use.
type Table struct {
	silence time.Duration
	servers map[string]Server
}

// NewTable returns an empty table whose servers expire after a time of silence.
func NewTable(silence time.Duration) *Table {
	return &Table{silence: silence, servers: make(map[string]Server)}
}

// Merge takes an announcement and reports whether it is newer than what the
// table holds.
func (t *Table) Merge(now time.Time, announcement api.Announcement) bool {
	known, ok := t.servers[announcement.Address]
	if ok && !isNewer(announcement, known.Announcement) {
		return false
	}
	t.servers[announcement.Address] = Server{Announcement: announcement, ReceivedAt: now}
	return true
}

func isNewer(a, b api.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Expire removes the servers that have been silent for too long and returns them.
func (t *Table) Expire(now time.Time) []Server {
	var gone []Server
	for address, server := range t.servers {
		if now.Sub(server.ReceivedAt) > t.silence {
			delete(t.servers, address)
			gone = append(gone, server)
		}
	}
	return gone
}

// Servers returns all servers of the table in no particular order.
func (t *Table) Servers() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, server := range t.servers {
		out = append(out, server)
	}
	return out
}
