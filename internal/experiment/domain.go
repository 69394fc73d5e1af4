package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Times of the load reports.
const (
	reportEvery = time.Second
	// reportLag is the longest time until a report reaches every router.
	reportLag = 500 * time.Millisecond
	// tellLag is the longest time between two routers of the failure domain.
	tellLag = 5 * time.Millisecond
)

// chatState is a chat with its turns and the hint of its last answer.
type chatState struct {
	id       string
	turn     int
	hint     balance.ServerID
	inFlight bool
}

// request is a caller's request on its way.
type request struct {
	ask     balance.Request
	chat    *chatState
	prompt  int
	answer  int
	arrived time.Duration
	surging bool
	// waiter is its place in the queue, once it has had one.
	waiter *balance.Waiter
	// reviews counts the reviews planned for it; only the newest counts.
	reviews int
}

// domain is a failure domain with its routers, servers and callers. Its draws
// come from separate sources, so that each policy meets the same arrivals.
type domain struct {
	events
	description *Description
	arrivals    *rand.Rand
	faults      *rand.Rand
	routers     []*router
	byName      map[string]*router
	names       []string
	// messages counts those between routers about places, and refusedAsks the
	// questions that got none.
	messages    int
	refusedAsks int
	servers     []*server
	byID        map[balance.ServerID]*server
	chats       []*chatState
	nextServer  int
	nextChat    int
	tally       *tally
}

// newDomain returns a domain whose routers use the policies that newBalancer makes.
func newDomain(d *Description, newBalancer func(*domain, *rand.Rand) (balance.Balancer, error)) (*domain, error) {
	out := &domain{
		description: d,
		arrivals:    rand.New(rand.NewPCG(d.Seed, 1)),
		faults:      rand.New(rand.NewPCG(d.Seed, 2)),
		byID:        make(map[balance.ServerID]*server),
		byName:      make(map[string]*router),
	}
	out.tally = newTally(out)
	for rank := range d.Routers {
		balancer, err := newBalancer(out, rand.New(rand.NewPCG(d.Seed, uint64(100+rank))))
		if err != nil {
			return nil, err
		}
		out.addRouter(&router{
			domain: out, name: routerName(rank), rank: balance.RouterRank{Rank: rank, Count: d.Routers},
			admission: balance.NewAdmission(balancer, d.QueueMS.Duration()),
			inFlight:  make(map[balance.ServerID]int),
			waiters:   make(map[*balance.Waiter]*request),
		}, balancer)
	}
	for range d.Servers {
		out.join(0, -time.Hour)
	}
	for range d.Chats {
		out.chats = append(out.chats, &chatState{id: out.newChat()})
	}
	return out, nil
}

// agree reports whether all routers know exactly the present servers.
func (d *domain) agree() bool {
	for _, r := range d.routers {
		if len(r.known) != len(d.servers) {
			return false
		}
		for _, k := range r.known {
			if k.server.left {
				return false
			}
		}
	}
	return true
}

func (d *domain) addRouter(r *router, balancer balance.Balancer) {
	if bounded, ok := balancer.(*balance.Bounded); ok {
		r.reservations = newReservations(r, bounded)
	}
	d.routers = append(d.routers, r)
	d.byName[r.name] = r
	d.names = append(d.names, r.name)
}

func (d *domain) newChat() string {
	d.nextChat++
	return fmt.Sprintf("chat-%d", d.nextChat)
}

// run runs the experiment to its end.
func (d *domain) run() {
	for i, r := range d.routers {
		d.every(viewEvery*time.Duration(i)/time.Duration(len(d.routers)), viewEvery, func() {
			r.rebuild()
			r.serve()
		})
	}
	for _, r := range d.routers {
		d.every(d.delay(d.tellEvery()), d.tellEvery(), func() { d.tellAll(r) })
	}
	d.scheduleArrival()
	d.scheduleReplacement()
	d.after(d.description.WarmUpMS.Duration(), func() { d.tally.measuring = true })
	d.runUntil(d.description.WarmUpMS.Duration() + d.description.MeasureMS.Duration())
}

func (d *domain) tellEvery() time.Duration {
	return membership.ExchangeEvery(settings.DefaultHeartbeat, len(d.routers)-1)
}

// tellAll tells the other routers of a router's work in flight.
func (d *domain) tellAll(r *router) {
	for _, other := range d.routers {
		if other != r {
			d.after(d.delay(tellLag), func() { r.tell(other) })
		}
	}
}

// join adds a server that the routers learn of within disagree.
func (d *domain) join(disagree time.Duration, since time.Duration) {
	index := d.nextServer
	d.nextServer++
	s := &server{
		id: balance.ServerID(fmt.Sprintf("10.0.%d.%d:80", index/250, index%250)), index: index,
		events: &d.events, slots: d.description.Slots, speed: 1, since: since,
		cache: newPrefixCache(d.cacheTokens()), changed: d.tally.loadChanged,
	}
	if float64(index%d.description.Servers) < d.description.StragglerShare*float64(d.description.Servers) {
		s.speed = d.description.StragglerSpeed
	}
	d.servers = append(d.servers, s)
	d.byID[s.id] = s
	for _, r := range d.routers {
		d.within(disagree, func() { r.learn(s) })
	}
	d.every(d.delay(reportEvery), reportEvery, func() { d.report(s) })
}

func (d *domain) cacheTokens() int {
	perServer := d.description.CacheChats * float64(d.description.Chats) / float64(d.description.Servers)
	return int(perServer * (maxTurns + 1) * turnTokens)
}

