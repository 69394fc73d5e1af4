package jsonx_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/jsonx"
)

// object is a value with a field of each type of JSON.
type object struct {
	Name   string            `json:"name"`
	Count  uint64            `json:"count"`
	Ratio  float64           `json:"ratio"`
	On     bool              `json:"on"`
	Items  []object          `json:"items"`
	Labels map[string]string `json:"labels"`
}

// TestTextAfterTheValueIsAnError guards against the end of an older, longer text that is ignored.
func TestTextAfterTheValueIsAnError(t *testing.T) {
	g := NewWithT(t)
	for text, expected := range map[string]error{
		`{"count":1}`: nil, "{\"count\":1} \r\n\t": nil,
		`{"count":1}]}`: jsonx.ErrTrailingText, `{"count":1}}`: jsonx.ErrTrailingText, `{"count":1} x`: jsonx.ErrTrailingText,
		`{"count":1}{"count":2}`: jsonx.ErrTrailingText, `{"count":1},`: jsonx.ErrTrailingText,
	} {
		value := object{}
		for _, err := range []error{
			jsonx.Decode(strings.NewReader(text), &value), jsonx.DecodeKnown(strings.NewReader(text), &value),
			jsonx.DecodeAccepted([]byte(text), &value), jsonx.DecodeAcceptedKnown([]byte(text), &value),
		} {
			if expected == nil {
				g.Expect(err).NotTo(HaveOccurred(), text)
			} else {
				g.Expect(err).To(MatchError(expected), text)
			}
		}
	}
	value := object{}
	g.Expect(jsonx.Decode(strings.NewReader(`{"b":1}`), &value)).To(Succeed())
	g.Expect(jsonx.DecodeKnown(strings.NewReader(`{"b":1}`), &value)).NotTo(Succeed())
	g.Expect(jsonx.DecodeAccepted([]byte(`{"b":1}`), &value)).To(Succeed())
	g.Expect(jsonx.DecodeAcceptedKnown([]byte(`{"b":1}`), &value)).NotTo(Succeed())
}

// TestTextThatCannotBeKeptAsSentIsAnError guards against a text that is changed instead of refused, and
// against an error that does not name the place.
func TestTextThatCannotBeKeptAsSentIsAnError(t *testing.T) {
	for _, c := range []struct{ text, field, reason string }{
		{"{\"name\":\"a\xffb\"}", "name", "invalid UTF-8"},
		{"{\"name\":\"caf\xe9\"}", "name", "invalid UTF-8"},
		{"{\"name\":\"\xed\xa0\x80\"}", "name", "invalid UTF-8"},
		{"{\"name\":\"\xe2\x82\"}", "name", "invalid UTF-8"},
		{"{\"na\xffme\":\"a\"}", "", "invalid UTF-8"},
		{"{\"other\":{\"a\":[1,\"\xff\"]}}", "other.a[1]", "invalid UTF-8"},
		{`{"name":"\ud800"}`, "name", "invalid surrogate pair"},
		{`{"name":"\udc00\ud800"}`, "name", "invalid surrogate pair"},
		{`{"other":"\ud800x"}`, "other", "invalid surrogate pair"},
		{`{"name":"a","name":"a"}`, "name", "duplicate"},
		{`{"name":"a","n\u0061me":"a"}`, "name", "duplicate"},
		{`{"items":[{},{"other":{"x":1,"x":2}}]}`, "items[1].other.x", "duplicate"},
		{`{"items":[{},{"name":1}]}`, "items[1].name", "wrong type: number"},
		{`{"count":-1}`, "count", "wrong type: number -1"},
		{`{"ratio":1e400}`, "ratio", "wrong type: number 1e400"},
		{`{"on":"yes"}`, "on", "wrong type: string"},
		{`[]`, "", "wrong type: list"},
		{"\ufeff{}", "", "invalid character"},
		{`{"name":"a`, "", "unexpected EOF"},
		{``, "", "no JSON value"},
	} {
		g := NewWithT(t)
		var err *jsonx.Error
		g.Expect(errors.As(jsonx.Decode(strings.NewReader(c.text), &object{}), &err)).To(BeTrue(), c.text)
		g.Expect(err.Field).To(Equal(c.field), c.text)
		g.Expect(err.Reason).To(ContainSubstring(c.reason), c.text)
		g.Expect(err.Offset).To(BeNumerically("<=", len(c.text)), c.text)
		g.Expect(err.Error()).To(ContainSubstring("byte "), c.text)
	}
}

