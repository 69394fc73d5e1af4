// Package membership maintains the table of backend servers of a failure domain, as
// they announce themselves to its routers. The routers exchange their tables, and
// send summaries to other failure domains. Table is a pure data structure: it takes
// the time as an argument, does no I/O and starts no goroutine.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/statechart"
)

// Durations that determine a server's state. Silence is the time since its last
// announcement.
const (
	// RejoinWindow is the silence within which a returning server keeps its Since time
	// and need not warm up.
	RejoinWindow = 30 * time.Second
	// TombstoneRetention is the silence after which a departed server's tombstone is
	// deleted, and with it the sequence number that rejects late announcements.
	TombstoneRetention = 10 * time.Minute
	// WarmUpDuration is how long a new server counts as warming.
	WarmUpDuration = 10 * time.Second
)

// States and events of the backend chart.
const (
	Warming  statechart.State = "warming"
	Serving  statechart.State = "serving"
	Draining statechart.State = "draining"
	Silent   statechart.State = "silent"
	Gone     statechart.State = "gone"

	eventServe   statechart.Event = "serve"
	eventWarmed  statechart.Event = "warmed"
	eventDrain   statechart.Event = "drain"
	eventSilence statechart.Event = "silence"
	eventRestart statechart.Event = "restart"
	eventExpire  statechart.Event = "expire"
)

// Server is the record of a backend server in a router's table.
type Server struct {
	api.Announcement
	// ReceivedAt is the local time of the newest announcement.
	ReceivedAt time.Time
	// Since is the local time at which this incarnation was first seen.
	Since time.Time
	// PeerInFlight is the number of requests that the other routers report in flight
	// on the server, and PeerInFlightAt the local receipt time of their newest report.
	// Both are zero while the report of a live router is missing or stale.
	PeerInFlight   int
	PeerInFlightAt time.Time
	// ChartState is the server's state in the backend chart.
	ChartState statechart.State
}

// Present reports whether the server is neither silent nor gone.
func (s *Server) Present() bool { return s.ChartState != Silent && s.ChartState != Gone }

// Change is the effect of an announcement on the table.
type Change int

// Effects of an announcement.
const (
	// ChangeNone is an announcement that is not newer than the recorded one.
	ChangeNone Change = iota
	// ChangeLiveness is one that changed the receipt time and the load only.
	ChangeLiveness
	// ChangeContent is one that changed another field.
	ChangeContent
)

// ServerID is a hash of a server's address and incarnation.
type ServerID uint64

// IDOf returns the ID of a server's incarnation.
func IDOf(address string, incarnation uint64) ServerID {
	return ServerID(xxhash.Sum64String(address + "#" + strconv.FormatUint(incarnation, 36)))
}

// Table holds the newest announcement of each backend server, and tombstones of
// departed ones. For each address it keeps the announcement with the highest
// incarnation, and of that the one with the highest sequence number, whatever the
// order of delivery. It is not safe for concurrent use.
type Table struct {
	silenceTimeout time.Duration
	chart          *statechart.Chart
	servers        map[string]*Server
	byID           map[ServerID]*Server
	version        uint64
}

// NewTable returns an empty table whose servers become silent after silenceTimeout
// without an announcement.
func NewTable(silenceTimeout time.Duration) *Table {
	return &Table{
		silenceTimeout: silenceTimeout,
		chart:          statechart.MustLoad("backend"),
		servers:        make(map[string]*Server),
		byID:           make(map[ServerID]*Server),
	}
}

// Version changes whenever a server joins, leaves or changes a field other than its
// load.
func (t *Table) Version() uint64 { return t.version }

// Merge merges an announcement that was received at now and returns its effect.
func (t *Table) Merge(now time.Time, announcement api.Announcement) Change {
	return t.MergeReceivedAt(announcement, now, now)
}

