package experiment

import "container/list"

// prefixCache is a bounded cache of chats' prefixes that evicts the least
// recently used one.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List
	byChat   map[string]*list.Element
}

// prefix is the part of a chat, in tokens, that a cache holds.
type prefix struct {
	chat   string
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byChat: make(map[string]*list.Element)}
}

// tokens returns the length of the chat's prefix in the cache.
func (c *prefixCache) tokens(chat string) int {
	if element := c.byChat[chat]; element != nil {
		return element.Value.(*prefix).tokens
	}
	return 0
}

// put stores a chat's prefix as the most recently used one.
func (c *prefixCache) put(chat string, tokens int) {
	element := c.byChat[chat]
	if element == nil {
		element = c.order.PushFront(&prefix{chat: chat})
		c.byChat[chat] = element
	}
	c.order.MoveToFront(element)
	entry := element.Value.(*prefix)
	c.used += max(tokens, entry.tokens) - entry.tokens
	entry.tokens = max(tokens, entry.tokens)
	for c.used > c.capacity {
		c.evict(c.order.Back())
	}
}

func (c *prefixCache) evict(element *list.Element) {
	entry := c.order.Remove(element).(*prefix)
	c.used -= entry.tokens
	delete(c.byChat, entry.chat)
}
