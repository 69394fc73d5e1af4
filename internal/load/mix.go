// Package load generates open-loop load on routers from a described mix of chats
// and plain calls. It verifies every answer and reports latency histograms,
// outcomes, cache reuse, load skew and control traffic.
package load

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/jsonx"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// MaxDuration bounds the duration of a run.
const MaxDuration = 30 * time.Minute

// DefaultMaxInFlight bounds the requests in progress if the mix sets no bound.
const DefaultMaxInFlight = 4096

// Mix describes the load of one run.
type Mix struct {
	// Seed determines the arrival times, shapes, customers and routers.
	Seed uint64 `json:"seed"`
	// DurationMS is how long requests are sent. Requests that arrive in the first
	// WarmupMS are excluded from the histograms.
	DurationMS int `json:"durationMs"`
	WarmupMS   int `json:"warmupMs,omitempty"`
	// RatePerSecond is the mean arrival rate outside the crest.
	RatePerSecond float64    `json:"ratePerSecond"`
	Crest         *Crest     `json:"crest,omitempty"`
	Chats         Chats      `json:"chats"`
	Shapes        []Shape    `json:"shapes"`
	Customers     []Customer `json:"customers"`
	// HomeShare is the share of requests that arrive at a router in the failure
	// domain of their chat; the others arrive at any router.
	HomeShare float64 `json:"homeShare"`
	// MaxInFlight bounds the requests in progress. Arrivals above the bound are
	// dropped and counted.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Crest is a period with a higher arrival rate.
type Crest struct {
	StartMS  int     `json:"startMs"`
	LengthMS int     `json:"lengthMs"`
	Factor   float64 `json:"factor"`
	// Customers lists the customers whose rate rises; empty means all.
	Customers []string `json:"customers,omitempty"`
}

// Chats describes how often chats return.
type Chats struct {
	// Turns is the number of requests in a chat.
	Turns int `json:"turns"`
	// PauseMS is the mean pause in milliseconds between an answer and the next
	// request of the chat.
	PauseMS int `json:"pauseMs"`
	// ReturnShare is the share of arrivals that continue a chat whose pause has
	// ended, if there is one. The others start a new chat.
	ReturnShare float64 `json:"returnShare"`
}

// Shape is a kind of request.
type Shape struct {
	Name  string    `json:"name"`
	Class api.Class `json:"class"`
	// Model names the intent of a chat, and Service the pool of a plain call.
	// Exactly one is set.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Keyed adds an idempotency key to each request.
	Keyed bool `json:"keyed,omitempty"`
	// Whole requests the answer as one response instead of a stream.
	Whole bool    `json:"whole,omitempty"`
	Share float64 `json:"share"`
	// PromptTokens is the length of the first message of a chat, and TurnTokens the
	// length of each later message.
	PromptTokens int `json:"promptTokens"`
	TurnTokens   int `json:"turnTokens,omitempty"`
	AnswerTokens int `json:"answerTokens,omitempty"`
	// DeadlineMS bounds the time to the first token of an admitted request in
	// milliseconds; zero means no bound.
	DeadlineMS int `json:"deadlineMs,omitempty"`
}

// Customer sends a share of the load.
type Customer struct {
	Name   string  `json:"name"`
	Token  string  `json:"token"`
	Share  float64 `json:"share"`
	Weight int     `json:"weight,omitempty"`
}

// Duration returns how long requests are sent.
func (m *Mix) Duration() time.Duration { return milliseconds(m.DurationMS) }

// Warmup returns the initial period that the histograms exclude.
func (m *Mix) Warmup() time.Duration { return milliseconds(m.WarmupMS) }

// Deadline returns the bound on the time to the first token, or zero if there is
// none.
func (s *Shape) Deadline() time.Duration { return milliseconds(s.DeadlineMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// ReadMix reads and validates a mix. The error lists every invalid field.
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
	if err := jsonx.DecodeKnown(bytes.NewReader(raw), out); err != nil {
		return api.Errorf(api.CodeLoadMixInvalid, "%s: %v", path, err)
	}
	return nil
}

// Validate returns one error per invalid field of the mix.
func (m *Mix) Validate() settings.Errors {
	v := &validator{}
	v.check(m.DurationMS > 0 && m.Duration() <= MaxDuration, "durationMs", "must be between 1 ms and %v: %d", MaxDuration, m.DurationMS)
	v.check(m.WarmupMS >= 0 && m.WarmupMS < m.DurationMS, "warmupMs", "must be at least 0 and below durationMs: %d", m.WarmupMS)
	v.check(m.RatePerSecond > 0, "ratePerSecond", "must be above 0: %v", m.RatePerSecond)
	v.checkShare("homeShare", m.HomeShare)
	v.checkShare("chats.returnShare", m.Chats.ReturnShare)
	v.check(m.Chats.Turns > 0, "chats.turns", "must be at least 1: %d", m.Chats.Turns)
	v.check(m.Chats.PauseMS >= 0, "chats.pauseMs", "must be at least 0: %d", m.Chats.PauseMS)
	v.check(m.MaxInFlight >= 0, "maxInFlight", "must be at least 0: %d", m.MaxInFlight)
	v.checkShapes(m.Shapes)
	v.checkCustomers(m.Customers)
	v.checkCrest(m)
	return v.errs
}

type validator struct{ errs settings.Errors }

func (v *validator) check(ok bool, field, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, api.FieldErrorf(api.CodeLoadMixInvalid, field, format, args...))
	}
}

