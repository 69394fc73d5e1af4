package jsonx

import (
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// Bounds of what an error quotes of a text.
const (
	maxPathBytes   = 256
	maxNumberBytes = 32
)

// Error is the error for a text that cannot be decoded.
type Error struct {
	// Field is the path of the value at fault, for example Routes[0].Name. It is empty if the fault is
	// not in a field, or if the path is longer than maxPathBytes.
	Field string
	// Offset is the number of bytes of the text before the fault, or before the value at fault.
	Offset int64
	// Reason describes the fault without its place.
	Reason string
	// Expected describes the valid values of a field whose value has the wrong type, and is empty for
	// other faults.
	Expected string

	cause error
}

// Error returns the place and the message.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("byte %d: %s", e.Offset, e.Message())
	}
	return fmt.Sprintf("%s, byte %d: %s", e.Field, e.Offset, e.Message())
}

// Message returns the reason, and what is expected of a value of the wrong type.
func (e *Error) Message() string {
	if e.Expected == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s; expected: a %s", e.Reason, e.Expected)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func newError(err error) error {
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		out := &Error{Offset: syntactic.ByteOffset, Reason: syntactic.Err.Error(), cause: err}
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			out.Field = fieldPath(syntactic.JSONPointer)
		}
		return out
	}
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return err
	}
	out := &Error{Field: fieldPath(semantic.JSONPointer), Offset: semantic.ByteOffset, cause: err}
	switch {
	case errors.Is(err, json.ErrUnknownName):
		out.Reason = "unknown field"
	case semantic.GoType != nil:
		out.Expected = expectedType(semantic.GoType)
		out.Reason = "wrong type: " + describeValue(semantic)
	default:
		out.Reason = err.Error()
	}
	return out
}

// describeValue returns the type of the value at fault, and the value if only its range is wrong.
func describeValue(err *json.SemanticError) string {
	switch err.JSONKind {
	case 'n':
		return "null"
	case 't', 'f':
		return "boolean"
	case '"':
		return "string"
	case '{':
		return "object"
	case '[':
		return "list"
	}
	switch err.GoType.Kind() {
	case reflect.String, reflect.Bool, reflect.Slice, reflect.Struct, reflect.Map, reflect.Pointer:
		return "number"
	}
	if len(err.JSONValue) > maxNumberBytes {
		return "number " + string(err.JSONValue[:maxNumberBytes]) + "..."
	}
	return "number " + string(err.JSONValue)
}

// expectedType returns the JSON type of the values of a Go type.
func expectedType(t reflect.Type) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Slice, reflect.Array:
		return "list"
	case reflect.Struct, reflect.Map:
		return "JSON object"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "whole number of at least 0"
	}
	return "whole number"
}

// fieldPath returns a pointer in the notation of the documentation, for example Routes[0].Name, or
// nothing if it is too long.
func fieldPath(pointer jsontext.Pointer) string {
	if len(pointer) > maxPathBytes {
		return ""
	}
	var out strings.Builder
	for name := range pointer.Tokens() {
		switch index, err := strconv.ParseUint(name, 10, 32); {
		case err == nil:
			fmt.Fprintf(&out, "[%d]", index)
		case out.Len() == 0:
			out.WriteString(name)
		default:
			out.WriteString("." + name)
		}
	}
	return escape(out.String())
}

// escape escapes what cannot be printed.
func escape(text string) string {
	quoted := strconv.Quote(text)
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}
