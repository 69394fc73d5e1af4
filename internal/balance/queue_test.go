package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
)

func request(customer string, weight int, class api.Class) balance.Request {
	return balance.Request{Customer: customer, Weight: weight, Class: class}
}

func takeAny(*balance.Waiter) bool { return true }

var _ = Describe("Queue", func() {
	const slots = 100
	var queue *balance.Queue

	BeforeEach(func() { queue = balance.NewQueue(2 * time.Second) })

	push := func(now time.Time, r balance.Request, count int) int {
		admitted := 0
		for range count {
			queue.Arrived(now, &r)
			if _, ok := queue.Push(now, r, slots); ok {
				admitted++
			}
		}
		return admitted
	}
	served := func(from, seconds, perSecond float64) {
		for i := range int(seconds * perSecond) {
			queue.Served(at(from + float64(i)/perSecond))
		}
	}
	takeAll := func(count int) map[string]int {
		taken := map[string]int{}
		for range count {
			if waiter := queue.Next(at(0), takeAny); waiter != nil {
				taken[waiter.Request.Customer]++
			}
		}
		return taken
	}

	It("serves customers by their weights", func() {
		push(at(0), request("heavy", 3, api.ClassShort), 45)
		push(at(0), request("light", 1, api.ClassShort), 45)
		Expect(takeAll(40)).To(Equal(map[string]int{"heavy": 30, "light": 10}))
	})

	It("gives a customer the whole service where no other waits", func() {
		push(at(0), request("light", 1, api.ClassShort), 20)
		Expect(takeAll(20)).To(Equal(map[string]int{"light": 20}))
		Expect(queue.Len()).To(BeZero())
	})

	It("serves short work first until long work has aged", func() {
		push(at(0), request("a", 1, api.ClassLong), 2)
		push(at(0), request("a", 1, api.ClassShort), 2)
		Expect(queue.Next(at(0), takeAny).Request.Class).To(Equal(api.ClassShort))
		Expect(queue.Next(at(1.1), takeAny).Request.Class).To(Equal(api.ClassLong))
		Expect(queue.Next(at(0), takeAny).Request.Class).To(Equal(api.ClassShort))
		Expect(queue.Next(at(0), takeAny).Request.Class).To(Equal(api.ClassLong))
	})

	It("refuses at once what would wait too long", func() {
		served(0, 2, 10)
		// At 10 a second and three quarters of 2 s, 15 requests may wait.
		Expect(push(at(2), request("a", 1, api.ClassShort), 30)).To(Equal(15))
	})

	It("refuses by the request's own deadline", func() {
		served(0, 2, 10)
		r := request("a", 1, api.ClassShort)
		r.FirstByteWithin = 400 * time.Millisecond
		Expect(push(at(2), r, 30)).To(Equal(3))
	})

	It("does not let a surging customer push another one out", func() {
		served(0, 2, 20)
		surge := push(at(2), request("surging", 1, api.ClassShort), 500)
		Expect(surge).To(Equal(30))
		Expect(push(at(2), request("calm", 1, api.ClassShort), 5)).To(Equal(5))
		Expect(takeAll(10)).To(Equal(map[string]int{"surging": 5, "calm": 5}))
	})

	It("lets a surging customer wait less than one under its share", func() {
		served(0, 2, 20)
		push(at(2), request("calm", 1, api.ClassShort), 1)
		// Half of 20 a second is each customer's share; 300 in 10 s are 30 a second.
		push(at(2), request("surging", 1, api.ClassShort), 300)
		takeAll(200)
		push(at(2), request("other", 1, api.ClassShort), 1)
		// With an equal share of 10 a second and 0.7 s, n + 2 sqrt(n) may be 7.
		Expect(push(at(2), request("surging", 1, api.ClassShort), 30)).To(Equal(3))
		Expect(push(at(2), request("calm", 1, api.ClassShort), 3)).To(Equal(3))
	})

	It("bounds the waiters while the rate of service is unknown", func() {
		Expect(push(at(0), request("a", 1, api.ClassShort), 500)).To(Equal(slots))
	})

	It("skips a waiter that cannot be served and forgets one that gave up", func() {
		stuck, _ := queue.Push(at(0), request("stuck", 1, api.ClassShort), slots)
		other, _ := queue.Push(at(0), request("other", 1, api.ClassShort), slots)
		Expect(queue.Next(at(0), func(w *balance.Waiter) bool { return w != stuck })).To(BeIdenticalTo(other))
		queue.Remove(stuck)
		queue.Remove(stuck)
		Expect(queue.Len()).To(BeZero())
		Expect(queue.Next(at(0), takeAny)).To(BeNil())
	})
})
