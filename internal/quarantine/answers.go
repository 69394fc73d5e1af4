package quarantine

import "time"

// maxGeneration is the number of parts after which the memory of answers starts a new generation.
const maxGeneration = 1024

// answerMemory holds when servers last began to answer prompts with a part. It keeps the latest
// maxGeneration parts or more; a part that has been forgotten is only refuted later.
type answerMemory struct {
	current, previous map[Part]time.Time
}

func (m *answerMemory) record(pool string, parts []uint64, now time.Time) {
	if m.current == nil || len(m.current) >= maxGeneration {
		m.current, m.previous = make(map[Part]time.Time), m.current
	}
	for _, id := range parts {
		m.current[Part{pool, id}] = now
	}
}

// since returns the mask of the parts to which an answer has begun at or after a time.
func (m *answerMemory) since(pool string, parts []uint64, at time.Time) (mask uint32) {
	for i, id := range parts {
		answered, found := m.current[Part{pool, id}]
		if !found {
			answered, found = m.previous[Part{pool, id}]
		}
		if found && !answered.Before(at) {
			mask |= 1 << i
		}
	}
	return mask
}
