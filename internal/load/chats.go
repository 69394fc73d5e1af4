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

// chat is a conversation with its history.
type chat struct {
	name     string
	shape    *Shape
	customer *Customer
	home     string
	affinity string
	messages []api.ChatMessage
	turns    int
	// reusable is the number of prompt tokens of the next turn that an earlier
	// turn has left in a prefix cache.
	reusable int
	// due is when the chat's pause ends.
	due time.Duration
}

// ask adds the caller's next message and returns the request. The history is
// not changed while the request is in progress.
func (c *chat) ask() *api.ChatRequest {
	length := c.shape.PromptTokens
	if c.turns > 0 && c.shape.TurnTokens > 0 {
		length = c.shape.TurnTokens
	}
	c.messages = append(c.messages, api.ChatMessage{Role: "user", Content: text(fmt.Sprintf("%s turn %d ", c.name, c.turns), length)})
	c.turns++
	return &api.ChatRequest{Model: c.shape.Model, Messages: c.messages, Stream: !c.shape.Whole, MaxTokens: c.shape.AnswerTokens}
}

// text returns a text of so many tokens that begins with start.
func text(start string, tokens int) string {
	length := tokens * bytesPerToken
	if len(start) >= length {
		return start
	}
	return start + strings.Repeat(".", length-len(start))
}

// answered adds an answer to the history.
func (c *chat) answered(answer string, usage api.Usage) {
	c.messages = append(c.messages, api.ChatMessage{Role: "assistant", Content: answer})
	c.reusable = usage.PromptTokens + (len(answer)+bytesPerToken-1)/bytesPerToken
}

// pausedChats holds the chats that wait for their next turn, by due time.
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

// chatKind tells chats apart that an arrival can't swap.
type chatKind struct{ shape, customer int }

// population holds all chats. It is not safe for concurrent use.
type population struct {
	mix     *Mix
	domains []string
	paused  map[chatKind]*pausedChats
	opened  int
}

func newPopulation(mix *Mix, domains []string) *population {
	return &population{mix: mix, domains: domains, paused: make(map[chatKind]*pausedChats)}
}

// take returns the chat of an arrival: one whose pause has ended, or a new one.
func (p *population) take(a arrival) *chat {
	paused := p.paused[chatKind{a.shape, a.customer}]
	if a.returns && paused != nil && paused.Len() > 0 && (*paused)[0].due <= a.at {
		return heap.Pop(paused).(*chat)
	}
	p.opened++
	return &chat{
		name:     fmt.Sprintf("chat-%d-%d", p.mix.Seed, p.opened),
		shape:    &p.mix.Shapes[a.shape],
		customer: &p.mix.Customers[a.customer],
		home:     p.domains[a.domain%uint64(len(p.domains))],
	}
}

// giveBack pauses a chat after an answer; a chat after its last turn ends.
func (p *population) giveBack(c *chat, a arrival, now time.Duration) {
	if c.turns >= p.mix.Chats.Turns || c.shape.Service != "" {
		return
	}
	kind := chatKind{a.shape, a.customer}
	if p.paused[kind] == nil {
		p.paused[kind] = &pausedChats{}
	}
	c.due = now + a.pause
	heap.Push(p.paused[kind], c)
}
