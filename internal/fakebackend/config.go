package fakebackend

import (
	"math/rand/v2"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Config configures a fake backend server.
type Config struct {
	// Listen is the IP address and port on which the server accepts requests.
	Listen string
	// Announce lists the routers' addresses for announcements, tried in order.
	Announce []string
	Pool     api.Ref
	Models   []string
	// Slots is the maximum batch size and the announced number of slots.
	Slots int
	// TokenTime is the time between two tokens of an answer if the batch holds one request.
	TokenTime time.Duration
	// BatchTime is added to TokenTime for each further request of the batch.
	BatchTime time.Duration
	// PromptTime is the time to process one prompt token that is not cached.
	PromptTime time.Duration
	// ServiceTime is the duration of a call to a plain service.
	ServiceTime time.Duration
	// AnnounceEvery is the interval between announcements.
	AnnounceEvery time.Duration
	// CacheTokens bounds the prefix cache; zero means DefaultCacheTokens.
	CacheTokens int
	// EventDelay is the age at which a cache event is published; EventLoss is the
	// share, from 0 to 1, of cache events that are never published.
	EventDelay time.Duration
	EventLoss  float64
	// ReportLag is the age of the load reports.
	ReportLag time.Duration
	// SlowFactor multiplies the duration of work if it is above 1: always if SlowEvery is
	// zero, otherwise during periods of SlowFor that are SlowEvery apart on average.
	SlowFactor float64
	SlowEvery  time.Duration
	SlowFor    time.Duration
	// EarlyHead sends the response headers of a stream before its first token.
	EarlyHead bool
	// NoResume ignores the resume header.
	NoResume bool
	// RepeatAnswers sends each answer to a router again when the next request of its
	// connection arrives.
	RepeatAnswers bool
	// ChecksFencing rejects orders with an old fencing token.
	ChecksFencing bool
	// DrainGrace is how long a draining server still accepts new requests, because
	// routers receive its state with a delay.
	DrainGrace time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultSlots         = 16
	DefaultTokenTime     = 2 * time.Millisecond
	DefaultBatchTime     = 50 * time.Microsecond
	DefaultPromptTime    = 10 * time.Microsecond
	DefaultAnnounceEvery = time.Second
	DefaultCacheTokens   = 1 << 20
	DefaultDrainGrace    = time.Second
	// DrainTimeout bounds how long a draining server takes to finish its requests.
	DrainTimeout = 60 * time.Second
)

// Stream numbers for independent random sequences from one seed.
const (
	streamSlow uint64 = iota + 1
	streamEvents
)

func (c Config) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(c.Seed, stream)) }

// Timing returns the engine's timing.
func (c Config) Timing() Timing {
	return Timing{Token: c.TokenTime, PerRequest: c.BatchTime, PerPromptToken: c.PromptTime}
}

func (c Config) withDefaults() Config {
	if c.CacheTokens == 0 {
		c.CacheTokens = DefaultCacheTokens
	}
	return c
}
