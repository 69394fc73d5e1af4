// Package experiment measures the routing policies in virtual time: it drives
// the decisions of balance, as the dispatcher does, over a small queueing model
// of the backend servers of one failure domain.
package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Milliseconds is a duration as it stands in a description.
type Milliseconds int

// Duration returns the time.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Description describes an experiment in one failure domain.
type Description struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Policies are the routing policies that are run, each on the same arrivals.
	Policies []settings.Policy `json:"policies"`
	// Oracle runs a policy too that knows every server's load and cache.
	Oracle bool `json:"oracle,omitempty"`

	WarmUpMS  Milliseconds `json:"warmUpMs"`
	MeasureMS Milliseconds `json:"measureMs"`

	Routers int `json:"routers"`
	Servers int `json:"servers"`
	Slots   int `json:"slots"`

	// Load is the work that arrives, as a share of the servers' capacity.
	Load float64 `json:"load"`
	// Crest raises the load for a time.
	Crest Crest `json:"crest,omitzero"`
	// FirstRouterShare is the share of the requests that come to the first
	// router; zero spreads them evenly.
	FirstRouterShare float64 `json:"firstRouterShare,omitempty"`

	Chats int `json:"chats"`
	// HotChats of the chats get HotShare of the requests.
	HotChats int     `json:"hotChats,omitempty"`
	HotShare float64 `json:"hotShare,omitempty"`
	// CacheChats is the size of a server's prefix cache, as a multiple of the
	// chats for each server, at their greatest length.
	CacheChats float64 `json:"cacheChats"`

	// AnswerTokens is the mean length of a short answer.
	AnswerTokens int `json:"answerTokens"`
	// LongShare of the requests are long work.
	LongShare float64 `json:"longShare,omitempty"`
	// LongFactor is how many times longer long work runs.
	LongFactor float64 `json:"longFactor,omitempty"`

	// Customers is the number of customers with equal weights.
	Customers int `json:"customers"`
	// SurgeCustomers of the customers bring the whole crest.
	SurgeCustomers int `json:"surgeCustomers,omitempty"`

	QueueMS Milliseconds `json:"queueMs"`
	// DeadlineMS bounds the time to the first byte; zero means none.
	DeadlineMS Milliseconds `json:"deadlineMs,omitempty"`

	// ReplacedPerMinute is the share of the servers that is replaced a minute.
	ReplacedPerMinute float64 `json:"replacedPerMinute,omitempty"`
	// DisagreeMS is the longest time until a router learns of a replacement.
	DisagreeMS Milliseconds `json:"disagreeMs,omitempty"`

	// StragglerShare of the servers run at StragglerSpeed of the full speed.
	StragglerShare float64 `json:"stragglerShare,omitempty"`
	StragglerSpeed float64 `json:"stragglerSpeed,omitempty"`
}

// Crest is a swing of the demand.
type Crest struct {
	StartMS  Milliseconds `json:"startMs"`
	LengthMS Milliseconds `json:"lengthMs"`
	// Load is the load during the crest, as a share of the capacity.
	Load float64 `json:"load"`
}

// Load reads and checks a description.
func Load(path string) (*Description, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeUsage, "%v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	d := &Description{}
	if err := decoder.Decode(d); err != nil {
		return nil, api.Errorf(api.CodeUsage, "%v", err)
	}
	return d, d.Validate()
}

// Validate returns the first field that is not valid, or nil.
func (d *Description) Validate() error {
	positive := []struct {
		field string
		value float64
	}{
		{"measureMs", float64(d.MeasureMS)}, {"routers", float64(d.Routers)}, {"servers", float64(d.Servers)},
		{"slots", float64(d.Slots)}, {"answerTokens", float64(d.AnswerTokens)}, {"load", d.Load}, {"chats", float64(d.Chats)},
		{"customers", float64(d.Customers)}, {"queueMs", float64(d.QueueMS)}, {"cacheChats", d.CacheChats},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return api.FieldErrorf(api.CodeUsage, p.field, "not above 0: %v", p.value)
		}
	}
	if d.LongShare > 0 && d.LongFactor < 1 {
		return api.FieldErrorf(api.CodeUsage, "longFactor", "below 1: %v", d.LongFactor)
	}
	if d.StragglerShare > 0 && d.StragglerSpeed <= 0 {
		return api.FieldErrorf(api.CodeUsage, "stragglerSpeed", "not above 0: %v", d.StragglerSpeed)
	}
	if d.HotChats > d.Chats {
		return api.FieldErrorf(api.CodeUsage, "hotChats", "more than the chats: %d", d.HotChats)
	}
	if d.SurgeCustomers > d.Customers {
		return api.FieldErrorf(api.CodeUsage, "surgeCustomers", "more than the customers: %d", d.SurgeCustomers)
	}
	return nil
}