func (d *domain) report(s *server) {
	if s.left {
		return
	}
	load := s.load()
	for _, r := range d.routers {
		d.after(d.delay(reportLag), func() { r.report(s, load) })
	}
}

// delay draws a time below limit.
func (d *domain) delay(limit time.Duration) time.Duration {
	return time.Duration(d.faults.Float64() * float64(limit))
}

// within runs something at a time below limit, or at once where that is zero.
func (d *domain) within(limit time.Duration, run func()) {
	if limit == 0 {
		run()
		return
	}
	d.after(d.delay(limit), run)
}

func (d *domain) scheduleReplacement() {
	perMinute := d.description.ReplacedPerMinute * float64(d.description.Servers)
	if perMinute == 0 {
		return
	}
	interval := time.Duration(float64(time.Minute) / perMinute)
	d.every(interval/2, interval, func() {
		d.replace(d.servers[d.faults.IntN(len(d.servers))])
	})
}

// replace lets a server leave, which finishes what it has, and another join.
func (d *domain) replace(s *server) {
	s.left = true
	s.since = d.now
	disagree := d.description.DisagreeMS.Duration()
	for i, other := range d.servers {
		if other == s {
			d.servers = append(d.servers[:i:i], d.servers[i+1:]...)
			break
		}
	}
	for _, r := range d.routers {
		d.within(disagree, func() { r.forget(s) })
	}
	d.join(disagree, d.now)
}

// maxSkippedChats bounds the chats that are skipped for one request.
const maxSkippedChats = 50

// uncachedShare is the part of the prompts that counts as not cached in the capacity.
const uncachedShare = 0.25

// capacity is the number of requests that full servers finish a second.
func (d *domain) capacity() float64 {
	prefill := uncachedShare * maxTurns / 2 * turnTokens * prefillTime.Seconds()
	mean := (prefill + float64(d.description.AnswerTokens)*decodeTime.Seconds()) * (1 + batchSlowdown)
	mean *= 1 + d.description.LongShare*(d.description.LongFactor-1)
	return float64(d.description.Servers*d.description.Slots) / mean
}

func (d *domain) inCrest() bool {
	crest := d.description.Crest
	return d.now >= crest.StartMS.Duration() && d.now < (crest.StartMS+crest.LengthMS).Duration()
}

func (d *domain) scheduleArrival() {
	load := d.description.Load
	if d.inCrest() {
		load = d.description.Crest.Load
	}
	d.after(time.Duration(d.arrivals.ExpFloat64()/(load*d.capacity())*float64(time.Second)), func() {
		d.arrive()
		d.scheduleArrival()
	})
}

// arrive brings the next request to a router.
func (d *domain) arrive() {
	chat := d.drawChat()
	req := &request{chat: chat, arrived: d.now}
	req.ask = balance.Request{
		Chat: chat.id, Hint: chat.hint, HintIncarnation: 1, Weight: 1,
		Class: api.ClassShort, FirstByteWithin: d.description.DeadlineMS.Duration(),
	}
	req.ask.Customer, req.surging = d.drawCustomer()
	req.answer = int(float64(d.description.AnswerTokens) * (0.5 + d.arrivals.Float64()))
	req.prompt = (chat.turn + 1) * turnTokens
	if d.arrivals.Float64() < d.description.LongShare {
		req.ask.Class = api.ClassLong
		req.answer = int(float64(req.answer) * d.description.LongFactor)
	}
	router := d.drawRouter()
	chat.inFlight = true
	d.tally.arrived(req)
	router.ask(req)
}

// drawChat draws a chat, and skips those with a request on its way. A hot chat
// may have many.
func (d *domain) drawChat() *chatState {
	if d.arrivals.Float64() < d.description.HotShare {
		return d.chats[d.arrivals.IntN(d.description.HotChats)]
	}
	drawn := d.arrivals.IntN(len(d.chats))
	for i := range maxSkippedChats {
		if chat := d.chats[(drawn+i)%len(d.chats)]; !chat.inFlight {
			return chat
		}
	}
	return d.chats[drawn]
}

// drawCustomer draws a customer and tells whether it belongs to a surge.
func (d *domain) drawCustomer() (string, bool) {
	surge := d.description.SurgeCustomers
	base := d.description.Load / d.description.Crest.Load
	if surge > 0 && d.inCrest() && d.arrivals.Float64() >= base {
		return fmt.Sprintf("customer-%d", d.arrivals.IntN(surge)), true
	}
	customer := d.arrivals.IntN(d.description.Customers)
	return fmt.Sprintf("customer-%d", customer), customer < surge
}

func (d *domain) drawRouter() *router {
	if d.description.FirstRouterShare > 0 && d.arrivals.Float64() < d.description.FirstRouterShare {
		return d.routers[0]
	}
	return d.routers[d.arrivals.IntN(len(d.routers))]
}

// refused ends a request that has not run.
func (d *domain) refused(req *request) {
	req.chat.inFlight = false
	d.tally.refused(req)
}

// answered records the first byte of an answer.
func (d *domain) answered(req *request, j *job, _ *server) { d.tally.answered(req, j) }

// finished ends a request, whose chat goes on with the next turn.
func (d *domain) finished(req *request, target *server) {
	d.tally.finished(req)
	chat := req.chat
	chat.inFlight = false
	chat.hint = target.id
	chat.turn++
	if chat.turn == maxTurns {
		chat.turn = 0
		chat.id = d.newChat()
		chat.hint = ""
	}
}
