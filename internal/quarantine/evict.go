package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// expire deletes losses that no longer count, and the least telling ones above maxLosses.
func (t *Table) expire(now time.Time) {
	for id, r := range t.losses {
		if r.isRefuted() && r.refutedAt.IsZero() {
			r.refutedAt = now
		}
		if now.Sub(r.LostAt) > t.retention(r) || r.isRefuted() && now.Sub(r.refutedAt) > refutedRetention {
			t.delete(id)
		}
	}
	for len(t.losses) > maxLosses {
		t.delete(t.leastTelling())
	}
}

// retention returns how long a loss counts that is not refuted.
func (t *Table) retention(r *record) time.Duration {
	last := Part{r.Pool, r.Parts[len(r.Parts)-1]}
	if _, isWithheld := t.verdicts[last]; !isWithheld && r.blamesOnlyLast() {
		return repeatRetention
	}
	return 2*holdTime + time.Hour
}

func (t *Table) delete(id uint64) {
	delete(t.losses, id)
	t.revision++
}

// leastTelling returns the ID of the loss to evict: one on which no verdict rests and whose parts
// are blamed by the fewest losses, of several the oldest one. If a verdict rests on every loss, it
// is the newest one, so that the verdict keeps its sequence of ends.
func (t *Table) leastTelling() uint64 {
	blamedBy := make(map[Part]int)
	for _, r := range t.losses {
		for _, id := range r.Parts {
			if part := (Part{r.Pool, id}); r.blames(part) {
				blamedBy[part]++
			}
		}
	}
	type candidate struct {
		id      uint64
		support int
		blamed  int
		lostAt  time.Time
	}
	var candidates []candidate
	for id, r := range t.losses {
		next := candidate{id: id, lostAt: r.LostAt}
		for _, id := range r.Parts {
			part := Part{r.Pool, id}
			if !r.blames(part) {
				continue
			}
			next.blamed = max(next.blamed, blamedBy[part])
			if _, found := t.verdicts[part]; found {
				next.support = 1
			}
		}
		candidates = append(candidates, next)
	}
	return slices.MinFunc(candidates, func(a, b candidate) int {
		if a.support == 1 && b.support == 1 {
			return b.lostAt.Compare(a.lostAt)
		}
		return cmp.Or(a.support-b.support, a.blamed-b.blamed, a.lostAt.Compare(b.lostAt), cmp.Compare(a.id, b.id))
	}).id
}
