package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "membership", suite, reporter)
}

const silenceTimeout = 3 * time.Second

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func announcement(incarnation, sequence uint64, state api.ServerState) api.Announcement {
	return api.Announcement{
		Address: "127.0.0.1:9001", Incarnation: incarnation, Sequence: sequence,
		Pool: "engine:chat", State: state, Slots: 8,
	}
}

func chartState(table *membership.Table) string {
	record, ok := table.Record("127.0.0.1:9001")
	if !ok {
		return "deleted"
	}
	return string(record.ChartState)
}

var _ = Describe("Table", func() {
	var table *membership.Table

	BeforeEach(func() { table = membership.NewTable(silenceTimeout) })

	It("does not restore a departed server from a late announcement", func() {
		table.Merge(at(0), announcement(7, 5, api.ServerServing))
		table.Advance(at(4))
		Expect(table.Servers()).To(BeEmpty())
		Expect(table.Merge(at(5), announcement(7, 4, api.ServerServing))).To(Equal(membership.ChangeNone))
		Expect(table.Merge(at(5), announcement(6, 9, api.ServerServing))).To(Equal(membership.ChangeNone))
		table.Advance(at(60))
		Expect(table.Merge(at(61), announcement(7, 5, api.ServerServing))).To(Equal(membership.ChangeNone))
		Expect(table.Servers()).To(BeEmpty())
	})

	It("does not restore a silent server from another router's old record", func() {
		table.MergeReceivedAt(announcement(7, 5, api.ServerServing), at(-10), at(-100))
		table.Advance(at(0))
		Expect(table.Servers()).To(BeEmpty())
	})

	It("keeps the record of a server that returns within RejoinWindow", func() {
		table.Merge(at(0), announcement(7, 1, api.ServerServing))
		table.Merge(at(9.5), announcement(7, 2, api.ServerServing))
		table.Advance(at(12))
		Expect(chartState(table)).To(Equal("serving"))
		table.Advance(at(20))
		Expect(chartState(table)).To(Equal("silent"))
		Expect(table.Merge(at(25), announcement(7, 3, api.ServerServing))).To(Equal(membership.ChangeContent))
		Expect(chartState(table)).To(Equal("serving"))
		Expect(table.Servers()[0].Since).To(Equal(at(0)))
	})

	It("warms up a server that was gone or has restarted", func() {
		table.Merge(at(0), announcement(7, 1, api.ServerServing))
		table.Advance(at(4))
		table.Advance(at(40))
		Expect(chartState(table)).To(Equal("gone"))
		table.Merge(at(50), announcement(7, 2, api.ServerServing))
		Expect(chartState(table)).To(Equal("warming"))
		Expect(table.Servers()[0].Since).To(Equal(at(50)))
		table.Merge(at(51), announcement(8, 1, api.ServerServing))
		Expect(chartState(table)).To(Equal("warming"))
		Expect(table.Servers()[0].Since).To(Equal(at(51)))
	})

	It("merges liveness updates by ID and reports unknown IDs", func() {
		a := announcement(7, 1, api.ServerServing)
		table.Merge(at(0), a)
		version := table.Version()
		change, known := table.MergeLiveness(at(1), membership.IDOf(a.Address, 7), 2, 5, api.ServerServing)
		Expect(known).To(BeTrue())
		Expect(change).To(Equal(membership.ChangeLiveness))
		Expect(table.Version()).To(Equal(version))
		Expect(table.Servers()[0].Load).To(Equal(5))
		_, known = table.MergeLiveness(at(1), membership.IDOf(a.Address, 8), 1, 0, api.ServerServing)
		Expect(known).To(BeFalse())
		change, _ = table.MergeLiveness(at(2), membership.IDOf(a.Address, 7), 3, 5, api.ServerDraining)
		Expect(change).To(Equal(membership.ChangeContent))
		Expect(chartState(table)).To(Equal("draining"))
	})

	It("converges to the same record for any order of delivery", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			announcements := make([]api.Announcement, 1+random.IntN(20))
			for i := range announcements {
				state := []api.ServerState{api.ServerServing, api.ServerDraining}[random.IntN(2)]
				announcements[i] = announcement(1+random.Uint64N(3), 1+random.Uint64N(5), state)
			}
			// Announcements with the same incarnation and sequence number are identical.
			states := map[[2]uint64]api.ServerState{}
			for i := range announcements {
				key := [2]uint64{announcements[i].Incarnation, announcements[i].Sequence}
				if known, ok := states[key]; ok {
					announcements[i].State = known
				}
				states[key] = announcements[i].State
			}
			forward, reverse := membership.NewTable(silenceTimeout), membership.NewTable(silenceTimeout)
			for i := range announcements {
				forward.Merge(at(0), announcements[i])
				reverse.Merge(at(0), announcements[len(announcements)-1-i])
			}
			first, _ := forward.Record("127.0.0.1:9001")
			second, _ := reverse.Record("127.0.0.1:9001")
			Expect(first.Announcement).To(Equal(second.Announcement))
		}
	})
})
