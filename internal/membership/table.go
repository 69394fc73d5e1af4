// Package membership keeps the backend servers of a failure domain, as they
// announce themselves to its routers. The table is a pure structure: it takes
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

// Times of a server's life after its last announcement.
const (
	// KeepTime is the silence within which a server that comes back keeps its
	// place and need not warm up.
	KeepTime = 30 * time.Second
	// TombstoneTime is the silence after which even the order of a departed
	// server's announcements is forgotten.
	TombstoneTime = 10 * time.Minute
	// WarmUpTime is how long a new server counts as warming.
	WarmUpTime = 10 * time.Second
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

// Server is a backend server as a router knows it.
type Server struct {
	api.Announcement
	// ReceivedAt is the local time of the newest announcement.
	ReceivedAt time.Time
	// Since is the local time at which this incarnation was first known.
	Since time.Time
	// PeerInFlight is the work in flight of the other routers on the server, and
	// PeerInFlightAt the local receipt time of their newest report; zero while a live
	// router has not told it lately.
	PeerInFlight   int
	PeerInFlightAt time.Time
	// ChartState is the server's state in the backend chart.
	ChartState statechart.State
}

// Present reports whether the server has not fallen silent.
func (s *Server) Present() bool { return s.ChartState != Silent && s.ChartState != Gone }

// Change tells what an announcement changed.
type Change int

// Changes by an announcement.
const (
	// ChangeNone is an announcement that is not newer than the known one.
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

// Table holds the newest announcement of each backend server, and tombstones
// of the departed ones. It is not safe for concurrent use.
type Table struct {
	silence time.Duration
	chart   *statechart.Chart
	servers map[string]*Server
	byID    map[ServerID]*Server
	version uint64
}

// NewTable returns an empty table whose servers expire after a time of silence.
func NewTable(silence time.Duration) *Table {
	return &Table{
		silence: silence,
		chart:   statechart.MustLoad("backend"),
		servers: make(map[string]*Server),
		byID:    make(map[ServerID]*Server),
	}
}

// Version changes whenever a server joins, leaves or changes another field
// than its load.
func (t *Table) Version() uint64 { return t.version }

// Merge takes an announcement that was received just now and reports what it changed.
func (t *Table) Merge(now time.Time, announcement api.Announcement) Change {
	return t.MergeAged(announcement, now, now)
}

// MergeAged takes an announcement that was received at receivedAt by a router
// that knows the incarnation since the given time.
func (t *Table) MergeAged(announcement api.Announcement, receivedAt, since time.Time) Change {
	known := t.servers[announcement.Address]
	if known == nil {
		known = &Server{ChartState: t.chart.Initial(), Since: since}
		known.Announcement = announcement
		t.servers[announcement.Address] = known
		t.byID[known.id()] = known
		return t.accept(known, announcement, receivedAt, ChangeContent)
	}
	if announcement.Incarnation < known.Incarnation {
		return ChangeNone
	}
	if announcement.Incarnation > known.Incarnation {
		t.restart(known, announcement, since)
		return t.accept(known, announcement, receivedAt, ChangeContent)
	}
	if since.Before(known.Since) {
		known.Since = since
	}
	if announcement.Sequence <= known.Sequence {
		return ChangeNone
	}
	change := ChangeLiveness
	if !known.Present() || differs(&known.Announcement, &announcement) {
		change = ChangeContent
	}
	return t.accept(known, announcement, receivedAt, change)
}

// Touch takes the liveness of a server. It reports false where the table lacks
// the server's record.
func (t *Table) Touch(now time.Time, id ServerID, sequence uint64, load int, state api.ServerState) (Change, bool) {
	known := t.byID[id]
	if known == nil {
		return ChangeNone, false
	}
	announcement := known.Announcement
	announcement.Sequence = sequence
	announcement.Load = load
	announcement.State = state
	return t.MergeAged(announcement, now, known.Since), true
}

func (t *Table) restart(known *Server, announcement api.Announcement, since time.Time) {
	delete(t.byID, known.id())
	t.fire(known, eventRestart)
	known.Announcement = announcement
	known.Since = since
	t.byID[known.id()] = known
}

func (t *Table) accept(known *Server, announcement api.Announcement, receivedAt time.Time, change Change) Change {
	if known.ChartState == Gone {
		known.Since = receivedAt
	}
	known.Announcement = announcement
	if receivedAt.After(known.ReceivedAt) {
		known.ReceivedAt = receivedAt
	}
	event := eventServe
	if announcement.State == api.ServerDraining {
		event = eventDrain
	}
	t.fire(known, event)
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

// differs reports whether another field than the sequence and the load differs.
func differs(a, b *api.Announcement) bool {
	return a.State != b.State || a.Pool != b.Pool || a.Slots != b.Slots ||
		a.ChecksFencing != b.ChecksFencing || !slices.Equal(a.Models, b.Models)
}

// Advance moves servers to the states that follow from the time alone: warm,
// silent, gone, forgotten. It returns those that fell silent.
func (t *Table) Advance(now time.Time) []Server {
	var silent []Server
	for address, server := range t.servers {
		quiet := now.Sub(server.ReceivedAt)
		switch {
		case quiet > TombstoneTime:
			if server.Present() {
				// The process stood still for longer than a tombstone lasts.
				t.version++
				silent = append(silent, *server)
			}
			delete(t.servers, address)
			delete(t.byID, server.id())
		case server.ChartState == Silent && quiet > KeepTime:
			t.fire(server, eventExpire)
		case server.Present() && quiet > t.silence:
			t.fire(server, eventSilence)
			t.version++
			silent = append(silent, *server)
		case server.ChartState == Warming && now.Sub(server.Since) >= WarmUpTime:
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

// Records returns the records of all servers, tombstones included, by address.
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

// Address returns the address of the server that an ID stands for.
func (t *Table) Address(id ServerID) (string, bool) {
	server := t.byID[id]
	if server == nil {
		return "", false
	}
	return server.Address, true
}