func (v *validator) checkShare(field string, share float64) {
	v.check(share >= 0 && share <= 1, field, "must be between 0 and 1: %v", share)
}

func (v *validator) checkShapes(shapes []Shape) {
	v.check(len(shapes) > 0, "shapes", "must not be empty")
	for i, shape := range shapes {
		field := fmt.Sprintf("shapes[%d]", i)
		v.check(shape.Name != "", field+".name", "missing")
		v.check(shape.Class == api.ClassShort || shape.Class == api.ClassLong, field+".class", "must be %q or %q: %q", api.ClassShort, api.ClassLong, shape.Class)
		v.check((shape.Model == "") != (shape.Service == ""), field+".model", "exactly one of model and service must be set")
		v.check(shape.Share > 0, field+".share", "must be above 0: %v", shape.Share)
		v.check(shape.PromptTokens > 0, field+".promptTokens", "must be at least 1: %d", shape.PromptTokens)
		v.check(shape.TurnTokens >= 0, field+".turnTokens", "must be at least 0: %d", shape.TurnTokens)
		v.check(shape.AnswerTokens >= 0, field+".answerTokens", "must be at least 0: %d", shape.AnswerTokens)
		v.check(shape.DeadlineMS >= 0, field+".deadlineMs", "must be at least 0: %d", shape.DeadlineMS)
	}
}

func (v *validator) checkCustomers(customers []Customer) {
	v.check(len(customers) > 0, "customers", "must not be empty")
	for i, customer := range customers {
		field := fmt.Sprintf("customers[%d]", i)
		v.check(customer.Name != "", field+".name", "missing")
		v.check(customer.Token != "", field+".token", "missing")
		v.check(customer.Share > 0, field+".share", "must be above 0: %v", customer.Share)
		v.check(customer.Weight >= 0, field+".weight", "must be at least 0: %d", customer.Weight)
	}
}

func (v *validator) checkCrest(m *Mix) {
	if m.Crest == nil {
		return
	}
	v.check(m.Crest.StartMS >= 0, "crest.startMs", "must be at least 0: %d", m.Crest.StartMS)
	v.check(m.Crest.LengthMS > 0, "crest.lengthMs", "must be at least 1: %d", m.Crest.LengthMS)
	v.check(m.Crest.Factor >= 1, "crest.factor", "must be at least 1: %v", m.Crest.Factor)
	for i, name := range m.Crest.Customers {
		v.check(m.hasCustomer(name), fmt.Sprintf("crest.customers[%d]", i), "unknown customer: %q", name)
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
