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

// Timing of load reports and of the exchange between routers.
const (
	loadReportInterval = time.Second
	// maxLoadReportDelay bounds the delay until a load report reaches a router.
	maxLoadReportDelay = 500 * time.Millisecond
	// maxPeerExchangeDelay bounds the delay of a message between two routers of the
	// failure domain.
	maxPeerExchangeDelay = 5 * time.Millisecond
)

// chatState is a chat with its current turn and the hint from its last answer.
type chatState struct {
	id       string
	turn     int
	hint     balance.ServerID
	inFlight bool
}

// request is a request in progress.
type request struct {
	// routing has the attributes of the request that the policy uses.
	routing      balance.Request
	chat         *chatState
	promptTokens int
	answerTokens int
	arrivedAt    time.Duration
	surging      bool
	// waiter is the entry in the queue of the router; nil if the request was never
	// queued.
	waiter *balance.Waiter
	// reviewsScheduled counts the scheduled reviews. Only the latest one is valid.
	reviewsScheduled int
}

// domain is a failure domain with its routers, servers and clients. Arrivals and
// disturbances draw from separate random sources, so that every policy sees the
// same arrivals.
type domain struct {
	eventQueue
	description   *Description
	arrivals      *rand.Rand
	disturbances  *rand.Rand
	routers       []*router
	routersByName map[string]*router
	routerNames   []string
	// reservationMessages counts the reservation messages between routers, and
	// reservationRefusals the reservation requests that were refused.
	reservationMessages int
	reservationRefusals int
	servers             []*server
	serversByID         map[balance.ServerID]*server
	chats               []*chatState
	nextServerIndex     int
	lastChatNumber      int
	tally               *tally
}

// newDomain returns a domain. newBalancer creates the policy of each router.
func newDomain(d *Description, newBalancer func(*domain, *rand.Rand) (balance.Balancer, error)) (*domain, error) {
	out := &domain{
		description:   d,
		arrivals:      rand.New(rand.NewPCG(d.Seed, 1)),
		disturbances:  rand.New(rand.NewPCG(d.Seed, 2)),
		serversByID:   make(map[balance.ServerID]*server),
		routersByName: make(map[string]*router),
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
		out.addServer(0, -time.Hour)
	}
	for range d.Chats {
		out.chats = append(out.chats, &chatState{id: out.newChatID()})
	}
	return out, nil
}

