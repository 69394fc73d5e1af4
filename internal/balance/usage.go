package balance

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time constant of a customer's average request rate.
	usageTimeConstant = 2 * time.Second
	// A customer surges above surgeFactor times its weighted share of the service
	// rate plus surgeAllowance requests.
	surgeFactor    = 2.0
	surgeAllowance = 2.0
	// usageTTL is the time after its last request at which a customer's usage is
	// evicted.
	usageTTL = 20 * time.Second
)

// customerUsage tracks the recent request rate of each customer.
type customerUsage struct {
	byCustomer   map[string]*usage
	totalWeight  float64
	lastEviction time.Time
}

// usage is an exponentially decaying count of a customer's requests.
type usage struct {
	weight    float64
	count     float64
	updatedAt time.Time
}

func newCustomerUsage() customerUsage { return customerUsage{byCustomer: make(map[string]*usage)} }

// record records a request of its customer.
func (c *customerUsage) record(now time.Time, request *Request) {
	c.evictIdle(now)
	u := c.byCustomer[request.Customer]
	if u == nil {
		u = &usage{updatedAt: now}
		c.byCustomer[request.Customer] = u
	}
	weight := float64(max(request.Weight, 1))
	c.totalWeight += weight - u.weight
	u.weight = weight
	u.count = u.count*math.Exp(-now.Sub(u.updatedAt).Seconds()/usageTimeConstant.Seconds()) + 1
	u.updatedAt = now
}

// isSurging reports whether the request's customer sends far more than its share, by
// weight among the recently active customers, of a service rate in requests per
// second.
func (c *customerUsage) isSurging(request *Request, rate float64) bool {
	u := c.byCustomer[request.Customer]
	if u == nil {
		return false
	}
	return u.count > surgeFactor*rate*usageTimeConstant.Seconds()*u.weight/c.totalWeight+surgeAllowance
}

func (c *customerUsage) evictIdle(now time.Time) {
	if now.Sub(c.lastEviction) < usageTimeConstant {
		return
	}
	c.lastEviction = now
	c.totalWeight = 0
	for id, u := range c.byCustomer {
		if now.Sub(u.updatedAt) > usageTTL {
			delete(c.byCustomer, id)
			continue
		}
		c.totalWeight += u.weight
	}
}
