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

// unaryOverheadBytes is the size of a unary drpc call beyond its payload: the method
// name, the frame headers and the response.
const unaryOverheadBytes = 37 + 4*9 + 2*9

// Parameters of the reservation messages between routers.
const (
	// frameBytes is the size of a message's frame on a stream.
	frameBytes = 5
	// reservationsPerRequest is the number of reservations requested per request. It
	// exceeds 1 because some are refused.
	reservationsPerRequest = 1.1
)

// reservationBytes returns the bytes per second that a router sends and receives for
// reservations: a part of its own requests goes to servers of other owners, and the
// same number of their requests comes to its own servers. Each takes a request for a
// reservation, an answer and a release.
func reservationBytes(routers int, requests float64) float64 {
	messageSize := func(requested uint32) int {
		message := &reservepb.Place{Number: 100, Have: 40, Want: requested}
		return proto.Size(&reservepb.HoldRequest{Places: []*reservepb.Place{message}}) + frameBytes
	}
	answer := proto.Size(&reservepb.HoldResponse{Answers: []*reservepb.Answer{{Number: 100, Granted: 1, Others: 40}}}) + frameBytes
	peerRequests := 2 * requests * float64(routers-1) / float64(routers)
	return peerRequests * (reservationsPerRequest*float64(messageSize(1)+answer) + float64(messageSize(0)))
}

// controlBytes returns the bytes per second of control traffic that a router sends
// and receives.
func controlBytes(routers, servers, domains int, requests float64) float64 {
	peers := routers - 1
	interval := membership.ExchangeInterval(500*time.Millisecond, peers)
	// Each server announces itself to one router every second.
	announced := int(float64(servers)/float64(routers)*min(interval.Seconds(), 1)) + 1
	request := &memberpb.ExchangeRequest{Instance: "router-a1", InFlightOf: 1 << 60, Serving: &memberpb.Liveness{}}
	for range announced {
		request.Serving.Ids = append(request.Serving.Ids, 1<<60)
		request.Serving.Sequences = append(request.Serving.Sequences, 1<<20)
		request.Serving.Loads = append(request.Serving.Loads, 40)
	}
	for range servers {
		request.InFlight = append(request.InFlight, 5)
	}
	exchange := 2 * float64(peers) * float64(proto.Size(request)+unaryOverheadBytes) / interval.Seconds()
	return exchange + reservationBytes(routers, requests) + summaryBytes(routers, domains)
}

// confirmSeconds is the time in seconds between two confirmations of a summary.
const confirmSeconds = 2

// summaryBytes returns the bytes per second that a router sends and receives for
// summaries of failure domains with constant load: its share of the failure domains
// that it reports to and receives reports from, and the summaries that the routers
// relay to each other.
func summaryBytes(routers, domains int) float64 {
	otherDomains := float64(domains - 1)
	unchanged := &memberpb.Summaries{Unchanged: []uint64{1 << 60}}
	confirmation := proto.Size(&memberpb.SummarizeRequest{Summaries: unchanged}) + unaryOverheadBytes
	direct := 2 * otherDomains / float64(routers) * float64(confirmation)
	relayed := 2 * otherDomains * float64(routers-1) / float64(routers) * float64(proto.Size(unchanged))
	return (direct + relayed) / confirmSeconds
}

// TestControlBytes guards the limits on the control traffic of a router against
// messages that grow or are sent more often.
func TestControlBytes(t *testing.T) {
	g := NewWithT(t)
	const kilobyte = 1000
	for routers := 2; routers <= 3; routers++ {
		g.Expect(controlBytes(routers, 7, 3, 35/float64(routers))).To(BeNumerically("<", 4*kilobyte), "Kilindi, %d routers per failure domain", routers)
		g.Expect(controlBytes(routers, 3, 4, 15/float64(routers))).To(BeNumerically("<", 4*kilobyte), "Motagua, %d routers per failure domain", routers)
	}
	g.Expect(controlBytes(15, 167, 24, 44)).To(BeNumerically("<", 18*kilobyte), "target size")
	g.Expect(summaryBytes(15, 24)).To(BeNumerically("<", kilobyte), "23 other failure domains at the target size")
	t.Logf("bytes per second in both directions: Kilindi %.0f to %.0f, Motagua %.0f to %.0f, target size %.0f including summaries %.0f",
		controlBytes(2, 7, 3, 17.5), controlBytes(3, 7, 3, 11.7), controlBytes(2, 3, 4, 7.5), controlBytes(3, 3, 4, 5), controlBytes(15, 167, 24, 44), summaryBytes(15, 24))
}