// TestValidTextIsKeptAsSent guards against a valid text that is refused.
func TestValidTextIsKeptAsSent(t *testing.T) {
	for text, name := range map[string]string{
		`{"name":"\ud83d\ude00"}`: "😀", `{"name":"\ufffd"}`: "\ufffd", "{\"name\":\"\ufffd\"}": "\ufffd",
		`{"name":"a","NAME":"b"}`: "a", `{"n\u0061me":"a"}`: "a", `{"name":null}`: "", "{\"name\":\"\u2028\"}": "\u2028",
		`{"a":{"name":"x"},"name":"y","b":{"name":"z"}}`: "y", `{"name":"\u0000"}`: "\x00",
	} {
		g := NewWithT(t)
		value := object{}
		g.Expect(jsonx.Decode(strings.NewReader(text), &value)).To(Succeed(), text)
		g.Expect(value.Name).To(Equal(name), text)
	}
}

// TestAcceptedTextKeepsItsMeaning guards against an upgrade after which a stored text is refused or means
// something else.
func TestAcceptedTextKeepsItsMeaning(t *testing.T) {
	for text, name := range map[string]string{
		"{\"name\":\"a\xffb\"}": "a\ufffdb", `{"name":"\ud800"}`: "\ufffd", `{"name":"a","name":"b"}`: "b", `{"Name":"a"}`: "a",
	} {
		g := NewWithT(t)
		value := object{}
		g.Expect(jsonx.DecodeAccepted([]byte(text), &value)).To(Succeed(), text)
		g.Expect(value.Name).To(Equal(name), text)
	}
}

// TestErrorOfTheSourceIsReturned guards against a text that could not be read to its end and is reported
// as invalid.
func TestErrorOfTheSourceIsReturned(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("connection reset")
	source := io.MultiReader(strings.NewReader(`{"name":"a"}`), iotest.ErrReader(broken))
	g.Expect(jsonx.Decode(source, &object{})).To(Equal(broken))
}

// TestErrorIsBounded guards against a log line or an answer as long as the text from outside.
func TestErrorIsBounded(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 1<<20)
	err := jsonx.Decode(strings.NewReader(`{"`+long+`":{"`+long+`":"\ud800"}}`), &object{})
	g.Expect(len(err.Error())).To(BeNumerically("<", 1000))
	err = jsonx.Decode(strings.NewReader(`{"count":`+strings.Repeat("9", 1<<20)+`}`), &object{})
	g.Expect(len(err.Error())).To(BeNumerically("<", 1000))
	err = jsonx.Decode(strings.NewReader(`{"a\u000ab":1,"a\u000ab":1}`), &object{})
	g.Expect(err.Error()).NotTo(ContainSubstring("\n"))
}

// TestSequence guards against the end of a sequence that is taken for a value, and against a value that
// Decode would refuse.
func TestSequence(t *testing.T) {
	g := NewWithT(t)
	sequence := jsonx.NewSequence(strings.NewReader("{\"name\":\"a\"}\n{\"name\":\"b\"}\n"))
	for _, name := range []string{"a", "b"} {
		value := object{}
		g.Expect(sequence.Next(&value)).To(Succeed())
		g.Expect(value.Name).To(Equal(name))
	}
	g.Expect(sequence.Next(&object{})).To(Equal(io.EOF))
	for _, text := range []string{"{\"name\":\"\xff\"}", `{"other":1}`, `{"name":"a"`, "x"} {
		err := jsonx.NewSequence(strings.NewReader(text)).Next(&object{})
		g.Expect(err).To(HaveOccurred(), text)
		g.Expect(err).NotTo(Equal(io.EOF), text)
	}
}