// routersAgree reports whether every router has exactly the current servers in its
// table.
func (d *domain) routersAgree() bool {
	for _, r := range d.routers {
		if len(r.servers) != len(d.servers) {
			return false
		}
		for _, k := range r.servers {
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
	d.routersByName[r.name] = r
	d.routerNames = append(d.routerNames, r.name)
}

func (d *domain) newChatID() string {
	d.lastChatNumber++
	return fmt.Sprintf("chat-%d", d.lastChatNumber)
}

// run runs the simulation to its end.
func (d *domain) run() {
	for i, r := range d.routers {
		d.scheduleEvery(viewInterval*time.Duration(i)/time.Duration(len(d.routers)), viewInterval, func() {
			r.rebuildView()
			r.serveQueue()
		})
	}
	for _, r := range d.routers {
		d.scheduleEvery(d.randomDelay(d.exchangeInterval()), d.exchangeInterval(), func() { d.sendInFlightToPeers(r) })
	}
	d.scheduleArrival()
	d.scheduleReplacement()
	d.scheduleAfter(d.description.WarmUpMS.Duration(), func() { d.tally.measuring = true })
	d.runUntil(d.description.WarmUpMS.Duration() + d.description.MeasureMS.Duration())
}

func (d *domain) exchangeInterval() time.Duration {
	return membership.ExchangeInterval(settings.DefaultHeartbeat, len(d.routers)-1)
}

// sendInFlightToPeers sends the in-flight counts of a router to the other routers.
func (d *domain) sendInFlightToPeers(r *router) {
	for _, other := range d.routers {
		if other != r {
			d.scheduleAfter(d.randomDelay(maxPeerExchangeDelay), func() { r.sendInFlight(other) })
		}
	}
}

// addServer adds a server. Each router adds it to its table within the given delay.
// since is the virtual time at which the server started.
func (d *domain) addServer(maxDelay time.Duration, since time.Duration) {
	index := d.nextServerIndex
	d.nextServerIndex++
	s := &server{
		id: balance.ServerID(fmt.Sprintf("10.0.%d.%d:80", index/250, index%250)), index: index,
		events: &d.eventQueue, slots: d.description.Slots, speed: 1, since: since,
		cache: newPrefixCache(d.cacheTokens()), onLoadChange: d.tally.recordLoads,
	}
	if float64(index%d.description.Servers) < d.description.StragglerShare*float64(d.description.Servers) {
		s.speed = d.description.StragglerSpeed
	}
	d.servers = append(d.servers, s)
	d.serversByID[s.id] = s
	for _, r := range d.routers {
		d.runWithin(maxDelay, func() { r.addServer(s) })
	}
	d.scheduleEvery(d.randomDelay(loadReportInterval), loadReportInterval, func() { d.sendLoadReport(s) })
}

// cacheTokens returns the capacity of the prefix cache of a server.
func (d *domain) cacheTokens() int {
	perServer := d.description.CacheChats * float64(d.description.Chats) / float64(d.description.Servers)
	return int(perServer * (maxTurns + 1) * turnTokens)
}

// sendLoadReport sends the load of a server to all routers.
func (d *domain) sendLoadReport(s *server) {
	if s.left {
		return
	}
	load := s.load()
	for _, r := range d.routers {
		d.scheduleAfter(d.randomDelay(maxLoadReportDelay), func() { r.recordLoadReport(s, load) })
	}
}

// randomDelay returns a uniformly distributed delay below limit.
func (d *domain) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(d.disturbances.Float64() * float64(limit))
}

// runWithin calls run after a random delay below limit, or immediately if limit is
// zero.
func (d *domain) runWithin(limit time.Duration, run func()) {
	if limit == 0 {
		run()
		return
	}
	d.scheduleAfter(d.randomDelay(limit), run)
}

func (d *domain) scheduleReplacement() {
	perMinute := d.description.ReplacedPerMinute * float64(d.description.Servers)
	if perMinute == 0 {
		return
	}
	interval := time.Duration(float64(time.Minute) / perMinute)
	d.scheduleEvery(interval/2, interval, func() {
		d.replaceServer(d.servers[d.disturbances.IntN(len(d.servers))])
	})
}

// replaceServer removes a server, which finishes the requests it has, and adds a
// new one.
func (d *domain) replaceServer(s *server) {
	s.left = true
	s.since = d.now
	maxDelay := d.description.DisagreeMS.Duration()
	for i, other := range d.servers {
		if other == s {
			d.servers = append(d.servers[:i:i], d.servers[i+1:]...)
			break
		}
	}
	for _, r := range d.routers {
		d.runWithin(maxDelay, func() { r.removeServer(s) })
	}
	d.addServer(maxDelay, d.now)
}

// maxSkippedChats bounds the busy chats skipped for one request.
const maxSkippedChats = 50

// uncachedShare is the share of prompt tokens that the capacity assumes to be
// uncached.
const uncachedShare = 0.25

// requestCapacity returns the number of requests per second that fully loaded
// servers finish.
func (d *domain) requestCapacity() float64 {
	prefill := uncachedShare * maxTurns / 2 * turnTokens * prefillTime.Seconds()
	meanSeconds := (prefill + float64(d.description.AnswerTokens)*decodeTime.Seconds()) * (1 + batchSlowdown)
	meanSeconds *= 1 + d.description.LongShare*(d.description.LongFactor-1)
	return float64(d.description.Servers*d.description.Slots) / meanSeconds
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
	d.scheduleAfter(time.Duration(d.arrivals.ExpFloat64()/(load*d.requestCapacity())*float64(time.Second)), func() {
		d.generateRequest()
		d.scheduleArrival()
	})
}

// generateRequest sends the next request to a router.
func (d *domain) generateRequest() {
	chat := d.drawChat()
	req := &request{chat: chat, arrivedAt: d.now}
	req.routing = balance.Request{
		Chat: chat.id, Hint: chat.hint, HintIncarnation: 1, Weight: 1,
		Class: api.ClassShort, FirstByteWithin: d.description.DeadlineMS.Duration(),
	}
	req.routing.Customer, req.surging = d.drawCustomer()
	req.answerTokens = int(float64(d.description.AnswerTokens) * (0.5 + d.arrivals.Float64()))
	req.promptTokens = (chat.turn + 1) * turnTokens
	if d.arrivals.Float64() < d.description.LongShare {
		req.routing.Class = api.ClassLong
		req.answerTokens = int(float64(req.answerTokens) * d.description.LongFactor)
	}
	router := d.drawRouter()
	chat.inFlight = true
	d.tally.recordArrival(req)
	router.admit(req)
}

// drawChat returns a random chat without a request in flight. Hot chats may have
// several requests in flight. If maxSkippedChats chats are busy, it returns the
// first of them.
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

// drawCustomer returns a random customer and whether it belongs to the surging
// ones.
func (d *domain) drawCustomer() (string, bool) {
	surging := d.description.SurgeCustomers
	baseShare := d.description.Load / d.description.Crest.Load
	if surging > 0 && d.inCrest() && d.arrivals.Float64() >= baseShare {
		return fmt.Sprintf("customer-%d", d.arrivals.IntN(surging)), true
	}
	customer := d.arrivals.IntN(d.description.Customers)
	return fmt.Sprintf("customer-%d", customer), customer < surging
}

func (d *domain) drawRouter() *router {
	if d.description.FirstRouterShare > 0 && d.arrivals.Float64() < d.description.FirstRouterShare {
		return d.routers[0]
	}
	return d.routers[d.arrivals.IntN(len(d.routers))]
}

// refuseRequest ends a request that has not run.
func (d *domain) refuseRequest(req *request) {
	req.chat.inFlight = false
	d.tally.recordRefusal(req)
}

// recordFirstByte records the first byte of an answer.
func (d *domain) recordFirstByte(req *request, j *job, _ *server) { d.tally.recordFirstByte(req, j) }

// finishRequest ends an answered request and advances its chat to the next turn.
func (d *domain) finishRequest(req *request, target *server) {
	d.tally.recordCompletion(req)
	chat := req.chat
	chat.inFlight = false
	chat.hint = target.id
	chat.turn++
	if chat.turn == maxTurns {
		chat.turn = 0
		chat.id = d.newChatID()
		chat.hint = ""
	}
}
