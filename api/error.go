package api

import (
	"fmt"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/jsonx"
)

// Outcome reports whether a refused request has run.
type Outcome string

// Outcomes of a refused request.
const (
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
	OutcomeRan        Outcome = "ran"
)

// Error is a numbered error, as callers and operators receive it and as it is logged.
type Error struct {
	Code      Code    `json:"code"`
	Name      string  `json:"name"`
	Message   string  `json:"message"`
	Field     string  `json:"field,omitempty"`
	Outcome   Outcome `json:"outcome,omitempty"`
	RequestID string  `json:"requestId,omitempty"`
	// RetryAfterMS is the time in milliseconds after which the caller may succeed; 0 if
	// unknown. The header Retry-After has it in seconds.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
}

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// Errorf returns a numbered error with a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Name: code.String(), Message: fmt.Sprintf(format, args...)}
}

// FieldErrorf returns a numbered error that names the invalid field.
func FieldErrorf(code Code, field, format string, args ...any) *Error {
	err := Errorf(code, format, args...)
	err.Field = field
	return err
}

// TextError returns a numbered error for a JSON text that cannot be decoded. Its field is the one at fault
// within parent, the path of the text in a larger one, or parent if the fault is not in a field.
func TextError(code Code, parent string, err error) *Error {
	var text *jsonx.Error
	if !errors.As(err, &text) || text.Field == "" {
		return FieldErrorf(code, parent, "%v", err)
	}
	field := text.Field
	if parent != "" {
		field = parent + "." + field
	}
	return FieldErrorf(code, field, "byte %d: %s", text.Offset, text.Message())
}

// NotRun returns a copy of e with OutcomeNotRun: the request has not run and will not.
func (e *Error) NotRun() *Error { return e.withOutcome(OutcomeNotRun) }

// MayHaveRun returns a copy of e with OutcomeMayHaveRun: it is unknown whether the request ran.
func (e *Error) MayHaveRun() *Error { return e.withOutcome(OutcomeMayHaveRun) }

// Ran returns a copy of e with OutcomeRan: the request has run.
func (e *Error) Ran() *Error { return e.withOutcome(OutcomeRan) }

func (e *Error) withOutcome(outcome Outcome) *Error {
	out := *e
	out.Outcome = outcome
	return &out
}

// Error returns the code, its name, the field if there is one, and the message.
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