// MergeReceivedAt merges an announcement that a router received at receivedAt. That
// router first saw the incarnation at since.
func (t *Table) MergeReceivedAt(announcement api.Announcement, receivedAt, since time.Time) Change {
	record := t.servers[announcement.Address]
	if record == nil {
		record = &Server{ChartState: t.chart.Initial(), Since: since}
		record.Announcement = announcement
		t.servers[announcement.Address] = record
		t.byID[record.id()] = record
		return t.accept(record, announcement, receivedAt, ChangeContent)
	}
	if announcement.Incarnation < record.Incarnation {
		return ChangeNone
	}
	if announcement.Incarnation > record.Incarnation {
		t.restart(record, announcement, since)
		return t.accept(record, announcement, receivedAt, ChangeContent)
	}
	if since.Before(record.Since) {
		record.Since = since
	}
	if announcement.Sequence <= record.Sequence {
		return ChangeNone
	}
	change := ChangeLiveness
	if !record.Present() || contentDiffers(&record.Announcement, &announcement) {
		change = ChangeContent
	}
	return t.accept(record, announcement, receivedAt, change)
}

// MergeLiveness merges a liveness update of a server. It returns false if the table
// has no record of the ID.
func (t *Table) MergeLiveness(now time.Time, id ServerID, sequence uint64, load int, state api.ServerState) (Change, bool) {
	record := t.byID[id]
	if record == nil {
		return ChangeNone, false
	}
	announcement := record.Announcement
	announcement.Sequence = sequence
	announcement.Load = load
	announcement.State = state
	return t.MergeReceivedAt(announcement, now, record.Since), true
}

func (t *Table) restart(record *Server, announcement api.Announcement, since time.Time) {
	delete(t.byID, record.id())
	t.fire(record, eventRestart)
	record.Announcement = announcement
	record.Since = since
	t.byID[record.id()] = record
}

func (t *Table) accept(record *Server, announcement api.Announcement, receivedAt time.Time, change Change) Change {
	if record.ChartState == Gone {
		record.Since = receivedAt
	}
	record.Announcement = announcement
	if receivedAt.After(record.ReceivedAt) {
		record.ReceivedAt = receivedAt
	}
	event := eventServe
	if announcement.State == api.ServerDraining {
		event = eventDrain
	}
	t.fire(record, event)
	if change == ChangeContent {
		t.version++
	}
	return change
}

func (t *Table) fire(server *Server, event statechart.Event) {
	next, err := t.chart.Next(server.ChartState, event)
	if err == nil {
		server.ChartState = next
	}
}

func (s *Server) id() ServerID { return IDOf(s.Address, s.Incarnation) }

// contentDiffers reports whether a field other than the sequence number and the load
// differs.
func contentDiffers(a, b *api.Announcement) bool {
	return a.State != b.State || a.Pool != b.Pool || a.Slots != b.Slots ||
		a.ChecksFencing != b.ChecksFencing || !slices.Equal(a.Models, b.Models)
}

// Advance applies the state changes that depend on the time alone: warmed, silent,
// gone and deleted. It returns the servers that became silent.
func (t *Table) Advance(now time.Time) []Server {
	var silent []Server
	for address, server := range t.servers {
		sinceAnnounced := now.Sub(server.ReceivedAt)
		switch {
		case sinceAnnounced > TombstoneRetention:
			if server.Present() {
				// The process was suspended for longer than TombstoneRetention.
				t.version++
				silent = append(silent, *server)
			}
			delete(t.servers, address)
			delete(t.byID, server.id())
		case server.ChartState == Silent && sinceAnnounced > RejoinWindow:
			t.fire(server, eventExpire)
		case server.Present() && sinceAnnounced > t.silenceTimeout:
			t.fire(server, eventSilence)
			t.version++
			silent = append(silent, *server)
		case server.ChartState == Warming && now.Sub(server.Since) >= WarmUpDuration:
			t.fire(server, eventWarmed)
		}
	}
	return silent
}

// Servers returns the servers that are not silent, by address.
func (t *Table) Servers() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, server := range t.servers {
		if server.Present() {
			out = append(out, *server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Records returns the records of all servers by address, including tombstones.
func (t *Table) Records() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, address := range slices.Sorted(maps.Keys(t.servers)) {
		out = append(out, *t.servers[address])
	}
	return out
}

// Record returns the record of a server.
func (t *Table) Record(address string) (Server, bool) {
	server := t.servers[address]
	if server == nil {
		return Server{}, false
	}
	return *server, true
}

// Address returns the address of the server with the given ID.
func (t *Table) Address(id ServerID) (string, bool) {
	server := t.byID[id]
	if server == nil {
		return "", false
	}
	return server.Address, true
}
