// Package quarantine decides which prompt parts are withheld from backend servers because one
// server after the other has ended while it began to answer a prompt with such a part (a query of
// death). The evidence is a set of losses, which merges in any order and any number of times, so
// that all processes of a deployment reach the same decision. The package does no I/O, starts no
// goroutine and reads no clock.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLosses is the number of servers, one after the other, whose ends put a part into
	// quarantine.
	minLosses = 3
	// minGap is the shortest time from an end to the send of the next request that counts as
	// sent after it: servers that fail together end within some tens of milliseconds, and
	// requests that one of them has lost reach the next one in between.
	minGap = 300 * time.Millisecond
	// extraLosses is the number of further ends that a part must explain to be blamed instead
	// of a later, more specific part of the same prompts.
	extraLosses = 2
	// holdTime is the shortest time from the last loss until one router tries the part again.
	// With three trials a day, a part that is still deadly ends three servers a day.
	holdTime = 8 * time.Hour
	// provisionalHoldTime applies while the pool may have failed on any prompt, and
	// provisionalStagger is the range of the time by which it differs between instances.
	provisionalHoldTime = 30 * time.Second
	provisionalStagger  = 5 * time.Minute
	// trialInterval is the time between two trials of one router.
	trialInterval = 10 * time.Second
	// maxLosses limits the losses of a table, about 4 KB in a message.
	maxLosses = 64
	// maxParts limits the parts of a loss; those at the start of longer prompts are left out.
	maxParts = 32
	// repeatRetention is how long a loss counts that blames only the last part of its prompt: most prompts
	// are not sent again.
	repeatRetention = 10 * time.Minute
	// refutedRetention is how long a loss is kept after answers to all of its parts, so that
	// other processes receive that.
	refutedRetention = 30 * time.Second
)

// Part identifies a prompt part in a pool: a part that ends the servers of one pool may be
// harmless in another one, which runs other models.
type Part struct {
	Pool string
	ID   uint64
}

// Loss is the end of a backend server while a request waited for the first piece of its answer.
type Loss struct {
	// Server is the hash of the server's incarnation, Request that of the request's ID.
	Server  uint64
	Request uint64
	Pool    string
	// Parts are the parts of the request's prompt in order. The last one belongs to the request or its
	// session: it tells a prompt that is sent again from others that share all other parts.
	Parts []uint64
	// SentAt is when the request was sent, LostAt when its connection ended.
	SentAt, LostAt time.Time
	// Answered has bit i set if a server has begun to answer a prompt with Parts[i] since
	// SentAt, which shows that the part is harmless.
	Answered uint32
	// Contrasted has bit i set if a server has begun to answer a prompt without Parts[i] after
	// LostAt and before the next loss. Otherwise the pool may have failed on any prompt.
	Contrasted uint32
}

// PartsAtRisk returns the parts of a prompt that can be at fault if a server ends, given the IDs of
// all parts in order: the last maxParts of them.
func PartsAtRisk(parts []uint64) []uint64 { return parts[max(0, len(parts)-maxParts):] }

// ID returns a hash that identifies the loss: the server, the request and its prompt.
func (l *Loss) ID() uint64 {
	raw := binary.LittleEndian.AppendUint64([]byte(l.Pool), l.Server)
	raw = binary.LittleEndian.AppendUint64(raw, l.Request)
	for _, part := range l.Parts {
		raw = binary.LittleEndian.AppendUint64(raw, part)
	}
	return xxhash.Sum64(raw)
}

// allParts returns the mask with a bit for each part.
func (l *Loss) allParts() uint32 { return uint32(1)<<len(l.Parts) - 1 }

// blamesOnlyLast reports whether answers have shown that all parts but the last one are harmless.
func (l *Loss) blamesOnlyLast() bool { return l.Answered == l.allParts()>>1 }

// isRefuted reports whether answers have shown that all parts are harmless.
func (l *Loss) isRefuted() bool { return l.Answered == l.allParts() }

