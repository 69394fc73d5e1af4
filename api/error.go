package api

import (
	"fmt"

	"github.com/pkg/errors"
)

// Outcome says whether a refused request has run.
type Outcome string

// Outcomes of a refused request.
const (
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
	OutcomeRan        Outcome = "ran"
)

// Error is a numbered failure, as callers, operators and the log see it.
type Error struct {
	Code      Code    `json:"code"`
	Name      string  `json:"name"`
	Message   string  `json:"message"`
	Field     string  `json:"field,omitempty"`
	Outcome   Outcome `json:"outcome,omitempty"`
	RequestID string  `json:"requestId,omitempty"`
}

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// Errorf returns a numbered error with a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Name: code.String(), Message: fmt.Sprintf(format, args...)}
}

// FieldErrorf returns a numbered error that names the field at fault.
func FieldErrorf(code Code, field, format string, args ...any) *Error {
	err := Errorf(code, format, args...)
	err.Field = field
	return err
}

// NotRun returns a copy of e that promises the request has not run.
func (e *Error) NotRun() *Error { return e.withOutcome(OutcomeNotRun) }

// MayHaveRun returns a copy of e that says the outcome is unknown.
func (e *Error) MayHaveRun() *Error { return e.withOutcome(OutcomeMayHaveRun) }

// Ran returns a copy of e that says the request has run.
func (e *Error) Ran() *Error { return e.withOutcome(OutcomeRan) }

func (e *Error) withOutcome(outcome Outcome) *Error {
	out := *e
	out.Outcome = outcome
	return &out
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d %s: %s", e.Code, e.Name, e.Message)
	}
	return fmt.Sprintf("%d %s: %s: %s", e.Code, e.Name, e.Field, e.Message)
}

// AsError returns the numbered error in err's chain, or wraps err as CodeInternal.
func AsError(err error) *Error {
	var numbered *Error
	if errors.As(err, &numbered) {
		return numbered
	}
	return Errorf(CodeInternal, "%v", err)
}
