// Package load sends a described mix of chats and calls to routers in an open
// loop, checks every answer, and reports latency, outcomes, cache reuse, load
// skew and control traffic.
package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// MaxDuration bounds a run.
const MaxDuration = 30 * time.Minute

// DefaultMaxInFlight bounds the requests in progress where the mix gives no bound.
const DefaultMaxInFlight = 4096

// Mix describes a load.
type Mix struct {
	// Seed fixes arrivals, shapes, customers and routers.
	Seed uint64 `json:"seed"`
	// DurationMS is how long requests are sent, and WarmupMS the time at its
	// beginning that no histogram counts.
	DurationMS int `json:"durationMs"`
	WarmupMS   int `json:"warmupMs,omitempty"`
	// RatePerSecond is the mean arrival rate outside the crest.
	RatePerSecond float64    `json:"ratePerSecond"`
	Crest         *Crest     `json:"crest,omitempty"`
	Chats         Chats      `json:"chats"`
	Shapes        []Shape    `json:"shapes"`
	Customers     []Customer `json:"customers"`
	// HomeShare is the share of a chat's requests that arrive in the failure
	// domain where the chat began; the others arrive anywhere.
	HomeShare float64 `json:"homeShare"`
	// MaxInFlight bounds the requests in progress; arrivals beyond it are dropped
	// and counted.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Crest multiplies the arrival rate for some time.
type Crest struct {
	StartMS  int     `json:"startMs"`
	LengthMS int     `json:"lengthMs"`
	Factor   float64 `json:"factor"`
	// Customers lists those that surge; empty for all.
	Customers []string `json:"customers,omitempty"`
}

// Chats describes how chats return.
type Chats struct {
	// Turns is the number of requests of a chat.
	Turns int `json:"turns"`
	// PauseMS is the mean pause between an answer and the chat's next request.
	PauseMS int `json:"pauseMs"`
	// ReturnShare is the share of arrivals that go to a chat whose pause has
	// ended, where there is one; the others open a new chat.
	ReturnShare float64 `json:"returnShare"`
}

// Shape is a kind of request.
type Shape struct {
	Name  string    `json:"name"`
	Class api.Class `json:"class"`
	// Model names the intent of a chat, and Service the pool of a plain call;
	// exactly one is set.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Keyed sends an idempotency key with each request.
	Keyed bool `json:"keyed,omitempty"`
	// Whole asks for the answer in one piece instead of a stream.
	Whole bool    `json:"whole,omitempty"`
	Share float64 `json:"share"`
	// PromptTokens is the length of a chat's first message, and TurnTokens that
	// of its further ones.
	PromptTokens int `json:"promptTokens"`
	TurnTokens   int `json:"turnTokens,omitempty"`
	AnswerTokens int `json:"answerTokens,omitempty"`
	// DeadlineMS is the time to the first token that an admitted request must meet.
	DeadlineMS int `json:"deadlineMs,omitempty"`
}

// Customer is who sends a share of the load.
type Customer struct {
	Name   string  `json:"name"`
	Token  string  `json:"token"`
	Share  float64 `json:"share"`
	Weight int     `json:"weight,omitempty"`
}

// Duration returns how long requests are sent.
func (m *Mix) Duration() time.Duration { return milliseconds(m.DurationMS) }

// Warmup returns the time that no histogram counts.
func (m *Mix) Warmup() time.Duration { return milliseconds(m.WarmupMS) }

// Deadline returns the time to the first token that a request must meet, or zero.
func (s *Shape) Deadline() time.Duration { return milliseconds(s.DeadlineMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// ReadMix reads and checks a mix. It returns every fault found.
func ReadMix(path string) (*Mix, error) {
	mix := &Mix{}
	if err := readJSON(path, mix); err != nil {
		return nil, err
	}
	if errs := mix.Validate(); len(errs) > 0 {
		return nil, errs
	}
	return mix, nil
}

func readJSON(path string, out any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return api.Errorf(api.CodeLoadMixInvalid, "%v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return api.Errorf(api.CodeLoadMixInvalid, "%s: %v", path, err)
	}
	return nil
}

// Validate returns every fault of the mix.
func (m *Mix) Validate() settings.Errors {
	v := &validator{}
	v.check(m.DurationMS > 0 && m.Duration() <= MaxDuration, "durationMs", "not within 1 ms to %v: %d", MaxDuration, m.DurationMS)
	v.check(m.WarmupMS >= 0 && m.WarmupMS < m.DurationMS, "warmupMs", "not below durationMs: %d", m.WarmupMS)
	v.check(m.RatePerSecond > 0, "ratePerSecond", "not above 0: %v", m.RatePerSecond)
	v.share("homeShare", m.HomeShare)
	v.share("chats.returnShare", m.Chats.ReturnShare)
	v.check(m.Chats.Turns > 0, "chats.turns", "below 1: %d", m.Chats.Turns)
	v.check(m.Chats.PauseMS >= 0, "chats.pauseMs", "below 0: %d", m.Chats.PauseMS)
	v.check(m.MaxInFlight >= 0, "maxInFlight", "below 0: %d", m.MaxInFlight)
	v.shapes(m.Shapes)
	v.customers(m.Customers)
	v.crest(m)
	return v.errs
}

type validator struct{ errs settings.Errors }

func (v *validator) check(ok bool, field, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, api.FieldErrorf(api.CodeLoadMixInvalid, field, format, args...))
	}
}

func (v *validator) share(field string, share float64) {
	v.check(share >= 0 && share <= 1, field, "not within 0 to 1: %v", share)
}

func (v *validator) shapes(shapes []Shape) {
	v.check(len(shapes) > 0, "shapes", "at least one is needed")
	for i, shape := range shapes {
		field := fmt.Sprintf("shapes[%d]", i)
		v.check(shape.Name != "", field+".name", "missing")
		v.check(shape.Class == api.ClassShort || shape.Class == api.ClassLong, field+".class", "neither %q nor %q: %q", api.ClassShort, api.ClassLong, shape.Class)
		v.check((shape.Model == "") != (shape.Service == ""), field+".model", "exactly one of model and service is needed")
		v.check(shape.Share > 0, field+".share", "not above 0: %v", shape.Share)
		v.check(shape.PromptTokens > 0, field+".promptTokens", "below 1: %d", shape.PromptTokens)
		v.check(shape.TurnTokens >= 0, field+".turnTokens", "below 0: %d", shape.TurnTokens)
		v.check(shape.AnswerTokens >= 0, field+".answerTokens", "below 0: %d", shape.AnswerTokens)
		v.check(shape.DeadlineMS >= 0, field+".deadlineMs", "below 0: %d", shape.DeadlineMS)
	}
}

func (v *validator) customers(customers []Customer) {
	v.check(len(customers) > 0, "customers", "at least one is needed")
	for i, customer := range customers {
		field := fmt.Sprintf("customers[%d]", i)
		v.check(customer.Name != "", field+".name", "missing")
		v.check(customer.Token != "", field+".token", "missing")
		v.check(customer.Share > 0, field+".share", "not above 0: %v", customer.Share)
		v.check(customer.Weight >= 0, field+".weight", "below 0: %d", customer.Weight)
	}
}

func (v *validator) crest(m *Mix) {
	if m.Crest == nil {
		return
	}
	v.check(m.Crest.StartMS >= 0, "crest.startMs", "below 0: %d", m.Crest.StartMS)
	v.check(m.Crest.LengthMS > 0, "crest.lengthMs", "below 1: %d", m.Crest.LengthMS)
	v.check(m.Crest.Factor >= 1, "crest.factor", "below 1: %v", m.Crest.Factor)
	for i, name := range m.Crest.Customers {
		v.check(m.hasCustomer(name), fmt.Sprintf("crest.customers[%d]", i), "no such customer: %q", name)
	}
}

func (m *Mix) hasCustomer(name string) bool {
	for _, customer := range m.Customers {
		if customer.Name == name {
			return true
		}
	}
	return false
}
