package experiment

import "container/list"

// prefixCache is a bounded LRU cache of chat prefixes, as a backend server has it.
// Its capacity is in tokens.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List
	byChat   map[string]*list.Element
}

// prefix is the cached prefix of a chat.
type prefix struct {
	chat   string
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byChat: make(map[string]*list.Element)}
}

// tokens returns the length of the cached prefix of a chat.
func (c *prefixCache) tokens(chat string) int {
	if element := c.byChat[chat]; element != nil {
		return element.Value.(*prefix).tokens
	}
	return 0
}

// put makes the prefix of a chat the most recently used one and evicts others as
// needed. A cached prefix never gets shorter.
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
