// Package registry implements the table of the backend servers that have announced
// themselves to a control replica. It does no I/O and reads no clock.
package registry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state that a server last announced.
type State uint8

// States of a backend server. Of two announcements with the same sequence number, the
// one with the later state wins.
const (
	StateReady State = iota + 1
	StateDraining
	// StateGone is final for an incarnation.
	StateGone
)

const (
	// SilentAfter is the time without an announcement after which a server counts as
	// silent. Servers announce themselves about every 1.2 s, and an announcement may be
	// delayed by seconds. Routers continue to use a silent server that answers them.
	SilentAfter = 4 * time.Second
	// EntryRetention is how long the table keeps an incarnation that is gone or silent, so
	// that a delayed announcement does not revive it. Calls last 1 s at most, and a
	// partition some tens of seconds.
	EntryRetention = 2 * time.Minute
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
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64
	Pool     string
	// Address is an IP address and port.
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// WarmupLeft is the remaining time for which the server is slow after its start.
	WarmupLeft time.Duration
	Models     []Model
}

// Hash returns a hash of the ID and the start time, which identifies an incarnation.
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

// Entry is a server with the table's data about it.
type Entry struct {
	Server
	// LastAnnounced is when an announcement was last received, by this replica or by
	// another one.
	LastAnnounced time.Time
	// Silent is set if no announcement was received for SilentAfter.
	Silent bool
	// Withdrawn is set on a server that has withdrawn while its incarnation was not known. It is gone,
	// and so are all its incarnations that had started before LastAnnounced, the time of the withdrawal.
	// The other fields are those of an earlier incarnation, or empty.
	Withdrawn bool
	// WarmupUntil is the end of the warm-up for routers, or zero: the one that the server has stated,
	// or a later one if the server states the same remaining time again and again.
	WarmupUntil time.Time
	// extensions counts the changes of WarmupUntil before it had passed or shortly after.
	extensions int
	// AppearedAt is when this process learned of an incarnation that started while the process
	// was running, or zero. Only routers set it; it is not sent.
	AppearedAt time.Time
	// revision is the table's revision at the entry's last change.
	revision uint64
	hash     uint64
	// indexed is the address under which the table has the entry in byAddress.
	indexed string
}

// HashID returns a hash of a server's ID.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Digest returns a hash of the fields that routers use: records with equal digests need
// not be exchanged. Processes of different versions compare digests, so the hashed text must not change.
func (e *Entry) Digest() uint32 {
	text := make([]byte, 0, 512)
	text = append(append(text, e.ID...), '|')
	text = append(strconv.AppendInt(text, e.StartedMS, 10), '|')
	text = append(strconv.AppendUint(text, uint64(e.State), 10), '|')
	text = append(strconv.AppendBool(text, e.Silent), '|')
	for _, field := range []string{e.Pool, e.Address, e.Domain, e.Version} {
		text = append(append(text, field...), '|')
	}
	text = append(strconv.AppendInt(text, int64(e.Slots), 10), "|["...)
	for i, model := range e.Models {
		if i > 0 {
			text = append(text, ' ')
		}
		text = append(append(append(text, '{'), model.Name...), ' ')
		text = append(strconv.AppendInt(text, model.Version, 10), '}')
	}
	return uint32(xxhash.Sum64(append(text, ']')))
}

// Table holds the servers by ID. It is not safe for concurrent use.
type Table struct {
	entries map[string]*Entry
	// byHash has the entries by Server.Hash.
	byHash map[uint64]*Entry
	// byAddress has the entries by address. A search of all entries with each change takes a tenth of
	// a second of a core when 3,000 servers start.
	byAddress map[string][]*Entry
	// withdrawn is the number of entries with Withdrawn set.
	withdrawn int
	revision  uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[string]*Entry), byHash: make(map[uint64]*Entry), byAddress: make(map[string][]*Entry)}
}

// Revision returns the table's revision, which increases with each change.
func (t *Table) Revision() uint64 { return t.revision }

// Merge applies an announcement that was received at announcedAt. It reports whether the
// announcement changes what routers use, and drops it if IsStale is true for it.
func (t *Table) Merge(s Server, announcedAt time.Time) bool {
	until := s.warmupUntil(announcedAt)
	if current := t.entries[s.ID]; current != nil && s.StartedMS == current.StartedMS {
		until = current.nextWarmupEnd(&s, announcedAt)
	}
	return t.merge(s, announcedAt, until)
}

// MergeRecord applies the record that another replica has of a server, as Merge does.
func (t *Table) MergeRecord(e Entry) bool {
	if e.Withdrawn {
		return t.mergeWithdrawal(e)
	}
	return t.merge(e.Server, e.LastAnnounced, e.WarmupUntil)
}

// merge applies an announcement with the end of the warm-up that it implies, or zero.
func (t *Table) merge(s Server, announcedAt, until time.Time) bool {
	current := t.entries[s.ID]
	if current == nil {
		t.entries[s.ID] = t.markChanged(&Entry{Server: s, LastAnnounced: announcedAt, WarmupUntil: until})
		t.displaceOlder(s)
		return true
	}
	if t.IsStale(s, announcedAt) {
		return false
	}
	t.setWithdrawn(current, false)
	isNew := s.StartedMS != current.StartedMS
	changed := isNew || current.Silent || !equalForRouters(&s, &current.Server) || current.endsLater(until)
	current.setWarmupEnd(isNew, until, announcedAt)
	if s.State == StateGone {
		s = withGoneState(s, current)
	}
	current.Server = s
	if announcedAt.After(current.LastAnnounced) {
		current.LastAnnounced = announcedAt
	}
	current.Silent = false
	if changed {
		t.markChanged(current)
		t.displaceOlder(s)
	}
	return changed
}

