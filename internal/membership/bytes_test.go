package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
)

// framing is the size of a unary call of drpc beyond its payload: the name of
// the method, the frames' headers, and the answer.
const framing = 37 + 4*9 + 2*9

// controlBytes works the bytes a second out that a router sends and receives.
func controlBytes(routers, servers, domains int) float64 {
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
	return exchange + summaryBytes(routers, domains)
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
		g.Expect(controlBytes(routers, 7, 3)).To(BeNumerically("<", 4*kilobyte), "Kilindi, %d routers a domain", routers)
		g.Expect(controlBytes(routers, 3, 4)).To(BeNumerically("<", 4*kilobyte), "Motagua, %d routers a domain", routers)
	}
	g.Expect(controlBytes(15, 167, 24)).To(BeNumerically("<", 18*kilobyte), "aim")
	g.Expect(summaryBytes(15, 24)).To(BeNumerically("<", kilobyte), "23 other failure domains of the aim")
	t.Logf("bytes a second, both directions: Kilindi %.0f to %.0f, Motagua %.0f to %.0f, aim %.0f, of it summaries %.0f",
		controlBytes(2, 7, 3), controlBytes(3, 7, 3), controlBytes(2, 3, 4), controlBytes(3, 3, 4), controlBytes(15, 167, 24), summaryBytes(15, 24))
}
