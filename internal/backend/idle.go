package backend

import "time"

// maxIdleTimeouts bounds the servers whose idle timeouts are kept: addresses change with each
// replacement of a server, and the largest pools have 3,000.
const maxIdleTimeouts = 8192

// recordIdleTimeout records the idle timeout that an answer of the server at an address states.
func (c *Client) recordIdleTimeout(address string, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statedIdle[address] == timeout {
		return
	}
	if len(c.statedIdle) >= maxIdleTimeouts {
		clear(c.statedIdle)
		c.shortestIdle = 0
	}
	c.statedIdle[address] = timeout
	if timeout > 0 && (c.shortestIdle == 0 || timeout < c.shortestIdle) {
		c.shortestIdle = timeout
	}
}

// unusedIdleTimeout returns the idle timeout of a connection that has not carried an answer: the one
// that the server has stated, or the shortest one of all servers.
func (c *Client) unusedIdleTimeout(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout, stated := c.statedIdle[address]; stated {
		return min(timeout, defaultIdleTimeout)
	}
	if c.shortestIdle > 0 {
		return min(c.shortestIdle, defaultIdleTimeout)
	}
	return defaultIdleTimeout
}
