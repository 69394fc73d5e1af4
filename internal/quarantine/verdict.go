package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evidence is what the losses say against one part.
type evidence struct {
	part    Part
	servers map[uint64]bool
	// position is the part's highest index in a prompt.
	position   int
	lastLostAt time.Time
	// losses are those that blame the part, in the order of their ends.
	losses []*record
}

// evaluate computes the verdicts.
func (t *Table) evaluate() {
	t.verdicts = make(map[Part]Verdict)
	losses := make([]*record, 0, len(t.losses))
	for _, r := range t.losses {
		losses = append(losses, r)
	}
	slices.SortFunc(losses, func(a, b *record) int {
		return cmp.Or(a.LostAt.Compare(b.LostAt), b.SentAt.Compare(a.SentAt))
	})
	t.index(losses)
	t.blameRepeated(losses)
	t.blameShared(losses)
	for part := range t.triedAt {
		if _, found := t.verdicts[part]; !found {
			delete(t.triedAt, part)
		}
	}
}

// index rebuilds byPart and uncontrasted.
func (t *Table) index(losses []*record) {
	t.byPart, t.uncontrasted = make(map[Part][]*record), nil
	for _, r := range losses {
		for _, id := range r.Parts {
			if part := (Part{r.Pool, id}); r.blames(part) {
				t.byPart[part] = append(t.byPart[part], r)
			}
		}
	}
	for _, r := range losses {
		for i, id := range r.Parts {
			if t.isFollowed(r, Part{r.Pool, id}) {
				r.followed |= 1 << i
			}
		}
		if r.uncontrasted() != 0 {
			t.uncontrasted = append(t.uncontrasted, r)
		}
	}
}

// blameRepeated blames the last parts of prompts that were sent again and ended servers each time. They say
// nothing of the parts that other prompts share, and those say nothing of them.
func (t *Table) blameRepeated(losses []*record) {
	for part, e := range collectEvidence(losses, func(r *record, i int) bool { return i == len(r.Parts)-1 }) {
		if e.sequentialEnds(false) >= minLosses {
			t.verdicts[part] = e.verdict()
		}
	}
}

// blameShared blames parts that several prompts may share. A part that explains an end clears the others
// of it.
func (t *Table) blameShared(losses []*record) {
	unexplained := slices.Clone(losses)
	for {
		blamed := mostLikely(unexplained)
		if blamed == nil {
			return
		}
		t.verdicts[blamed.part] = blamed.verdict()
		unexplained = slices.DeleteFunc(unexplained, func(r *record) bool { return blamed.servers[r.Server] })
	}
}

func (e *evidence) verdict() Verdict {
	return Verdict{
		Part: e.part, Servers: len(e.servers), LastLostAt: e.lastLostAt, Confirmed: e.sequentialEnds(true) >= minLosses,
	}
}

// collectEvidence returns the evidence against each part that a loss blames at an index that counts.
func collectEvidence(losses []*record, counts func(r *record, i int) bool) map[Part]*evidence {
	byPart := make(map[Part]*evidence)
	for _, r := range losses {
		for i, id := range r.Parts {
			part := Part{r.Pool, id}
			if !counts(r, i) || !r.blames(part) {
				continue
			}
			e := byPart[part]
			if e == nil {
				e = &evidence{part: part, servers: make(map[uint64]bool)}
				byPart[part] = e
			}
			e.servers[r.Server] = true
			e.position = max(e.position, i)
			e.lastLostAt = r.LostAt
			e.losses = append(e.losses, r)
		}
	}
	return byPart
}

// mostLikely returns the evidence against the part that most likely ended the servers, other than the last
// parts of prompts, or nil if it does not suffice against any. Of parts that are blamed for about as many ends, it is the
// one that comes last in the prompts, because the parts before it are shared by more prompts.
func mostLikely(losses []*record) *evidence {
	var sufficient []*evidence
	mostEnds := 0
	for _, e := range collectEvidence(losses, func(r *record, i int) bool { return i < len(r.Parts)-1 }) {
		if e.sequentialEnds(false) >= minLosses {
			sufficient = append(sufficient, e)
			mostEnds = max(mostEnds, len(e.servers))
		}
	}
	var best *evidence
	for _, e := range sufficient {
		if len(e.servers)+extraLosses <= mostEnds {
			continue
		}
		if best == nil || e.isMoreSpecific(best) {
			best = e
		}
	}
	return best
}

func (e *evidence) isMoreSpecific(other *evidence) bool {
	if e.position != other.position {
		return e.position > other.position
	}
	if len(e.servers) != len(other.servers) {
		return len(e.servers) > len(other.servers)
	}
	return e.part.ID < other.part.ID
}

// sequentialEnds returns the length of the longest sequence of losses in which each request was
// sent minGap or more after the end before it; if contrasted is set, only of those between which the pool
// answered prompts without the part. Servers that end together for another reason, such as the
// loss of a failure domain, count as one.
func (e *evidence) sequentialEnds(contrasted bool) int {
	longest, length := 0, 0
	var last *record
	for _, r := range e.losses {
		switch {
		case last == nil:
			length = 1
		case r.SentAt.Before(last.LostAt.Add(minGap)):
			continue
		case !contrasted || last.Contrasted&last.mask(e.part.ID) != 0:
			length++
		default:
			length = 1
		}
		last = r
		longest = max(longest, length)
	}
	return longest
}
