package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
	"peridotwinch.example/peridotwinch/internal/rpc/reservepb"
)

// framing is the size of a unary call of drpc beyond its payload: the name of
// the method, the frames' headers, and the answer.
const framing = 37 + 4*9 + 2*9

// Messages between routers about places, for each request.
const (
	// frame is the size of a message's frame on a stream.
	frame = 5
	// askedShare is the questions for each request; some are refused.
	askedShare = 1.1
)

// reserveBytes works the bytes a second out that a router sends and receives
// about places: of its own requests a part goes to servers of other owners, and
// of theirs the same number comes to its own. Each takes a question, an answer
// and the place given back.
func reserveBytes(routers int, requests float64) float64 {
	place := func(want uint32) int {
		out := &reservepb.Place{Number: 100, Have: 40, Want: want}
		return proto.Size(&reservepb.HoldRequest{Places: []*reservepb.Place{out}}) + frame
	}
	answer := proto.Size(&reservepb.HoldResponse{Answers: []*reservepb.Answer{{Number: 100, Granted: 1, Others: 40}}}) + frame
	asked := 2 * requests * float64(routers-1) / float64(routers)
	return asked * (askedShare*float64(place(1)+answer) + float64(place(0)))
}

// controlBytes works the bytes a second out that a router sends and receives.
func controlBytes(routers, servers, domains int, requests float64) float64 {
	peers := routers - 1
	every := membership.ExchangeEvery(500*time.Millisecond, peers)
	// Each server announces itself to one router every second.
	live := int(float64(servers)/float64(routers)*min(every.Seconds(), 1)) + 1
	request := &memberpb.ExchangeRequest{Instance: "router-a1", InFlightOf: 1 << 60, Serving: &memberpb.Liveness{}}
	for range live {
		request.Serving.Ids = append(request.Serving.Ids, 1<<60)
		request.Serving.Sequences = append(request.Serving.Sequences, 1<<20)
		request.Serving.Loads = append(request.Serving.Loads, 40)
	}
	for range servers {
		request.InFlight = append(request.InFlight, 5)
	}
	exchange := 2 * float64(peers) * float64(proto.Size(request)+framing) / every.Seconds()
	return exchange + reserveBytes(routers, requests) + summaryBytes(routers, domains)
}

// confirmSeconds is the time between two confirmations of a summary.
const confirmSeconds = 2

// summaryBytes works the bytes a second out that a router spends on summaries of
// domains whose load stands still: its part of the failure domains that it
// reports to and hears from, and what the routers pass on to each other.
func summaryBytes(routers, domains int) float64 {
	others := float64(domains - 1)
	unchanged := &memberpb.Summaries{Unchanged: []uint64{1 << 60}}
	confirmation := proto.Size(&memberpb.SummarizeRequest{Summaries: unchanged}) + framing
	direct := 2 * others / float64(routers) * float64(confirmation)
	passedOn := 2 * others * float64(routers-1) / float64(routers) * float64(proto.Size(unchanged))
	return (direct + passedOn) / confirmSeconds
}

func TestControlBytes(t *testing.T) {
	g := NewWithT(t)
	const kilobyte = 1000
	for routers := 2; routers <= 3; routers++ {
		g.Expect(controlBytes(routers, 7, 3, 35/float64(routers))).To(BeNumerically("<", 4*kilobyte), "Kilindi, %d routers a domain", routers)
		g.Expect(controlBytes(routers, 3, 4, 15/float64(routers))).To(BeNumerically("<", 4*kilobyte), "Motagua, %d routers a domain", routers)
	}
	g.Expect(controlBytes(15, 167, 24, 44)).To(BeNumerically("<", 18*kilobyte), "aim")
	g.Expect(summaryBytes(15, 24)).To(BeNumerically("<", kilobyte), "23 other failure domains of the aim")
	t.Logf("bytes a second, both directions: Kilindi %.0f to %.0f, Motagua %.0f to %.0f, aim %.0f, of it summaries %.0f",
		controlBytes(2, 7, 3, 17.5), controlBytes(3, 7, 3, 11.7), controlBytes(2, 3, 4, 7.5), controlBytes(3, 3, 4, 5), controlBytes(15, 167, 24, 44), summaryBytes(15, 24))
}
