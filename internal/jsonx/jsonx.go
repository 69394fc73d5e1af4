// Package jsonx decodes texts that hold exactly one JSON value. A json.Decoder ignores what follows
// the value, as in a file whose text was replaced in place by a shorter one.
package jsonx

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ErrTrailingText is the error for text after the JSON value.
var ErrTrailingText = errors.New("text follows the JSON value")

// Decode decodes the only JSON value of a text and ignores unknown fields. The errors are those of
// encoding/json, of the source, or ErrTrailingText.
func Decode(source io.Reader, value any) error { return decode(json.NewDecoder(source), value) }

// DecodeKnown is Decode, and returns an error for an unknown field.
func DecodeKnown(source io.Reader, value any) error {
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	return decode(decoder, value)
}

func decode(decoder *json.Decoder, value any) error {
	if err := decoder.Decode(value); err != nil {
		return err
	}
	switch _, err := decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case isSourceError(err):
		return err
	}
	return ErrTrailingText
}

// isSourceError reports whether a token could not be read because of its source, not its text.
func isSourceError(err error) bool {
	var syntax *json.SyntaxError
	return err != nil && !errors.As(err, &syntax)
}