// mask returns the mask of the loss's parts that are among some parts. A prompt may list a part twice.
func (l *Loss) mask(parts ...uint64) (mask uint32) {
	for i, id := range l.Parts {
		if slices.Contains(parts, id) {
			mask |= 1 << i
		}
	}
	return mask
}

// blames reports whether the part is in the prompt and not known to be harmless.
func (l *Loss) blames(part Part) bool {
	i := slices.Index(l.Parts, part.ID)
	return i >= 0 && l.Pool == part.Pool && l.Answered&(1<<i) == 0
}

// Verdict is the evidence against a part in quarantine.
type Verdict struct {
	Part Part
	// Servers is the number of servers that have ended.
	Servers    int
	LastLostAt time.Time
	// Confirmed is set if the pool answered other prompts between the ends.
	Confirmed bool
}

type record struct {
	Loss
	revision uint64
	// refutedAt is when the table was first found to have answers to all parts.
	refutedAt time.Time
	// followed has bit i set if a later request, which blames Parts[i], was lost too.
	followed uint32
}

// uncontrasted returns the mask of the parts that the next answer may contrast.
func (r *record) uncontrasted() uint32 {
	return r.allParts() &^ (r.Answered | r.Contrasted | r.followed)
}

// Table is the evidence that one process has. It is not safe for concurrent use.
type Table struct {
	instance string
	losses   map[uint64]*record
	revision uint64
	answers  answerMemory
	verdicts map[Part]Verdict
	// byPart has the losses that blame a part, and uncontrasted those with parts that the next answer may
	// contrast. Both are rebuilt with the verdicts, so that an answer that is no news costs little.
	byPart       map[Part][]*record
	uncontrasted []*record
	// triedAt is when this process last tried a part whose hold time has passed.
	triedAt map[Part]time.Time
}

// NewTable returns an empty table. The instance's name determines when it tries a part again.
func NewTable(instance string) *Table {
	return &Table{
		instance: instance, losses: make(map[uint64]*record), verdicts: make(map[Part]Verdict),
		triedAt: make(map[Part]time.Time),
	}
}

// Revision returns the table's revision, which increases with each change.
func (t *Table) Revision() uint64 { return t.revision }

// Merge adds losses, or what is new about known ones. It reports whether the table has changed.
func (t *Table) Merge(losses []Loss, now time.Time) bool {
	before := t.revision
	for _, loss := range losses {
		t.merge(loss)
	}
	merged := t.revision
	if merged != before {
		// A verdict may rest on losses that would expire without it.
		t.evaluate()
	}
	t.expire(now)
	if t.revision != merged {
		t.evaluate()
	}
	return t.revision != before
}

func (t *Table) merge(loss Loss) {
	if len(loss.Parts) == 0 || len(loss.Parts) > maxParts {
		return
	}
	loss.Answered = loss.Answered&loss.allParts() | t.answers.since(loss.Pool, loss.Parts, loss.SentAt)
	id := loss.ID()
	known := t.losses[id]
	if known == nil {
		if !loss.isRefuted() {
			t.losses[id] = &record{Loss: loss}
			t.markChanged(t.losses[id])
		}
		return
	}
	// Times are kept as first received: each hop makes them look later than they are.
	if loss.Answered&^known.Answered != 0 || loss.Contrasted&^known.Contrasted != 0 {
		known.Answered |= loss.Answered
		known.Contrasted |= loss.Contrasted
		t.markChanged(known)
	}
}

func (t *Table) markChanged(r *record) {
	t.revision++
	r.revision = t.revision
}

// RecordAnswer records that a server of the pool has begun to answer a prompt with these parts,
// as returned by PartsAtRisk. It reports whether the table has changed.
func (t *Table) RecordAnswer(pool string, parts []uint64, now time.Time) bool {
	t.answers.record(pool, parts, now)
	before := t.revision
	for _, r := range t.uncontrasted {
		if r.Pool != pool {
			continue
		}
		if contrasted := r.uncontrasted() &^ r.mask(parts...); contrasted != 0 {
			r.Contrasted |= contrasted
			t.markChanged(r)
		}
	}
	for _, id := range parts {
		part := Part{pool, id}
		for _, r := range t.byPart[part] {
			if r.blames(part) {
				r.Answered |= r.mask(id)
				t.markChanged(r)
			}
		}
	}
	if t.revision == before {
		return false
	}
	t.evaluate()
	return true
}

