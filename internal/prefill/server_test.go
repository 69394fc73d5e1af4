package prefill_test

import (
	"container/list"
	"time"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// Parameters of the simulated deployment: a third of 90 routers and 140 servers.
const (
	routerCount    = 30
	serverCount    = 47
	slots          = 24
	cacheTokens    = 392_785
	chunkTokens    = 4096
	tokensPerMS    = 56.9
	stepMS         = 3.09
	stepRequestMS  = 0.1
	reportInterval = 350 * time.Millisecond
	reportAge      = 700 * time.Millisecond
	retryInterval  = 20 * time.Millisecond
	networkDelay   = 2 * time.Millisecond
)

// kind is a kind of requests. Its prompts have an optional part that groups share, a part that the
// requests of a key share, and an own part.
type kind struct {
	name                          string
	perSecond, burst              float64
	groupTokens, keyTokens, tails int
	keys                          uint64
	hotShare                      float64
	events                        int
	objective, pause              time.Duration
}

// kinds has a burst of 2 s in every 10 s, in which the rate is that many times the mean.
var kinds = []kind{
	{"plan", 38.7, 2.5, 812, 9700, 1300, 3000, 0.05, 38, 2 * time.Second, 0},
	{"quick", 86.3, 1.5, 0, 699, 130, 300, 0, 29, 500 * time.Millisecond, 600 * time.Millisecond},
	{"tag", 61.7, 1, 0, 2041, 360, 100, 0, 2, 600 * time.Millisecond, 0},
}

func (k kind) rate(at time.Duration, offset time.Duration) float64 {
	const period, length = 10 * time.Second, 2 * time.Second
	if (at+offset)%period < length {
		return k.perSecond * k.burst
	}
	return k.perSecond * (1 - 0.2*k.burst) / 0.8
}

type request struct {
	kind      *kind
	parts     []placement.PromptPart
	arrived   time.Duration
	router    int
	server    *server
	chosen    *placement.Server
	toPrefill int
	started   bool
	events    int
	first     time.Duration
	last      time.Duration
	pause     time.Duration
}

// server generates tokens for a batch of requests and prefills prompts in the order of arrival.
type server struct {
	info     placement.ServerInfo
	waiting  []*request
	running  []*request
	stepping bool
	cache    map[uint64]*list.Element
	used     int
	recent   *list.List
}

func newServer(info placement.ServerInfo) *server {
	return &server{info: info, cache: make(map[uint64]*list.Element), recent: list.New()}
}

func (v *server) load() int { return len(v.waiting) + len(v.running) }

// uncached returns the tokens of the prompt that are not in the cache, in all and of shared parts,
// and caches all of them.
func (v *server) uncached(parts []placement.PromptPart) (tokens, shared int) {
	miss := false
	for i, part := range parts {
		e, known := v.cache[part.ID]
		if miss = miss || !known; miss {
			tokens += part.Tokens
			if i < len(parts)-1 {
				shared += part.Tokens
			}
		}
		if known {
			v.recent.MoveToFront(e)
			continue
		}
		v.cache[part.ID] = v.recent.PushFront(part)
		v.used += part.Tokens
	}
	for v.used > cacheTokens {
		part := v.recent.Remove(v.recent.Back()).(placement.PromptPart)
		delete(v.cache, part.ID)
		v.used -= part.Tokens
	}
	return tokens, shared
}