// Replace sets an entry as another table has it. It is a change if routers use a field that
// differs.
func (t *Table) Replace(e Entry) {
	current := t.entries[e.ID]
	if current != nil && current.Digest() == e.Digest() && !current.endsLater(e.WarmupUntil) {
		current.Sequence, current.LastAnnounced = e.Sequence, e.LastAnnounced
		t.setWithdrawn(current, e.Withdrawn)
		return
	}
	if current != nil {
		t.remove(current)
	}
	e.hash, e.indexed = 0, ""
	t.entries[e.ID] = t.markChanged(&e)
	if e.Withdrawn {
		t.withdrawn++
	}
}

// DeleteGone deletes the entries of servers that were gone before a time.
func (t *Table) DeleteGone(before time.Time) {
	for id, e := range t.entries {
		if e.State == StateGone && e.LastAnnounced.Before(before) {
			t.remove(t.entries[id])
		}
	}
}

// IsStale reports whether the table has a newer announcement of the server than the one that was
// received at announcedAt, or has the incarnation as gone, so that Merge drops the announcement.
func (t *Table) IsStale(s Server, announcedAt time.Time) bool {
	current := t.entries[s.ID]
	if current == nil {
		return false
	}
	if current.Withdrawn {
		return current.Covers(&s, announcedAt)
	}
	return isStale(&s, &current.Server)
}

func isStale(s, current *Server) bool {
	switch {
	case s.StartedMS != current.StartedMS:
		return s.StartedMS < current.StartedMS
	case current.State == StateGone:
		return true
	case s.Sequence < current.Sequence:
		return s.State != StateGone
	}
	return s.Sequence == current.Sequence && s.State < current.State
}

// withGoneState returns s, which is gone, with the data that the table has of the same
// incarnation.
func withGoneState(s Server, current *Entry) Server {
	if s.StartedMS != current.StartedMS {
		return s
	}
	out := current.Server
	out.State = StateGone
	return out
}

// equalForRouters compares the fields whose changes are sent to routers.
func equalForRouters(a, b *Server) bool {
	return a.State == b.State && a.Address == b.Address && a.Pool == b.Pool && a.Slots == b.Slots &&
		a.Version == b.Version && slices.Equal(a.Models, b.Models)
}

// displaceOlder marks other servers with the address of s as gone if they started before
// it.
func (t *Table) displaceOlder(s Server) {
	if s.State == StateGone {
		return
	}
	for _, other := range slices.Clone(t.byAddress[s.Address]) {
		if other.ID != s.ID && other.State != StateGone && other.StartedMS < s.StartedMS {
			other.State = StateGone
			t.markChanged(other)
		}
	}
}

// Confirm records that another replica received an announcement of an incarnation at
// announcedAt. It reports whether the table has the incarnation.
func (t *Table) Confirm(hash uint64, announcedAt, now time.Time) bool {
	e := t.byHash[hash]
	if e == nil {
		return false
	}
	if !announcedAt.After(e.LastAnnounced) {
		return true
	}
	e.LastAnnounced = announcedAt
	if e.Silent && e.State != StateGone && now.Sub(announcedAt) < SilentAfter {
		e.Silent = false
		t.markChanged(e)
	}
	return true
}

// Expire marks servers as silent after SilentAfter and deletes entries after
// EntryRetention. It reports whether it marked a server as silent.
func (t *Table) Expire(now time.Time) (changed bool) {
	for id, e := range t.entries {
		age := now.Sub(e.LastAnnounced)
		if age > EntryRetention {
			t.remove(t.entries[id])
			continue
		}
		if age > SilentAfter && !e.Silent && e.State != StateGone {
			e.Silent = true
			t.markChanged(e)
			changed = true
		}
	}
	return changed
}

// Since returns the entries that have changed after a revision, the oldest change first.
func (t *Table) Since(revision uint64) []Entry {
	return t.Select(func(e *Entry) bool { return e.revision > revision })
}

// Select returns the entries for which isWanted is true, the oldest change first. isWanted must not
// keep or change the entry.
func (t *Table) Select(isWanted func(*Entry) bool) []Entry {
	var out []Entry
	for _, e := range t.entries {
		if isWanted(e) {
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

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// PoolOf returns the pool of an incarnation, or an empty string if the table does not have it.
func (t *Table) PoolOf(hash uint64) string {
	if e := t.byHash[hash]; e != nil {
		return e.Pool
	}
	return ""
}

// markChanged gives an entry the next revision and updates its hash.
func (t *Table) markChanged(e *Entry) *Entry {
	t.revision++
	e.revision = t.revision
	delete(t.byHash, e.hash)
	e.hash = e.Hash()
	t.byHash[e.hash] = e
	if e.indexed != e.Address {
		t.removeAddress(e)
		e.indexed = e.Address
		t.byAddress[e.Address] = append(t.byAddress[e.Address], e)
	}
	return e
}

// remove deletes an entry.
func (t *Table) remove(e *Entry) {
	t.setWithdrawn(e, false)
	delete(t.entries, e.ID)
	delete(t.byHash, e.hash)
	t.removeAddress(e)
}

func (t *Table) removeAddress(e *Entry) {
	others := slices.DeleteFunc(t.byAddress[e.indexed], func(other *Entry) bool { return other == e })
	if len(others) == 0 {
		delete(t.byAddress, e.indexed)
		return
	}
	t.byAddress[e.indexed] = others
}
