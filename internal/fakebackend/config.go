package fakebackend

import (
	"math/rand/v2"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Config describes a stand-in backend server.
type Config struct {
	// Listen is the IP address and port at which the server takes requests.
	Listen string
	// Announce lists the routers' addresses for announcements, tried in order.
	Announce []string
	Pool     api.Ref
	Models   []string
	Slots    int
	// TokenTime is the time between two tokens of one answer of an idle engine.
	TokenTime time.Duration
	// BatchTime is what each further request of the batch adds to that time.
	BatchTime time.Duration
	// PromptTime is the time for one prompt token that is not cached.
	PromptTime time.Duration
	// ServiceTime is the time that a call of a plain service takes.
	ServiceTime time.Duration
	// AnnounceEvery is the time between two announcements.
	AnnounceEvery time.Duration
	// CacheTokens bounds the prefix cache; zero takes DefaultCacheTokens.
	CacheTokens int
	// EventDelay is the age at which a cache event is published, and EventLoss
	// the share of cache events that are never published.
	EventDelay time.Duration
	EventLoss  float64
	// ReportLag is the age of the load reports.
	ReportLag time.Duration
	// SlowFactor above 1 makes the server a straggler: always where SlowEvery is
	// zero, otherwise for SlowFor after pauses of SlowEvery in the mean.
	SlowFactor float64
	SlowEvery  time.Duration
	SlowFor    time.Duration
	// EarlyHead makes the server send the head of a stream before its first token.
	EarlyHead bool
	// NoResume makes the server ignore the resume header.
	NoResume bool
	// ChecksFencing makes the server refuse orders with an old fencing token.
	ChecksFencing bool
	// DrainGrace is how long a draining server still takes new requests, since
	// routers learn of its state a little later.
	DrainGrace time.Duration
	// Seed fixes the random choices.
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
	// DrainLimit bounds the time that a draining server takes to finish its work.
	DrainLimit = 60 * time.Second
)

// Independent random streams of one seed.
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
