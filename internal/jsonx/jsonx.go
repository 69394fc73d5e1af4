// Package jsonx decodes JSON texts that come from outside: route tables, announcements, resources,
// settings and callers' bodies. Such a text is either kept as it was sent or refused. encoding/json
// would replace bytes that are not UTF-8, take the last of several fields with the same name, accept
// field names in another case, and ignore what follows the value.
package jsonx

import (
	"bytes"
	stdjson "encoding/json"
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// ErrTrailingText is the cause of the error for text after the JSON value.
var ErrTrailingText = errors.New("text follows the JSON value")

// Decode decodes the only JSON value of a text and ignores unknown fields. It returns an *Error if the
// text is not valid UTF-8, has an escaped surrogate without its pair, has an object with two fields of
// the same name or a value of the wrong type, and if text follows the value. Names of fields are
// case-sensitive. An error of the source is returned as it is.
func Decode(source io.Reader, value any) error { return decode(source, value) }

// DecodeKnown is Decode, and returns an *Error for an unknown field.
func DecodeKnown(source io.Reader, value any) error {
	return decode(source, value, json.RejectUnknownMembers(true))
}

func decode(source io.Reader, value any, options ...json.Options) error {
	text, err := io.ReadAll(source)
	if err != nil {
		return err
	}
	decoder := jsontext.NewDecoder(bytes.NewBuffer(text))
	switch err := json.UnmarshalDecode(decoder, value, options...); {
	case errors.Is(err, io.EOF):
		return &Error{Offset: int64(len(text)), Reason: "no JSON value", cause: err}
	case err != nil:
		return newError(err)
	}
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return &Error{Offset: decoder.InputOffset(), Reason: ErrTrailingText.Error(), cause: ErrTrailingText}
	}
	return nil
}

// Sequence decodes a sequence of JSON values as DecodeKnown decodes one.
type Sequence struct{ decoder *jsontext.Decoder }

// NewSequence returns the sequence of a source.
func NewSequence(source io.Reader) *Sequence {
	return &Sequence{decoder: jsontext.NewDecoder(source)}
}

// Next decodes the next value. It returns io.EOF after the last one.
func (s *Sequence) Next(value any) error {
	if s.decoder.PeekKind() == 0 {
		if _, err := s.decoder.ReadToken(); errors.Is(err, io.EOF) {
			return io.EOF
		}
	}
	if err := json.UnmarshalDecode(s.decoder, value, json.RejectUnknownMembers(true)); err != nil {
		return newError(err)
	}
	return nil
}

// DecodeAccepted decodes a text that this or an earlier version has accepted and stored. It keeps the
// meaning that earlier versions gave to texts that Decode refuses: bytes that are not UTF-8 become
// U+FFFD, the last of several fields with the same name counts, and names match in any case.
func DecodeAccepted(text []byte, value any) error { return decodeAccepted(text, value, false) }

// DecodeAcceptedKnown is DecodeAccepted, and returns an error for an unknown field.
func DecodeAcceptedKnown(text []byte, value any) error { return decodeAccepted(text, value, true) }

func decodeAccepted(text []byte, value any, known bool) error {
	decoder := stdjson.NewDecoder(bytes.NewReader(text))
	if known {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailingText
	}
	return nil
}
