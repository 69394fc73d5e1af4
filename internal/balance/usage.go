package balance

import (
	"math"
	"time"
)

const (
	// usageTime is the time constant of a customer's average rate of requests.
	usageTime = 2 * time.Second
	// surgeFactor is the multiple of its share from which on a customer surges,
	// with surgeBurst requests more than that.
	surgeFactor = 2.0
	surgeBurst  = 2.0
	// usageKeep is the time after its last request at which a customer is forgotten.
	usageKeep = 20 * time.Second
)

// customerUsage tracks how much each customer asks for at present.
type customerUsage struct {
	byID    map[string]*usage
	weights float64
	checked time.Time
}

// usage is an exponentially decaying count of a customer's requests.
type usage struct {
	weight float64
	count  float64
	seen   time.Time
}

func newCustomerUsage() customerUsage { return customerUsage{byID: make(map[string]*usage)} }

// add records a request.
func (c *customerUsage) add(now time.Time, request *Request) {
	c.forget(now)
	u := c.byID[request.Customer]
	if u == nil {
		u = &usage{seen: now}
		c.byID[request.Customer] = u
	}
	weight := float64(max(request.Weight, 1))
	c.weights += weight - u.weight
	u.weight = weight
	u.count = u.count*math.Exp(-now.Sub(u.seen).Seconds()/usageTime.Seconds()) + 1
	u.seen = now
}

// surges reports whether a request's customer asks for much more than its share
// of a rate of service by the weights of all that ask.
func (c *customerUsage) surges(request *Request, rate float64) bool {
	u := c.byID[request.Customer]
	if u == nil {
		return false
	}
	return u.count > surgeFactor*rate*usageTime.Seconds()*u.weight/c.weights+surgeBurst
}

func (c *customerUsage) forget(now time.Time) {
	if now.Sub(c.checked) < usageTime {
		return
	}
	c.checked = now
	c.weights = 0
	for id, u := range c.byID {
		if now.Sub(u.seen) > usageKeep {
			delete(c.byID, id)
			continue
		}
		c.weights += u.weight
	}
}
