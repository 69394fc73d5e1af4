package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/prefill"
)

// SeparatePrompts makes long and short prompts of a pool prefer different servers. It must be
// called before the gateway serves.
func (g *Gateway) SeparatePrompts() {
	g.pools.separatePrompts = true
	metrics.GetOrCreateGauge("peridotwinch_gateway_short_prompt_servers", func() float64 {
		servers, _ := g.promptClasses()
		return float64(servers)
	})
	metrics.GetOrCreateGauge("peridotwinch_gateway_long_prompt_tokens", func() float64 {
		_, boundary := g.promptClasses()
		return float64(boundary)
	})
}

// promptClasses returns the number of servers that short prompts prefer, and the lowest number of
// tokens from which a prompt of a pool is long.
func (g *Gateway) promptClasses() (servers, boundary int) {
	for _, p := range g.pools.list() {
		p.mu.Lock()
		s, b := p.servers.PromptClasses()
		p.mu.Unlock()
		servers += s
		if boundary == 0 || b > 0 && b < boundary {
			boundary = b
		}
	}
	return servers, boundary
}

// newServers returns the placement of a new pool.
func (p *pools) newServers(engine bool) *placement.Pool {
	servers := placement.NewPool(engine)
	if p.separatePrompts {
		servers.SeparatePrompts()
	}
	return servers
}

// recordPromptClass counts a send of a prompt by its class and by whether the server is one that
// prompts of the other class prefer.
func recordPromptClass(choice placement.Choice) {
	if choice.Class == prefill.ClassNone {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`peridotwinch_gateway_classed_prompts_total{class=%q,other_class=%q}`, choice.Class, fmt.Sprint(choice.OtherClass))).Inc()
}

// addPromptClass adds the fields that explain the choice by the prompt's class.
func addPromptClass(line *zerolog.Event, choice placement.Choice) *zerolog.Event {
	if choice.Class == prefill.ClassNone {
		return line
	}
	return line.Str("promptClass", choice.Class.String()).Bool("otherClass", choice.OtherClass).
		Float64("loadBound", choice.Bound)
}
