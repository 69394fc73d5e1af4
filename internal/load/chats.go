package load

import (
	"container/heap"
	"fmt"
	"strings"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// bytesPerToken is the length of text that counts as one token.
const bytesPerToken = 4

// chat is a conversation and its message history.
type chat struct {
	name       string
	shape      *Shape
	customer   *Customer
	homeDomain string
	affinity   string
	messages   []api.ChatMessage
	turns      int
	// reusableTokens is the number of prompt tokens of the next turn that earlier
	// turns left in a prefix cache.
	reusableTokens int
	// due is the end of the pause, as time since the start of the run.
	due time.Duration
}

// nextRequest appends the next user message and returns the request. The request
// shares the history, which must not change while the request is in progress.
func (c *chat) nextRequest() *api.ChatRequest {
	length := c.shape.PromptTokens
	if c.turns > 0 && c.shape.TurnTokens > 0 {
		length = c.shape.TurnTokens
	}
	c.messages = append(c.messages, api.ChatMessage{Role: "user", Content: paddedText(fmt.Sprintf("%s turn %d ", c.name, c.turns), length)})
	c.turns++
	return &api.ChatRequest{Model: c.shape.Model, Messages: c.messages, Stream: !c.shape.Whole, MaxTokens: c.shape.AnswerTokens}
}

// paddedText returns start, padded to the length of the given number of tokens.
func paddedText(start string, tokens int) string {
	length := tokens * bytesPerToken
	if len(start) >= length {
		return start
	}
	return start + strings.Repeat(".", length-len(start))
}

// recordAnswer appends an answer to the history.
func (c *chat) recordAnswer(answer string, usage api.Usage) {
	c.messages = append(c.messages, api.ChatMessage{Role: "assistant", Content: answer})
	c.reusableTokens = usage.PromptTokens + (len(answer)+bytesPerToken-1)/bytesPerToken
}

// pausedChats is a heap of the chats that pause before their next turn, ordered by
// due time.
type pausedChats []*chat

// Len implements heap.Interface.
func (p pausedChats) Len() int { return len(p) }

// Less implements heap.Interface.
func (p pausedChats) Less(i, j int) bool { return p[i].due < p[j].due }

// Swap implements heap.Interface.
func (p pausedChats) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *pausedChats) Push(x any) { *p = append(*p, x.(*chat)) }

// Pop implements heap.Interface.
func (p *pausedChats) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

// chatKey groups the chats that can serve the same arrival.
type chatKey struct{ shape, customer int }

// chatPopulation holds the paused chats and creates new ones. It is not safe for
// concurrent use.
type chatPopulation struct {
	mix     *Mix
	domains []string
	paused  map[chatKey]*pausedChats
	created int
}

func newChatPopulation(mix *Mix, domains []string) *chatPopulation {
	return &chatPopulation{mix: mix, domains: domains, paused: make(map[chatKey]*pausedChats)}
}

// chatFor returns the chat of an arrival: a paused one that is due if the arrival
// is a returning one, otherwise a new one.
func (p *chatPopulation) chatFor(a arrival) *chat {
	paused := p.paused[chatKey{a.shape, a.customer}]
	if a.returning && paused != nil && paused.Len() > 0 && (*paused)[0].due <= a.at {
		return heap.Pop(paused).(*chat)
	}
	p.created++
	return &chat{
		name:       fmt.Sprintf("chat-%d-%d", p.mix.Seed, p.created),
		shape:      &p.mix.Shapes[a.shape],
		customer:   &p.mix.Customers[a.customer],
		homeDomain: p.domains[a.domainDraw%uint64(len(p.domains))],
	}
}

// pause queues a chat for its next turn after an answer. It drops a chat that had
// its last turn and the chat of a plain call.
func (p *chatPopulation) pause(c *chat, a arrival, now time.Duration) {
	if c.turns >= p.mix.Chats.Turns || c.shape.Service != "" {
		return
	}
	key := chatKey{a.shape, a.customer}
	if p.paused[key] == nil {
		p.paused[key] = &pausedChats{}
	}
	c.due = now + a.pause
	heap.Push(p.paused[key], c)
}
