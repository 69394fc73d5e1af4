package relay_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/relay"
)

// TestServersAnnounceToRoutersOfTheirDomain guards against heartbeats that cross failure domains or move
// between routers without need, and against a router that gets most of them.
func TestServersAnnounceToRoutersOfTheirDomain(t *testing.T) {
	g := NewWithT(t)
	admission := relay.NewAdmission(relay.Limits{Unconditional: 10, Max: 10})
	for i := range 7 {
		s := relay.Subscriber{Instance: fmt.Sprint(i), FailureDomain: fmt.Sprint("zone-", i%2), AnnouncementAddress: fmt.Sprint("router-", i)}
		if i == 6 {
			s.AnnouncementAddress = ""
		}
		g.Expect(admission.Decide(s, nil).Admitted).To(BeTrue())
	}
	all := func(string) bool { return true }
	choose := func(domain string, serves func(string) bool) map[string]int {
		out := make(map[string]int)
		for i := range 3000 {
			out[admission.AnnouncementAddress(fmt.Sprint("server-", i), domain, serves)]++
		}
		return out
	}
	even := BeNumerically("~", 1000, 100)
	g.Expect(choose("zone-0", all)).To(And(HaveLen(3), HaveKeyWithValue("router-0", even), HaveKeyWithValue("router-2", even), HaveKeyWithValue("router-4", even)))
	g.Expect(choose("zone-1", all)).To(And(HaveLen(3), HaveKeyWithValue("router-1", even), HaveKeyWithValue("router-3", even), HaveKeyWithValue("router-5", even)))
	g.Expect(choose("zone-2", all)).To(HaveLen(6), "no router of the domain")
	before := admission.AnnouncementAddress("server-1", "zone-0", all)
	admission.SetRefusesAnnouncements("0", true)
	g.Expect(choose("zone-0", all)).To(And(HaveLen(2), Not(HaveKey("router-0"))))
	admission.SetRefusesAnnouncements("0", false)
	g.Expect(admission.AnnouncementAddress("server-1", "zone-0", all)).To(Equal(before))
	g.Expect(choose("zone-0", func(instance string) bool { return instance == "1" })).To(Equal(map[string]int{"router-1": 3000}))
	g.Expect(choose("zone-0", func(string) bool { return false })).To(Equal(map[string]int{"": 3000}))
}
