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

// historyReport counts the outcomes and the violations of a campaign.
type historyReport struct {
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
	violations  []string
}

// String returns the counts as JSON.
func (report *historyReport) String() string {
	raw, _ := json.Marshal(report)
	return string(raw)
}

func (report *historyReport) addViolation(count *int, h history, format string, args ...any) {
	*count++
	report.violations = append(report.violations, h.charge.id+": "+fmt.Sprintf(format, args...))
}

// checkHistories compares the outcomes that callers received with the executions.
func checkHistories(histories []history, executions map[string]int) *historyReport {
	report := &historyReport{}
	for _, h := range histories {
		report.checkHistory(h, executions[h.charge.id])
	}
	return report
}

// checkHistory adds a charge with its number of executions. Invariants: at most
// one execution; an outcome "ran" or "not run" agrees with it; and a charge
// without an execution has an outcome.
func (report *historyReport) checkHistory(h history, count int) {
	report.Charges++
	report.Sends += len(h.results)
	if count > 0 {
		report.Executed++
	}
	if count > 1 {
		report.addViolation(&report.RanTwice, h, "executed %d times", count)
	}
	report.countOutcome(h)
	report.checkOutcomes(h, count)
	if count == 0 && !h.hasOutcome() {
		report.addViolation(&report.Lost, h, "not executed and no outcome returned")
	}
}

// countOutcome counts a charge by its final outcome.
func (report *historyReport) countOutcome(h history) {
	last := h.results[len(h.results)-1]
	switch {
	case h.firstRan() != nil:
		report.Ran++
	case last.outcome == api.OutcomeNotRun:
		report.NotRun++
	case last.outcome == api.OutcomeMayHaveRun:
		report.MayHaveRun++
	default:
		report.Broken++
	}
}

// checkOutcomes checks that the outcomes agree with the number of executions, that
// all answers of a charge are equal, and that none has the outcome
// "not run" after the charge ran.
func (report *historyReport) checkOutcomes(h history, count int) {
	ran := h.firstRan()
	if ran != nil && count == 0 {
		report.addViolation(&report.FalseRan, h, "outcome ran, executed 0 times")
	}
	if h.allNotRun() && count > 0 {
		report.addViolation(&report.FalseNotRun, h, "outcome not_run, executed %d times", count)
	}
	for _, r := range h.results {
		if ran != nil && r.outcome == api.OutcomeRan && r.body != ran.body {
			report.addViolation(&report.Different, h, "answers %q and %q", ran.body, r.body)
		}
		if ran != nil && r.outcome == api.OutcomeNotRun && r.began.After(ran.ended) {
			report.addViolation(&report.FalseNotRun, h, "outcome not_run after an answer with outcome ran")
		}
	}
}

// firstRan returns the first result with outcome "ran", or nil.
func (h history) firstRan() *result {
	for i := range h.results {
		if h.results[i].outcome == api.OutcomeRan {
			return &h.results[i]
		}
	}
	return nil
}

// allNotRun reports whether each send returned outcome "not run" or was not sent.
func (h history) allNotRun() bool {
	for _, r := range h.results {
		if r.outcome != api.OutcomeNotRun && !r.notSent {
			return false
		}
	}
	return true
}

// hasOutcome reports whether the caller got any outcome. For a charge without a
// key, a broken connection counts as one.
func (h history) hasOutcome() bool {
	for _, r := range h.results {
		if r.outcome != "" || (r.noAnswer && !h.charge.keyed) {
			return true
		}
	}
	return false
}
