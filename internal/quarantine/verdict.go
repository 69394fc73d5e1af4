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

// evaluate computes the verdicts. A part that explains an end clears the others of it.
func (t *Table) evaluate() {
	t.verdicts = make(map[Part]Verdict)
	unexplained := make([]*record, 0, len(t.losses))
	for _, r := range t.losses {
		unexplained = append(unexplained, r)
	}
	slices.SortFunc(unexplained, func(a, b *record) int {
		return cmp.Or(a.LostAt.Compare(b.LostAt), b.SentAt.Compare(a.SentAt))
	})
	for {
		blamed := mostLikely(unexplained)
		if blamed == nil {
			break
		}
		t.verdicts[blamed.part] = Verdict{
			Part: blamed.part, Servers: len(blamed.servers), LastLostAt: blamed.lastLostAt,
			Confirmed: blamed.sequentialEnds(true) >= minLosses,
		}
		unexplained = slices.DeleteFunc(unexplained, func(r *record) bool { return blamed.servers[r.Server] })
	}
	for part := range t.triedAt {
		if _, found := t.verdicts[part]; !found {
			delete(t.triedAt, part)
		}
	}
}

// mostLikely returns the evidence against the part that most likely ended the servers, or nil if
// it does not suffice against any. Of parts that are blamed for about as many ends, it is the
// one that comes last in the prompts, because the parts before it are shared by more prompts.
func mostLikely(losses []*record) *evidence {
	byPart := make(map[Part]*evidence)
	for _, r := range losses {
		for i, id := range r.Parts {
			if part := (Part{r.Pool, id}); r.blames(part) {
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
	}
	var sufficient []*evidence
	mostEnds := 0
	for _, e := range byPart {
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
		case !contrasted || last.Contrasted&last.bit(e.part) != 0:
			length++
		default:
			length = 1
		}
		last = r
		longest = max(longest, length)
	}
	return longest
}