// Release records that a part is harmless, and reports whether it was in quarantine.
func (t *Table) Release(part Part, now time.Time) bool {
	_, found := t.verdicts[part]
	for _, r := range t.losses {
		if r.blames(part) {
			r.Answered |= r.mask(part.ID)
			t.markChanged(r)
		}
	}
	t.expire(now)
	t.evaluate()
	return found
}

// isFollowed reports whether a loss that blames the part is of a request sent after the end of r.
func (t *Table) isFollowed(r *record, part Part) bool {
	return slices.ContainsFunc(t.byPart[part], func(other *record) bool { return !other.SentAt.Before(r.LostAt) })
}

// Since returns the losses that have changed after a revision.
func (t *Table) Since(revision uint64) []Loss {
	var out []Loss
	for _, r := range t.losses {
		if r.revision > revision {
			out = append(out, r.Loss)
		}
	}
	slices.SortFunc(out, func(a, b Loss) int { return a.LostAt.Compare(b.LostAt) })
	return out
}

// Digest returns a hash of the set of losses. Tables with equal digests need not be exchanged.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for id, r := range t.losses {
		if !r.isRefuted() {
			digest ^= id
		}
	}
	return digest
}

// Verdicts returns the verdicts on the parts in quarantine, in the order of their last loss.
func (t *Table) Verdicts() []Verdict {
	out := make([]Verdict, 0, len(t.verdicts))
	for _, verdict := range t.verdicts {
		out = append(out, verdict)
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		return cmp.Or(a.LastLostAt.Compare(b.LastLostAt), cmp.Compare(a.Part.ID, b.Part.ID))
	})
	return out
}

// Decision is whether a prompt is sent.
type Decision struct {
	// Withheld is set if the prompt must not be sent until Until because of Verdict.
	Withheld bool
	Verdict  Verdict
	Until    time.Time
	// Trial is set if the prompt may be sent to test a part whose hold time has passed.
	Trial bool
}

// Decide returns whether a prompt with these parts may be sent at now. Once a part's hold time has
// passed, one prompt per trialInterval is a trial. Each instance's hold time differs, so that the
// first trial decides for all of them.
func (t *Table) Decide(pool string, parts []uint64, now time.Time) (decision Decision) {
	for _, id := range parts {
		part := Part{pool, id}
		verdict, found := t.verdicts[part]
		if !found {
			continue
		}
		until := verdict.LastLostAt.Add(t.timeWithheld(verdict))
		if nextTrial := t.triedAt[part].Add(trialInterval); nextTrial.After(until) {
			until = nextTrial
		}
		if now.Before(until) {
			return Decision{Withheld: true, Verdict: verdict, Until: until}
		}
		decision.Trial = true
	}
	if !decision.Trial {
		return decision
	}
	for _, id := range parts {
		if _, found := t.verdicts[Part{pool, id}]; found {
			t.triedAt[Part{pool, id}] = now
		}
	}
	return decision
}

// timeWithheld returns how long this instance withholds a part after the last loss. The instances'
// times are spread evenly.
func (t *Table) timeWithheld(v Verdict) time.Duration {
	shortest, stagger := provisionalHoldTime, provisionalStagger
	if v.Confirmed {
		shortest, stagger = holdTime, holdTime
	}
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(t.instance+v.Part.Pool), v.Part.ID))
	high, _ := bits.Mul64(hash, uint64(stagger))
	return shortest + time.Duration(high)
}

// IsSuspected reports whether another server than the given one has ended on a prompt that
// shares a part with this one, where no answer has shown that the part is harmless.
func (t *Table) IsSuspected(pool string, parts []uint64, server uint64) bool {
	for _, r := range t.losses {
		if r.Server == server {
			continue
		}
		for _, id := range parts {
			if r.blames(Part{pool, id}) {
				return true
			}
		}
	}
	return false
}
