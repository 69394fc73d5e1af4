package fleetsync

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// OnStatements sets the function that is called with newer statements of other processes.
func (r *Relay) OnStatements(record func(map[uint64]ratelimit.Statement)) { r.onStatements = record }

// ReportNews returns a channel that receives a value when the source should soon receive a report.
func (r *Relay) ReportNews() <-chan struct{} { return r.reportNews }

func (r *Relay) wakeReport() {
	select {
	case r.reportNews <- struct{}{}:
	default:
	}
}

// RecordOwnStatements records statements that this router received in answers.
func (r *Relay) RecordOwnStatements(statements map[uint64]ratelimit.Statement, now time.Time) {
	r.recordStatements(statements, originSelf, now)
}

// RecordSourceStatements records statements of the source. With first set, they are in the first
// event of a stream: the source may lack all statements of before.
func (r *Relay) RecordSourceStatements(message *fleetpb.RateStatements, first bool, now time.Time) {
	if first {
		r.statements.adopt()
		r.mu.Lock()
		r.sentStatements = statementCursor{}
		r.sources++
		r.mu.Unlock()
		r.wakeReport()
	}
	r.recordStatements(fromRateStatements(message, now), originUpstream, now)
}

// UnsentStatements returns the statements that the source lacks, or only the news among them, and
// a function to call once the source has received them.
func (r *Relay) UnsentStatements(newsOnly bool, now time.Time) (message *fleetpb.RateStatements, confirm func()) {
	r.mu.Lock()
	sent, source := r.sentStatements, r.sources
	r.mu.Unlock()
	statements, cursor := r.statements.changes(sent, newsOnly, originUpstream, now)
	return toRateStatements(statements, now), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.sources == source {
			r.sentStatements = cursor
		}
	}
}

// RecordNumbering records the numbering in the source's response and returns the position of this
// router. It returns false if the source knows none; the last one stays in force.
func (r *Relay) RecordNumbering(message *fleetpb.Numbering) (ratelimit.Position, bool) {
	numbering := fromNumbering(message)
	if !numbering.IsValid() {
		return ratelimit.Position{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownNumbering = numbering
	return numbering.Position(), true
}

// Position returns the position of this router, with the count 0 while it is unknown.
func (r *Relay) Position() ratelimit.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownNumbering.Position()
}

// Statements returns the number of servers whose statements are kept.
func (r *Relay) Statements() int { return r.statements.len() }
