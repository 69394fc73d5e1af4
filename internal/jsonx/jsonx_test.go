package jsonx_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/jsonx"
)

// TestTextAfterTheValueIsAnError guards against the end of an older, longer text that is ignored.
func TestTextAfterTheValueIsAnError(t *testing.T) {
	g := NewWithT(t)
	for text, expected := range map[string]error{
		`{"a":1}`: nil, "{\"a\":1} \r\n\t": nil,
		`{"a":1}]}`: jsonx.ErrTrailingText, `{"a":1}}`: jsonx.ErrTrailingText, `{"a":1} x`: jsonx.ErrTrailingText,
		`{"a":1}{"a":2}`: jsonx.ErrTrailingText, `{"a":1},`: jsonx.ErrTrailingText,
	} {
		value := struct{ A int }{}
		for _, err := range []error{jsonx.Decode(strings.NewReader(text), &value), jsonx.DecodeKnown(strings.NewReader(text), &value)} {
			if expected == nil {
				g.Expect(err).NotTo(HaveOccurred(), text)
			} else {
				g.Expect(err).To(MatchError(expected), text)
			}
		}
	}
	value := struct{ A int }{}
	g.Expect(jsonx.Decode(strings.NewReader(`{"b":1}`), &value)).To(Succeed())
	g.Expect(jsonx.DecodeKnown(strings.NewReader(`{"b":1}`), &value)).NotTo(Succeed())
}
