package faults

import (
	"encoding/json"
	"fmt"

	"peridotwinch.example/peridotwinch/api"
)

// history is all sends of one charge, in the order in which they ended.
type history struct {
	charge  charge
	results []result
}

// verdict counts what a campaign came to.
type verdict struct {
	Charges     int `json:"charges"`
	Sends       int `json:"sends"`
	Ran         int `json:"ran"`
	NotRun      int `json:"notRun"`
	MayHaveRun  int `json:"mayHaveRun"`
	Broken      int `json:"broken"`
	Executed    int `json:"executed"`
	RanTwice    int `json:"ranTwice"`
	FalseNotRun int `json:"falseNotRun"`
	FalseRan    int `json:"falseRan"`
	Different   int `json:"differentAnswers"`
	Lost        int `json:"lost"`
	faults      []string
}

// String returns the counts in JSON.
func (v *verdict) String() string {
	raw, _ := json.Marshal(v)
	return string(raw)
}

func (v *verdict) fault(count *int, h history, format string, args ...any) {
	*count++
	v.faults = append(v.faults, h.charge.id+": "+fmt.Sprintf(format, args...))
}

// judge compares what callers were told with what ran.
func judge(histories []history, executions map[string]int) *verdict {
	v := &verdict{}
	for _, h := range histories {
		v.add(h, executions[h.charge.id])
	}
	return v
}

func (v *verdict) add(h history, count int) {
	v.Charges++
	v.Sends += len(h.results)
	if count > 0 {
		v.Executed++
	}
	if count > 1 {
		v.fault(&v.RanTwice, h, "ran %d times", count)
	}
	v.countLast(h)
	v.checkOutcomes(h, count)
	if count == 0 && !h.answered() {
		v.fault(&v.Lost, h, "neither run nor refused")
	}
}

func (v *verdict) countLast(h history) {
	last := h.results[len(h.results)-1]
	switch {
	case h.firstRan() != nil:
		v.Ran++
	case last.outcome == api.OutcomeNotRun:
		v.NotRun++
	case last.outcome == api.OutcomeMayHaveRun:
		v.MayHaveRun++
	default:
		v.Broken++
	}
}

func (v *verdict) checkOutcomes(h history, count int) {
	ran := h.firstRan()
	if ran != nil && count == 0 {
		v.fault(&v.FalseRan, h, "said to have run, executed 0 times")
	}
	if h.allNotRun() && count > 0 {
		v.fault(&v.FalseNotRun, h, "said not to have run, executed %d times", count)
	}
	for _, r := range h.results {
		if ran != nil && r.outcome == api.OutcomeRan && r.body != ran.body {
			v.fault(&v.Different, h, "answers %q and %q", ran.body, r.body)
		}
		if ran != nil && r.outcome == api.OutcomeNotRun && r.began.After(ran.ended) {
			v.fault(&v.FalseNotRun, h, "said not to have run after it had run")
		}
	}
}

// firstRan returns the first answer of a run, or nil.
func (h history) firstRan() *result {
	for i := range h.results {
		if h.results[i].outcome == api.OutcomeRan {
			return &h.results[i]
		}
	}
	return nil
}

func (h history) allNotRun() bool {
	for _, r := range h.results {
		if r.outcome != api.OutcomeNotRun && !r.unsent {
			return false
		}
	}
	return true
}

// answered reports whether the caller was told anything, if only by a
// connection that broke off during a request without a key.
func (h history) answered() bool {
	for _, r := range h.results {
		if r.outcome != "" || (r.broken && !h.charge.keyed) {
			return true
		}
	}
	return false
}
