// Package experiment measures routing policies by discrete-event simulation in
// virtual time. It drives the placement decisions of package balance, as the
// dispatcher does, over a queueing model of the routers and backend servers of one
// failure domain.
package experiment

import (
	"bytes"
	"os"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/jsonx"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Milliseconds is a duration in a description.
type Milliseconds int

func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Description describes an experiment in one failure domain.
type Description struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Policies are the routing policies to run, each on the same arrivals.
	Policies []settings.Policy `json:"policies"`
	// Oracle also runs a policy with the exact load and cache content of every
	// server.
	Oracle bool `json:"oracle,omitempty"`

	WarmUpMS  Milliseconds `json:"warmUpMs"`
	MeasureMS Milliseconds `json:"measureMs"`

	Routers int `json:"routers"`
	Servers int `json:"servers"`
	Slots   int `json:"slots"`

	// Load is the arriving work, as a share of the capacity of the servers.
	Load float64 `json:"load"`
	// Crest raises the load for some time.
	Crest Crest `json:"crest,omitzero"`
	// FirstRouterShare is the share of the requests sent to the first router, in
	// addition to its part of the others; zero distributes all evenly.
	FirstRouterShare float64 `json:"firstRouterShare,omitempty"`

	Chats int `json:"chats"`
	// HotChats is the number of chats that receive HotShare of the requests.
	HotChats int     `json:"hotChats,omitempty"`
	HotShare float64 `json:"hotShare,omitempty"`
	// CacheChats is the capacity of the prefix cache of a server, as a multiple of
	// the chats per server at their maximum length.
	CacheChats float64 `json:"cacheChats"`

	// AnswerTokens is the mean length of a short answer.
	AnswerTokens int `json:"answerTokens"`
	// LongShare is the share of the requests that are long.
	LongShare float64 `json:"longShare,omitempty"`
	// LongFactor is the ratio of the answer length of long requests to that of
	// short ones.
	LongFactor float64 `json:"longFactor,omitempty"`

	// Customers is the number of customers, all with equal weight.
	Customers int `json:"customers"`
	// SurgeCustomers is the number of customers that cause the whole crest.
	SurgeCustomers int `json:"surgeCustomers,omitempty"`

	// QueueMS bounds the time in the queue of a router.
	QueueMS Milliseconds `json:"queueMs"`
	// DeadlineMS bounds the time to the first byte; zero means no bound.
	DeadlineMS Milliseconds `json:"deadlineMs,omitempty"`

	// ReplacedPerMinute is the share of the servers replaced per minute.
	ReplacedPerMinute float64 `json:"replacedPerMinute,omitempty"`
	// DisagreeMS is the maximum delay until a router applies a replacement.
	DisagreeMS Milliseconds `json:"disagreeMs,omitempty"`

	// StragglerShare is the share of the servers that are stragglers. They run at
	// StragglerSpeed, a fraction of the full speed.
	StragglerShare float64 `json:"stragglerShare,omitempty"`
	StragglerSpeed float64 `json:"stragglerSpeed,omitempty"`
}

// Crest is a period with a different load.
type Crest struct {
	StartMS  Milliseconds `json:"startMs"`
	LengthMS Milliseconds `json:"lengthMs"`
	// Load is the load during the crest, as a share of the capacity.
	Load float64 `json:"load"`
}

// Load reads and validates a description.
func Load(path string) (*Description, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeUsage, "%v", err)
	}
	d := &Description{}
	if err := jsonx.DecodeKnown(bytes.NewReader(raw), d); err != nil {
		return nil, api.Errorf(api.CodeUsage, "decode the description: %v", err)
	}
	return d, d.Validate()
}

// Validate returns an error for the first invalid field, or nil.
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
			return api.FieldErrorf(api.CodeUsage, p.field, "must be above 0: %v", p.value)
		}
	}
	if d.LongShare > 0 && d.LongFactor < 1 {
		return api.FieldErrorf(api.CodeUsage, "longFactor", "must be at least 1: %v", d.LongFactor)
	}
	if d.StragglerShare > 0 && d.StragglerSpeed <= 0 {
		return api.FieldErrorf(api.CodeUsage, "stragglerSpeed", "must be above 0: %v", d.StragglerSpeed)
	}
	if d.HotChats > d.Chats {
		return api.FieldErrorf(api.CodeUsage, "hotChats", "must not exceed chats: %d", d.HotChats)
	}
	if d.SurgeCustomers > d.Customers {
		return api.FieldErrorf(api.CodeUsage, "surgeCustomers", "must not exceed customers: %d", d.SurgeCustomers)
	}
	return nil
}
