package fakebackend

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
)

// bytesPerToken is the number of bytes of text that count as one token.
const bytesPerToken = 4

// segment is one message of a prompt, as its digest and its length in tokens.
type segment struct {
	digest uint64
	tokens int
}

func segmentOf(message api.ChatMessage) segment {
	return segment{
		digest: xxhash.Sum64String(message.Role + "\x00" + message.Content),
		tokens: (len(message.Content) + bytesPerToken - 1) / bytesPerToken,
	}
}

func segmentsOf(messages []api.ChatMessage) []segment {
	out := make([]segment, len(messages))
	for i, message := range messages {
		out[i] = segmentOf(message)
	}
	return out
}

func tokensOf(segments []segment) int {
	total := 0
	for _, s := range segments {
		total += s.tokens
	}
	return total
}

// prefixCache is an LRU cache of one prompt prefix per chat, bounded by tokens. It does no
// I/O and is not safe for concurrent use. Between calls tokens is the sum over all
// entries and at most limit.
type prefixCache struct {
	limit   int
	tokens  int
	order   *list.List
	entries map[string]*list.Element
}

type cacheEntry struct {
	chat   string
	prefix []segment
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: make(map[string]*list.Element)}
}

// lookup returns the number of tokens in the common prefix of the prompt and the chat's
// entry. It does not count as use of the entry.
func (c *prefixCache) lookup(chat string, prompt []segment) int {
	element, ok := c.entries[chat]
	if !ok {
		return 0
	}
	prefix := element.Value.(*cacheEntry).prefix
	common := 0
	for common < len(prefix) && common < len(prompt) && prefix[common] == prompt[common] {
		common++
	}
	return tokensOf(prompt[:common])
}

// store replaces the chat's prefix and returns the evicted chats; the chat itself is one of
// them if its prefix exceeds the limit.
func (c *prefixCache) store(chat string, prefix []segment) (evicted []string) {
	entry := &cacheEntry{chat: chat, prefix: prefix, tokens: tokensOf(prefix)}
	if element, ok := c.entries[chat]; ok {
		c.remove(element)
	}
	c.entries[chat] = c.order.PushFront(entry)
	c.tokens += entry.tokens
	for c.tokens > c.limit {
		last := c.order.Back()
		evicted = append(evicted, last.Value.(*cacheEntry).chat)
		c.remove(last)
	}
	return evicted
}

func (c *prefixCache) remove(element *list.Element) {
	entry := c.order.Remove(element).(*cacheEntry)
	delete(c.entries, entry.chat)
	c.tokens -= entry.tokens
}
