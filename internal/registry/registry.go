// Package registry keeps the backend servers that announce themselves to control.
// It does no I/O and reads no clock.
package registry

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a server last said of itself.
type State uint8

// States of a backend server; a later one of the same announcement wins.
const (
	StateReady State = iota + 1
	StateDraining
	// StateGone is final for an incarnation.
	StateGone
)

const (
	// SilentAfter is the time without an announcement after which a server counts
	// as silent. Servers announce themselves about every 1.2 s and may be seconds
	// late; routers go on using a silent server that answers them.
	SilentAfter = 4 * time.Second
	// forgetAfter is how long a departed or silent incarnation is remembered, so
	// that a late announcement does not bring it back. Calls live 1 s at most, and
	// a partition lasts some tens of seconds.
	forgetAfter = 2 * time.Minute
)

// Model is a model that a server has loaded.
type Model struct {
	Name    string
	Version int64
}

// Server is one incarnation of a backend server.
type Server struct {
	ID string
	// StartedMS is the Unix millisecond of the incarnation's start.
	StartedMS int64
	// Sequence rises with each announcement of an incarnation.
	Sequence uint64
	Pool     string
	// Address is an IP address and port.
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// WarmupLeft is how much longer the server is slow after its start.
	WarmupLeft time.Duration
	Models     []Model
}

// Hash identifies an incarnation in a digest.
func (s *Server) Hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.ID)
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(uint64(s.StartedMS) >> (8 * i))
	}
	_, _ = d.Write(raw[:])
	return d.Sum64()
}

// Entry is a server with what the table knows of it.
type Entry struct {
	Server
	// LastAnnounced is when an announcement was received last, here or at another replica.
	LastAnnounced time.Time
	// Silent says that no announcement has come for SilentAfter.
	Silent bool
	// revision numbers the table's changes.
	revision uint64
	hash     uint64
}

// HashID identifies a server by its ID in a digest.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Digest sums up what a record says to routers: two records with equal digests need not
// be exchanged.
func (e *Entry) Digest() uint32 {
	d := xxhash.New()
	_, _ = fmt.Fprint(d, e.ID, "|", e.StartedMS, "|", e.State, "|", e.Silent, "|", e.Pool, "|", e.Address, "|", e.Domain, "|",
		e.Version, "|", e.Slots, "|", e.Models)
	return uint32(d.Sum64())
}

// Table holds the servers by ID. It is not safe for concurrent use.
type Table struct {
	entries map[string]*Entry
	// byHash has the entries by the hash of their incarnation.
	byHash   map[uint64]*Entry
	revision uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[string]*Entry), byHash: make(map[uint64]*Entry)}
}

// Revision returns the number of the newest change.
func (t *Table) Revision() uint64 { return t.revision }

// Merge takes an announcement that was received at heard. It reports whether the
// announcement is news for routers; a late one is dropped.
func (t *Table) Merge(s Server, heard time.Time) bool {
	known := t.entries[s.ID]
	if known == nil {
		t.entries[s.ID] = t.changed(&Entry{Server: s, LastAnnounced: heard})
		t.displace(s)
		return true
	}
	if isLate(&s, &known.Server) {
		return false
	}
	news := s.StartedMS != known.StartedMS || known.Silent || !sameForRouters(&s, &known.Server)
	if s.State == StateGone {
		s = withdrawn(s, known)
	}
	known.Server = s
	if heard.After(known.LastAnnounced) {
		known.LastAnnounced = heard
	}
	known.Silent = false
	if news {
		t.changed(known)
		t.displace(s)
	}
	return news
}

// IsStale reports whether an announcement says what a later one of the server has
// overtaken, so that Merge drops it.
func (t *Table) IsStale(s Server) bool {
	known := t.entries[s.ID]
	return known != nil && isLate(&s, &known.Server)
}

func isLate(s, known *Server) bool {
	switch {
	case s.StartedMS != known.StartedMS:
		return s.StartedMS < known.StartedMS
	case known.State == StateGone:
		return true
	case s.Sequence < known.Sequence:
		return s.State != StateGone
	}
	return s.Sequence == known.Sequence && s.State < known.State
}

// withdrawn keeps what is known of an incarnation that leaves.
func withdrawn(s Server, known *Entry) Server {
	if s.StartedMS != known.StartedMS {
		return s
	}
	out := known.Server
	out.State = StateGone
	return out
}

func sameForRouters(a, b *Server) bool {
	return a.State == b.State && a.Address == b.Address && a.Pool == b.Pool && a.Slots == b.Slots &&
		a.Version == b.Version && slices.Equal(a.Models, b.Models)
}

// displace ends older incarnations at the address of a newer one.
func (t *Table) displace(s Server) {
	if s.State == StateGone {
		return
	}
	for _, other := range t.entries {
		if other.ID != s.ID && other.Address == s.Address && other.State != StateGone && other.StartedMS < s.StartedMS {
			other.State = StateGone
			t.changed(other)
		}
	}
}

// Withdraw notes that a server has said that it is gone. It reports whether the
// server was known.
func (t *Table) Withdraw(id string, now time.Time) bool {
	known := t.entries[id]
	if known == nil {
		return false
	}
	if known.State != StateGone {
		known.State, known.LastAnnounced = StateGone, now
		t.changed(known)
	}
	return true
}

// Confirm notes that an incarnation was heard elsewhere at heard. It reports
// whether the table has the incarnation.
func (t *Table) Confirm(hash uint64, heard, now time.Time) bool {
	e := t.byHash[hash]
	if e == nil {
		return false
	}
	if !heard.After(e.LastAnnounced) {
		return true
	}
	e.LastAnnounced = heard
	if e.Silent && e.State != StateGone && now.Sub(heard) < SilentAfter {
		e.Silent = false
		t.changed(e)
	}
	return true
}

// Expire marks silent servers and forgets those that left long ago.
func (t *Table) Expire(now time.Time) (news bool) {
	for id, e := range t.entries {
		age := now.Sub(e.LastAnnounced)
		if age > forgetAfter {
			delete(t.entries, id)
			delete(t.byHash, e.hash)
			continue
		}
		if age > SilentAfter && !e.Silent && e.State != StateGone {
			e.Silent = true
			t.changed(e)
			news = true
		}
	}
	return news
}

// Since returns the entries that changed above a revision, the oldest change first.
func (t *Table) Since(revision uint64) []Entry {
	var out []Entry
	for _, e := range t.entries {
		if e.revision > revision {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(int64(a.revision) - int64(b.revision)) })
	return out
}

// Get returns the entry of a server.
func (t *Table) Get(id string) (Entry, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// ByHash returns the entry of an incarnation.
func (t *Table) ByHash(hash uint64) (Entry, bool) {
	e := t.byHash[hash]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

func (t *Table) changed(e *Entry) *Entry {
	t.revision++
	e.revision = t.revision
	delete(t.byHash, e.hash)
	e.hash = e.Hash()
	t.byHash[e.hash] = e
	return e
}
